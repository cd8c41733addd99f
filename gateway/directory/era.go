package directory

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/platform"
)

// peerConfirmDelay is how much later than the reader of the zone the other hosts list for the second
// time after a restore: they get the list from a host that has followed the store until then.
const peerConfirmDelay = 700 * time.Millisecond

// errStoreRestored is the error of a read during which the store came back from an older copy.
var errStoreRestored = errors.New("the store was restored from an older copy during the read")

// eraState is what a host knows about the era of the store, which rises when the store comes back
// from an older copy of its content. Revisions of two eras can't be compared. The design is in
// docs/design/store-recovery.md.
type eraState struct {
	// current is the era of the revisions that this host holds, 0 if the store has none.
	current int64
	// listed is the newest era of which this host has listed everything. Peers are told that.
	listed int64
	// heard is the newest era that a peer has listed, heardFrom the address of that peer.
	heard     int64
	heardFrom string
	// heldSince is when targets and orders were held over; zero if none are.
	heldSince time.Time
}

// holding reports whether targets and orders are held over.
func (e *eraState) holding() bool { return !e.heldSince.IsZero() }

// confirmDue reports whether the second listing after a restore is due.
func (e *eraState) confirmDue(isReader bool, now time.Time) bool {
	delay := relistTimeout
	if !isReader {
		delay += peerConfirmDelay
	}
	return e.holding() && now.Sub(e.heldSince) >= delay
}

// relistDue reports whether everything must be listed anew, because the store has a newer era than the
// revisions of this host, or because what is held over is to be confirmed. fromPeer is the address of
// a peer that has the list, empty if the store must be asked.
func (d *Directory) relistDue(now time.Time) (due bool, fromPeer string) {
	storeEra := d.cfg.Store.Era()
	d.mu.Lock()
	defer d.mu.Unlock()
	e := &d.era
	if d.freshAt.IsZero() || now.Before(d.nextReadAt) {
		return false, ""
	}
	if max(storeEra, e.heard) > e.current {
		if e.heard >= storeEra {
			fromPeer = e.heardFrom
		}
		return true, fromPeer
	}
	if !e.confirmDue(d.isReader, now) {
		return false, ""
	}
	if !d.isReader && e.heard == e.current {
		fromPeer = e.heardFrom
	}
	return true, fromPeer
}

// relist lists everything, from the peer if there is one and else from the store.
func (d *Directory) relist(ctx context.Context, fromPeer string, now time.Time) {
	if fromPeer != "" && d.fetchSnapshot(ctx, fromPeer) && d.heardEraListed() {
		return
	}
	d.mu.Lock()
	d.readRevision = 0
	d.mu.Unlock()
	d.readStore(ctx, now)
}

// heardEraListed reports whether this host has listed the newest era that a peer has listed.
func (d *Directory) heardEraListed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.era.listed >= d.era.heard
}

// beginListing adopts the era of a complete listing, and ends the hold if this is the second listing
// after a restore. It returns an error if the listing is of an earlier era. The caller holds
// d.applying.
func (d *Directory) beginListing(era int64, now time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := &d.era
	switch {
	case era < e.current:
		return errStoreRestored
	case era > e.current:
		d.adoptEra(era, now)
	case e.confirmDue(d.isReader, now):
		e.heldSince = time.Time{}
		d.list.EndHold()
	}
	return nil
}

// adoptEra holds over what is known from the earlier era, if there was one. The caller holds the
// lock.
func (d *Directory) adoptEra(era int64, now time.Time) {
	e := &d.era
	earlier := e.current
	e.current = era
	if earlier == 0 {
		return // a first listing, which replaces nothing
	}
	event.StoreRestored.Log(d.cfg.Log, slog.Int64("era", era), slog.Int64("earlier", earlier), slog.Int64("readRevision", d.readRevision))
	d.readRevision, d.recentChanges, e.heldSince = 0, nil, now
	for key, o := range d.orders {
		if o.removed {
			delete(d.orders, key)
			continue
		}
		o.revision = 0
		d.orders[key] = o
	}
	d.list.HoldOver()
	if d.cfg.OnStoreRestored != nil {
		d.cfg.OnStoreRestored()
	}
}

// finishListing removes what was held over and is not in the second listing, as of a revision of the
// store. The caller holds d.applying.
func (d *Directory) finishListing(asOf int64, from source, now time.Time) {
	d.mu.Lock()
	d.era.listed = d.era.current
	confirmed := d.era.current > 0 && !d.era.holding()
	var missing []platform.Entry
	for key, o := range d.orders {
		if confirmed && o.revision == 0 {
			missing = append(missing, platform.Entry{Key: key, Revision: max(1, asOf), Deleted: true})
		}
	}
	d.mu.Unlock()
	if confirmed {
		d.applyChanges(missing, from, false, now)
		d.listChanged(d.list.RemoveHeldOver(asOf, now), from, now)
	}
}

// withoutEarlierOrders returns a listing without the rollout orders that replace a different one that
// is held over: the older copy may be from before the newer order.
func (d *Directory) withoutEarlierOrders(listed []platform.Entry) []platform.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.era.holding() {
		return listed
	}
	out := make([]platform.Entry, 0, len(listed))
	for _, c := range listed {
		o, known := d.orders[c.Key]
		if known && o.revision == 0 && !d.cfg.Layout.isEvacuation(c.Key) && string(o.value) != string(c.Value) {
			continue
		}
		out = append(out, c)
	}
	return out
}

// recordPeerEra records the era that a peer has listed, and reports whether the peer's revisions are
// of the same era as this host's. The caller holds d.applying.
func (d *Directory) recordPeerEra(h *peers.Heartbeat) (same bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h.StoreEra >= d.era.heard && h.StoreEra > 0 {
		d.era.heard, d.era.heardFrom = h.StoreEra, h.Address
	}
	return h.StoreEra == d.era.current
}

// isCurrentEra reports whether an era is that of the revisions that this host holds.
func (d *Directory) isCurrentEra(era int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return era == d.era.current
}
