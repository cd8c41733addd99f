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

// Fill adds the directory's part to a heartbeat.
func (d *Directory) FillHeartbeat(h *peers.Heartbeat, now time.Time) {
	h.ConfigVersion = d.cfg.ActiveTable.Version()
	h.ListDigest = d.list.Digest()
	d.mu.Lock()
	defer d.mu.Unlock()
	h.ListAgeMs = -1
	if !d.freshAt.IsZero() {
		h.ListAgeMs = now.Sub(d.freshAt).Milliseconds()
	}
	d.recent = slices.DeleteFunc(d.recent, func(p passedOn) bool { return now.Sub(p.at) > passOnMost })
	repeat := passOnBeats * time.Duration(h.IntervalMs) * time.Millisecond
	size := 0
	for i := len(d.recent) - 1; i >= 0; i-- {
		c := d.recent[i].change
		if now.Sub(d.recent[i].at) > repeat {
			break
		}
		if size += len(c.Key) + len(c.Value); size > maxPassOn {
			break
		}
		h.Changes = append(h.Changes, peers.Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
	}
}

// echoMargin is how much newer than this host's own read a peer's may look that only
// repeats it: ages are in whole milliseconds and do not count the way.
const echoMargin = 100 * time.Millisecond

// Heard takes what a peer knows.
func (d *Directory) HandleHeartbeat(h *peers.Heartbeat, now time.Time) {
	for _, c := range h.Changes {
		d.take([]platform.Entry{{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted}}, fromPeer, false, now)
	}
	digest := d.list.Digest()
	d.mu.Lock()
	defer d.mu.Unlock()
	if h.ConfigVersion > d.cfg.ActiveTable.Version() {
		d.want(h.ConfigVersion, h.Address)
	}
	if h.ListAgeMs < 0 || d.freshAt.IsZero() {
		return
	}
	at := now.Add(-time.Duration(h.ListAgeMs) * time.Millisecond)
	switch {
	case !at.After(d.freshAt):
	case h.ListDigest == digest:
		d.freshAt, d.mismatch = at, time.Time{}
		d.reading = d.reading && at.Sub(d.readAt) < echoMargin
	case d.mismatch.IsZero():
		d.mismatch, d.fresher = now, h.Address
	}
}

// want notes that a peer has a newer configuration.
func (d *Directory) want(version int64, from string) {
	if version > d.wanted {
		d.wanted, d.wantedFrom, d.failedFrom = version, nil, nil
	}
	if version == d.wanted && !slices.Contains(d.wantedFrom, from) && !slices.Contains(d.failedFrom, from) {
		d.wantedFrom = append(d.wantedFrom, from)
	}
}

// wantedConfig returns a newer version that a peer has, 0 if there is none, and one of
// the peers that have it. Hosts that ask different ones do not wait for one link.
func (d *Directory) wantedConfig() (version int64, from string) {
	current := d.cfg.ActiveTable.Version()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wanted <= current || len(d.wantedFrom) == 0 {
		return 0, ""
	}
	return d.wanted, d.wantedFrom[rand.IntN(len(d.wantedFrom))]
}

// followConfig fetches each newer configuration that a peer tells of, until ctx ends. It
// does not wait for reads of the list, which take long while the store does not answer.
func (d *Directory) followConfig(ctx context.Context) {
	every(ctx, pollStep, func() {
		if v, _ := d.wantedConfig(); v > 0 {
			d.fetchConfig(ctx)
		}
	})
}

// fetchConfig gets a newer configuration from a peer that has it, and after a short wait
// from the store, unless that did not answer the last read.
func (d *Directory) fetchConfig(ctx context.Context) {
	version, from := d.wantedConfig()
	if version == 0 {
		return
	}
	d.mu.Lock()
	failed := d.failed
	d.mu.Unlock()
	ctx, done := context.WithCancel(ctx)
	defer done()
	peerFailed := make(chan struct{})
	var wg conc.WaitGroup
	if !failed {
		wg.Go(func() { d.readConfigAfter(ctx, peerFailed, done) })
	}
	if d.fetchConfigFrom(ctx, from); d.cfg.ActiveTable.Version() < version {
		d.putLast(from)
		close(peerFailed)
	} else {
		done()
	}
	wg.Wait()
}

// readConfigAfter reads the configuration in the store once the peer has failed or taken
// too long, and calls done if that succeeds.
func (d *Directory) readConfigAfter(ctx context.Context, peerFailed <-chan struct{}, done func()) {
	select {
	case <-ctx.Done():
		return
	case <-peerFailed:
	case <-time.After(peerHeadStart):
	}
	if e, err := d.cfg.Store.Get(ctx, d.cfg.Layout.ConfigKey); err == nil {
		d.adopt(e.Value)
		done()
	}
}

// fetchConfigFrom gets the configuration of a peer.
func (d *Directory) fetchConfigFrom(ctx context.Context, address string) {
	value, err := d.fleet.FetchConfig(ctx, address, d.cfg.ActiveTable.Version())
	switch {
	case ctx.Err() != nil: // the store was faster
	case err != nil:
		event.PeerFetchFailed.Log(d.cfg.Log, slog.String("peer", address), slog.Any("error", err))
	case len(value) > 0:
		d.adopt(value)
	}
}

// NewerConfig returns the configuration as the store holds it if it is newer than the
// version, and its version.
func (d *Directory) NewerConfig(version int64) (value []byte, current int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.configVersion > version {
		value = d.config
	}
	return value, d.configVersion
}

// putLast keeps a peer that did not answer from being asked again before every other one
// that has the wanted version.
func (d *Directory) putLast(from string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wantedFrom = slices.DeleteFunc(d.wantedFrom, func(a string) bool { return a == from })
	d.failedFrom = append(d.failedFrom, from)
	if len(d.wantedFrom) == 0 {
		d.wantedFrom, d.failedFrom = d.failedFrom, nil
	}
}

// fetchFromPeer starts a host that cannot reach the store with what a peer holds.
func (d *Directory) fetchFromPeer(ctx context.Context) {
	if d.fleet == nil {
		return
	}
	for _, p := range d.fleet.Alive(time.Now()) {
		if d.fetchBulk(ctx, p.Address) {
			return
		}
	}
}

func (d *Directory) fetchBulk(ctx context.Context, address string) bool {
	b, err := d.fleet.FetchSnapshot(ctx, address, d.cfg.ActiveTable.Version())
	if err != nil {
		event.PeerFetchFailed.Log(d.cfg.Log, slog.String("peer", address), slog.Any("error", err))
		return false
	}
	now := time.Now()
	if len(b.Config) > 0 {
		d.adopt(b.Config)
	}
	entries := make([]platform.Entry, 0, len(b.Targets))
	for _, c := range b.Targets {
		entries = append(entries, platform.Entry{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
	}
	d.take(entries, fromPeer, false, now)
	if b.ListAgeMs >= 0 {
		d.mu.Lock()
		if at := now.Add(-time.Duration(b.ListAgeMs) * time.Millisecond); at.After(d.freshAt) {
			d.freshAt = at
		}
		d.mu.Unlock()
	}
	return d.cfg.ActiveTable.Load() != nil && b.ListAgeMs >= 0
}

// Bulk returns what this host holds, for peers that cannot reach the store; the
// configuration only if it is newer than the version that the peer has.
func (d *Directory) Snapshot(version int64) *peers.Snapshot {
	b := &peers.Snapshot{ListAgeMs: -1}
	for _, e := range d.list.Entries() {
		b.Targets = append(b.Targets, peers.Change{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted})
	}
	b.Config, _ = d.NewerConfig(version)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.freshAt.IsZero() {
		b.ListAgeMs = time.Since(d.freshAt).Milliseconds()
	}
	return b
}
