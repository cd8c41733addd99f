package directory

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"sardinefront.dev/core/event"
	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/platform"
)

// FillHeartbeat sets the fields of a heartbeat that describe the directory.
func (d *Directory) FillHeartbeat(h *peers.Heartbeat, now time.Time) {
	h.ConfigVersion = d.cfg.ActiveTable.Version()
	d.mu.Lock()
	defer d.mu.Unlock()
	h.ListDigest = d.digest()
	h.StoreEra = d.era.listed
	h.ListAgeMs = ageMs(d.freshAt, now)
	h.ListUnconfirmed = d.listUnconfirmed(now)
	d.availability.fillUptime(h, now)
	d.recentChanges = slices.DeleteFunc(d.recentChanges, func(p recentChange) bool { return now.Sub(p.at) > maxChangeRepeatTime })
	repeatTime := changeRepeats * time.Duration(h.IntervalMs) * time.Millisecond
	h.Changes = d.changesToSend(repeatTime, now)
}

// ageMs returns the age of an event in milliseconds, -1 if it has not occurred.
func ageMs(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// changesToSend returns the changes of the last repeatTime that fit into a heartbeat. Operator
// orders come first, whatever their age: the digest does not show a host that it has missed a rollout
// order, and an evacuation must not wait for it.
func (d *Directory) changesToSend(repeatTime time.Duration, now time.Time) []peers.Change {
	var out []peers.Change
	size := 0
	add := func(c platform.Entry) bool {
		if size += len(c.Key) + len(c.Value); size > maxChangeBytes {
			return false
		}
		out = append(out, peers.Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
		return true
	}
	for _, r := range slices.Backward(d.recentChanges) {
		if d.cfg.Layout.isOrder(r.change.Key) && !add(r.change) {
			return out
		}
	}
	for _, r := range slices.Backward(d.recentChanges) {
		if now.Sub(r.at) > repeatTime {
			break
		}
		if !d.cfg.Layout.isOrder(r.change.Key) && !add(r.change) {
			break
		}
	}
	return out
}

// relayedReadMargin is the difference up to which a peer's read that looks newer than this
// host's may be the same one: ages are in whole milliseconds and exclude the network delay.
const relayedReadMargin = 100 * time.Millisecond

// HandleHeartbeat applies the changes in a peer's heartbeat and compares configuration versions
// and target lists.
func (d *Directory) HandleHeartbeat(h *peers.Heartbeat, now time.Time) {
	d.applying.Lock()
	defer d.applying.Unlock()
	unconfirmed := d.recordPeerUptime(h, now)
	sameEra := d.recordPeerEra(h)
	for _, c := range h.Changes {
		if !sameEra && c.Key != d.cfg.Layout.ConfigKey { // the version orders configurations
			continue
		}
		d.applyChanges([]platform.Entry{{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted}}, fromPeer, unconfirmed, now)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if h.ConfigVersion > d.cfg.ActiveTable.Version() {
		d.recordWantedConfig(h.ConfigVersion, h.Address)
	}
	if h.ListAgeMs < 0 || d.freshAt.IsZero() || !sameEra {
		return
	}
	if h.ListUnconfirmed && !d.listUnconfirmed(now) {
		return // the peer may list targets that are gone, so another host must read the store
	}
	peerFreshAt := now.Add(-time.Duration(h.ListAgeMs) * time.Millisecond)
	switch {
	case !peerFreshAt.After(d.freshAt):
	case h.ListDigest == d.digest():
		d.freshAt, d.mismatchSince = peerFreshAt, time.Time{}
		d.isReader = d.isReader && peerFreshAt.Sub(d.readAt) < relayedReadMargin
	case d.mismatchSince.IsZero():
		d.mismatchSince, d.mismatchPeer = now, h.Address
	}
}

// recordWantedConfig records that a peer has a newer configuration. The caller holds the lock.
func (d *Directory) recordWantedConfig(version int64, from string) {
	if version > d.wantedVersion {
		d.wantedVersion, d.wantedPeers, d.failedPeers = version, nil, nil
	}
	if version == d.wantedVersion && !slices.Contains(d.wantedPeers, from) && !slices.Contains(d.failedPeers, from) {
		d.wantedPeers = append(d.wantedPeers, from)
	}
}

// wantedConfig returns a newer version that a peer has, 0 if there is none, and the address of a
// random peer that has it. If all hosts fetched from the same peer, they would share its link.
func (d *Directory) wantedConfig() (version int64, from string) {
	current := d.cfg.ActiveTable.Version()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wantedVersion <= current || len(d.wantedPeers) == 0 {
		return 0, ""
	}
	return d.wantedVersion, d.wantedPeers[rand.IntN(len(d.wantedPeers))]
}

// fetchConfigLoop fetches each newer configuration that a peer announces, until ctx ends. It
// runs apart from reads of the list, which block for long while the store does not respond.
func (d *Directory) fetchConfigLoop(ctx context.Context) {
	runEvery(ctx, pollInterval, func() {
		if v, _ := d.wantedConfig(); v > 0 {
			d.fetchConfig(ctx)
		}
	})
}

// fetchConfig fetches a newer configuration from a peer that has it and, after a short delay,
// from the store. It skips the store while that fails.
func (d *Directory) fetchConfig(ctx context.Context) {
	version, from := d.wantedConfig()
	if version == 0 {
		return
	}
	d.mu.Lock()
	storeFailed := d.storeFailing()
	d.mu.Unlock()
	ctx, done := context.WithCancel(ctx)
	defer done()
	peerFailed := make(chan struct{})
	var wg conc.WaitGroup
	if !storeFailed {
		wg.Go(func() { d.readConfigFromStore(ctx, version, peerFailed, done) })
	}
	if d.fetchConfigFromPeer(ctx, from); d.cfg.ActiveTable.Version() < version {
		d.deprioritizePeer(from)
		close(peerFailed)
	} else {
		done()
	}
	wg.Wait()
}

// readConfigFromStore reads the configuration from the store once the peer has failed or has
// taken longer than storeReadDelay. It calls done if the version is then active.
func (d *Directory) readConfigFromStore(ctx context.Context, version int64, peerFailed <-chan struct{}, done func()) {
	select {
	case <-ctx.Done():
		return
	case <-peerFailed:
	case <-time.After(storeReadDelay):
	}
	if e, err := d.cfg.Store.Get(ctx, d.cfg.Layout.ConfigKey); err == nil {
		d.applyConfig(e.Value)
		if d.cfg.ActiveTable.Version() >= version { // an older copy of the store may have an older one
			done()
		}
	}
}

// fetchConfigFromPeer fetches and applies the configuration of a peer.
func (d *Directory) fetchConfigFromPeer(ctx context.Context, address string) {
	value, err := d.fleet.FetchConfig(ctx, address, d.cfg.ActiveTable.Version())
	switch {
	case ctx.Err() != nil: // the store was faster
	case err != nil:
		event.PeerFetchFailed.Log(d.cfg.Log, slog.String("peer", address), slog.Any("error", err))
	case len(value) > 0:
		d.applyConfig(value)
	}
}

// NewerConfig returns the configuration in its stored encoding if it is newer than version, else
// nil, and its version.
func (d *Directory) NewerConfig(version int64) (value []byte, current int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.configVersion > version {
		value = d.config
	}
	return value, d.configVersion
}

// deprioritizePeer moves a peer to failedPeers, so that all other peers with the wanted version
// are tried before it.
func (d *Directory) deprioritizePeer(from string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wantedPeers = slices.DeleteFunc(d.wantedPeers, func(a string) bool { return a == from })
	d.failedPeers = append(d.failedPeers, from)
	if len(d.wantedPeers) == 0 {
		d.wantedPeers, d.failedPeers = d.failedPeers, nil
	}
}

// fetchSnapshotFromAny fetches the initial state from any peer, on a host that can't reach the
// store.
func (d *Directory) fetchSnapshotFromAny(ctx context.Context) {
	if d.fleet == nil {
		return
	}
	for _, p := range d.fleet.Alive(time.Now()) {
		if d.fetchSnapshot(ctx, p.Address) {
			return
		}
	}
}

// fetchSnapshot fetches and applies a peer's state, and reports whether this host then has a
// configuration and a target list.
func (d *Directory) fetchSnapshot(ctx context.Context, address string) bool {
	snapshot, err := d.fleet.FetchSnapshot(ctx, address, d.cfg.ActiveTable.Version())
	if err != nil {
		event.PeerFetchFailed.Log(d.cfg.Log, slog.String("peer", address), slog.Any("error", err))
		return false
	}
	now := time.Now()
	unconfirmed := d.recordSnapshot(snapshot, now)
	if len(snapshot.Config) > 0 {
		d.applyConfig(snapshot.Config)
	}
	entries := make([]platform.Entry, 0, len(snapshot.Targets))
	for _, c := range snapshot.Targets {
		entries = append(entries, platform.Entry{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
	}
	d.applying.Lock()
	defer d.applying.Unlock()
	if err := d.beginListing(snapshot.StoreEra, now); err != nil {
		event.PeerFetchFailed.Log(d.cfg.Log, slog.String("peer", address), slog.Any("error", err))
		return false
	}
	d.applyChanges(d.withoutEarlierOrders(entries), fromPeer, unconfirmed, now)
	if snapshot.ListAgeMs >= 0 {
		d.finishListing(0, fromPeer, now)
	}
	if snapshot.ListAgeMs >= 0 {
		d.mu.Lock()
		if at := now.Add(-time.Duration(snapshot.ListAgeMs) * time.Millisecond); at.After(d.freshAt) {
			d.freshAt = at
		}
		d.mu.Unlock()
	}
	return d.cfg.ActiveTable.Load() != nil && snapshot.ListAgeMs >= 0
}

// Snapshot returns this host's state for peers that can't reach the store. It contains the
// configuration only if that is newer than version.
func (d *Directory) Snapshot(version int64) *peers.Snapshot {
	d.applying.Lock()
	defer d.applying.Unlock()
	snapshot := &peers.Snapshot{}
	for _, e := range d.list.Entries() {
		snapshot.Targets = append(snapshot.Targets, peers.Change{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted})
	}
	snapshot.Config, _ = d.NewerConfig(version)
	d.mu.Lock()
	defer d.mu.Unlock()
	snapshot.Targets = append(snapshot.Targets, d.orderEntries()...)
	snapshot.StoreEra = d.era.current
	snapshot.ListAgeMs = ageMs(d.freshAt, time.Now())
	return snapshot
}
