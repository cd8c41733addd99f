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
	// maxReportedAge bounds the times that a peer reports.
	maxReportedAge = 24 * time.Hour
)

// uptime is a time in which the store has responded at least once in each minOutage.
type uptime struct{ since, until time.Time }

// continues reports whether the store was up between two uptimes.
func (u uptime) continues(earlier uptime) bool { return u.since.Sub(earlier.until) < minOutage }

// availability is what a host knows of the times at which the store has responded to any host. The
// store was up if it responded to a peer, whether or not this host could reach it. After an outage, a
// removed entry may be that of a live target that could not renew it.
type availability struct {
	// current is the latest known uptime, zero if the store has not responded.
	current uptime
	// beforeOutage is the uptime before the outage that this host assumes before the current one,
	// zero if it assumes none.
	beforeOutage uptime
	// own is the latest uptime that this host's own reads show, zero if there is none. Peers are told of
	// it. What this host has heard may be wrong if it was suspended meanwhile.
	own uptime
	// unconfirmedUntil is when the live targets are listed again after the last outage.
	unconfirmedUntil time.Time
}

// record records an uptime of which this host learns now. It returns the duration of the outage that
// has ended with it, 0 for none.
func (a *availability) record(u uptime, now time.Time) (outage time.Duration) {
	before := a.current
	switch {
	case !u.until.After(before.until):
	case before.until.IsZero():
		a.current = u
	case u.continues(before):
		a.current.until = u.until
	default:
		a.current, a.beforeOutage = u, before
		a.unconfirmedUntil = now.Add(relistTimeout)
		return u.since.Sub(before.until)
	}
	return 0
}

// recordOwn records a response to this host.
func (a *availability) recordOwn(response uptime) {
	if response.continues(a.own) {
		a.own.until = response.until
	} else {
		a.own = response
	}
}

// refute reports whether an uptime shows that the store was up in the outage that this host assumes,
// as it was only cut off itself. The outage is then forgotten.
func (a *availability) refute(u uptime) bool {
	before := a.beforeOutage
	if before.until.IsZero() || !u.continues(before) || !a.current.continues(u) {
		return false
	}
	a.current.since = before.since
	a.beforeOutage = uptime{}
	a.unconfirmedUntil = time.Time{}
	return true
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
	response := uptime{since: now, until: now}
	d.availability.recordOwn(response)
	return d.recordUptime(response, now)
}

// recordPeerUptime records the time in which the store has responded to a peer. It reports whether
// removals that the peer sends are unconfirmed for this host.
func (d *Directory) recordPeerUptime(h *peers.Heartbeat, now time.Time) (unconfirmed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recordPeerAges(h.StoreResponseAgeMs, h.StoreUptimeMs, now)
}

// recordSnapshot records the read of the store that a peer's snapshot is from. It reports whether
// removals in the snapshot are unconfirmed.
func (d *Directory) recordSnapshot(s *peers.Snapshot, now time.Time) (unconfirmed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recordPeerAges(s.ListAgeMs, 0, now)
}

// recordPeerAges records the age of the store's last response to a peer, and the uptime of the store
// until then. The caller holds the lock.
func (d *Directory) recordPeerAges(ageMs, uptimeMs int64, now time.Time) (unconfirmed bool) {
	if ageMs < 0 || ageMs > maxReportedAge.Milliseconds() {
		return d.availability.removalsUnconfirmed(now)
	}
	until := now.Add(-time.Duration(ageMs) * time.Millisecond)
	uptimeMs = min(max(0, uptimeMs), maxReportedAge.Milliseconds())
	since := until.Add(-time.Duration(uptimeMs) * time.Millisecond)
	return d.recordUptime(uptime{since, until}, now)
}

// recordUptime records an uptime of the store that any host has seen. The caller holds the lock.
func (d *Directory) recordUptime(u uptime, now time.Time) (unconfirmed bool) {
	a := &d.availability
	if outage := a.record(u, now); outage > 0 {
		event.RemovalsUnconfirmed.Log(d.cfg.Log, slog.Duration("outage", outage), slog.Duration("for", relistTimeout))
	}
	if a.refute(u) {
		event.OutageRefuted.Log(d.cfg.Log, slog.Duration("uptime", u.until.Sub(u.since)))
	}
	return a.removalsUnconfirmed(now)
}

// fillUptime reports the uptime that this host's own reads show. The caller holds the lock.
func (a *availability) fillUptime(h *peers.Heartbeat, now time.Time) {
	h.StoreResponseAgeMs = ageMs(a.own.until, now)
	h.StoreUptimeMs = a.own.until.Sub(a.own.since).Milliseconds()
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
