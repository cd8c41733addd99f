package directory

import (
	"log/slog"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/gateway/peers"
)

const (
	// minOutage is the least time between two responses of the store that counts as an outage. Entries
	// expire after 2.4 s without a write. Between calm hosts a response is at most 1.5 s older than the
	// next one, also if the first hosts by name fail.
	minOutage = 2 * time.Second
	// relistTimeout is the time after an outage in which live targets whose entries have expired are
	// listed again. They need about 2 s.
	relistTimeout = 2200 * time.Millisecond
	// maxResponseAge bounds the age of a response that a peer reports.
	maxResponseAge = 24 * time.Hour
)

// availability is what a host knows of the times at which the store has responded to any host. The
// store was up if it responded to a peer, whether or not this host could reach it. After an outage, a
// removed entry may be that of a live target that could not renew it.
type availability struct {
	// respondedAt is the time of the latest known response, ownResponseAt that of the latest one to
	// this host. Both are zero if there was none.
	respondedAt, ownResponseAt time.Time
	// unconfirmedUntil is when the live targets are listed again after the last outage.
	unconfirmedUntil time.Time
}

// record records a response of the store, of which this host learns now. It returns the duration of
// the outage that the response has ended, 0 for none.
func (a *availability) record(respondedAt, now time.Time) (outage time.Duration) {
	if !respondedAt.After(a.respondedAt) {
		return 0
	}
	gap := respondedAt.Sub(a.respondedAt)
	first := a.respondedAt.IsZero()
	a.respondedAt = respondedAt
	if first || gap < minOutage {
		return 0
	}
	a.unconfirmedUntil = now.Add(relistTimeout)
	return gap
}

// removalsUnconfirmed reports whether a removed entry may be that of a live target.
func (a *availability) removalsUnconfirmed(now time.Time) bool {
	return now.Before(a.unconfirmedUntil)
}

// recordOwnResponse records that the store has just responded to this host. It reports whether
// removals in the response are unconfirmed.
func (d *Directory) recordOwnResponse(now time.Time) (unconfirmed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.availability.ownResponseAt = now
	return d.recordResponse(now, now)
}

// recordPeerResponse records the store's last response to a peer. It reports whether removals that
// the peer sends are unconfirmed for this host.
func (d *Directory) recordPeerResponse(h *peers.Heartbeat, now time.Time) (unconfirmed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recordPeerAge(h.StoreResponseAgeMs, now)
}

// recordSnapshot records the read of the store that a peer's snapshot is from. It reports whether
// removals in the snapshot are unconfirmed.
func (d *Directory) recordSnapshot(s *peers.Snapshot, now time.Time) (unconfirmed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recordPeerAge(s.ListAgeMs, now)
}

// recordPeerAge records a response of the store with the age that a peer reports. The caller holds
// the lock.
func (d *Directory) recordPeerAge(ageMs int64, now time.Time) (unconfirmed bool) {
	if ageMs < 0 || ageMs > maxResponseAge.Milliseconds() {
		return d.availability.removalsUnconfirmed(now)
	}
	return d.recordResponse(now.Add(-time.Duration(ageMs)*time.Millisecond), now)
}

// recordResponse records a response of the store to any host. The caller holds the lock.
func (d *Directory) recordResponse(respondedAt, now time.Time) (unconfirmed bool) {
	if outage := d.availability.record(respondedAt, now); outage > 0 {
		event.RemovalsUnconfirmed.Log(d.cfg.Log, slog.Duration("outage", outage), slog.Duration("for", relistTimeout))
	}
	return d.availability.removalsUnconfirmed(now)
}

// listUnconfirmed reports whether the list may have targets whose entries have been removed. The
// caller holds the lock.
func (d *Directory) listUnconfirmed(now time.Time) bool {
	return d.availability.removalsUnconfirmed(now) || d.list.HasDelayedRemovals()
}

// removalsDue reports whether this host must read the store to confirm removals that it has delayed.
// The caller holds the lock.
func (d *Directory) removalsDue(now time.Time) bool {
	return d.list.HasDelayedRemovals() && !d.era.holding() && !d.availability.removalsUnconfirmed(now)
}

// confirmRemovals carries out the delayed removals of entries that are still missing in a read of the
// store that began when live targets were listed again. Peers that have not read the removals
// themselves learn of them from this host. The caller holds d.applying.
func (d *Directory) confirmRemovals(began, now time.Time) {
	d.mu.Lock()
	due := d.removalsDue(began)
	d.mu.Unlock()
	if due {
		d.listChanged(d.list.ConfirmRemovals(now), fromStore, now)
	}
}
