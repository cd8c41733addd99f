// Package drain decides whether a host may send work to a target. It merges what the target
// list, the target's responses and other hosts say about the target's leaving, and keeps the
// back-off that the target has asked this host for. The package does no I/O and reads no clock.
package drain

import "time"

// Incarnation identifies one run of a target.
type Incarnation struct {
	ID string
	// StartedUnixMs is the time of the start in Unix milliseconds, 0 if unknown.
	StartedUnixMs int64
}

// Source is where a report comes from.
type Source uint8

// The sources.
const (
	FromList Source = iota
	FromResponse
	FromPeer
)

// String returns the name used in logs.
func (s Source) String() string { return [...]string{"list", "response", "peer"}[s] }

// Report states whether an incarnation of a target is leaving.
type Report struct {
	Incarnation Incarnation
	Source      Source
	Leaving     bool
	// At is when the target said so. For a response with Leaving, it is when the response was
	// read. For one without, it is when the request was sent, because a response that was under
	// way while another one stated the leaving must not withdraw it. For a list entry, it is
	// when this host read the entry; for a peer's report, when the peer learned it.
	At time.Time
	// Revision orders the list entries of a target. Other sources leave it 0.
	Revision int64
}

// State is what a host knows about one target. The zero value is a target about which nothing
// is known. It is not safe for concurrent use.
type State struct {
	incarnation Incarnation
	known       bool

	leaving    bool
	leavingAt  time.Time // At of the report that determined leaving
	leavingSrc Source
	// listLeaving and listRevision are those of the newest list entry.
	listLeaving  bool
	listRevision int64

	backOffUntil time.Time

	// evacuated belongs to the target's zone and not to an incarnation.
	evacuated bool
}

// Observe merges a report and reports whether it changes Leaving. A report about an earlier
// incarnation is ignored; one about a later incarnation discards what was known.
func (s *State) Observe(r Report) (changed bool) {
	if !s.adopt(r.Incarnation, r.Source) {
		return false
	}
	if r.Source == FromList && !s.acceptListEntry(r) {
		return false
	}
	// Of reports with the same time, the one that closes the target counts.
	if r.At.Before(s.leavingAt) || r.At.Equal(s.leavingAt) && !r.Leaving {
		return false
	}
	changed = r.Leaving != s.leaving
	s.leaving, s.leavingAt, s.leavingSrc = r.Leaving, r.At, r.Source
	return changed
}

// acceptListEntry reports whether a list entry says anything newer than the list did before.
// Entries lag behind: one that does not list the target as leaving may be older than a
// response that states the leaving. Only an entry that follows one with Leaving withdraws it.
func (s *State) acceptListEntry(r Report) bool {
	if r.Revision < s.listRevision || r.Revision == s.listRevision && r.Leaving == s.listLeaving {
		return false
	}
	withdrawn := s.listLeaving && !r.Leaving
	s.listRevision, s.listLeaving = r.Revision, r.Leaving
	return r.Leaving || withdrawn
}

// BackOff records that the incarnation wants nothing from this host for d after now. It extends d
// by spread, 0 to 1, times a return interval, so that hosts don't return at the same time. It
// returns the end of the back-off and reports whether that is later than before.
func (s *State) BackOff(i Incarnation, d time.Duration, spread float64, now time.Time) (until time.Time, extended bool) {
	if d <= 0 || !s.adopt(i, FromResponse) {
		return s.backOffUntil, false
	}
	until = now.Add(d + time.Duration(spread*float64(min(maxReturnSpread, d/returnSpreadDivisor))))
	if !until.After(s.backOffUntil) {
		return s.backOffUntil, false
	}
	s.backOffUntil = until
	return until, true
}

const (
	// The return interval after a back-off is the back-off divided by returnSpreadDivisor, at
	// most maxReturnSpread.
	maxReturnSpread     = 200 * time.Millisecond
	returnSpreadDivisor = 8
)

// adopt reports whether i is the incarnation to which the state applies. It discards the state
// of an earlier one.
func (s *State) adopt(i Incarnation, src Source) bool {
	if s.known && i.same(s.incarnation) {
		s.incarnation.StartedUnixMs = max(s.incarnation.StartedUnixMs, i.StartedUnixMs)
		return true
	}
	if s.known && !i.replaces(s.incarnation, src) {
		return false
	}
	*s = State{incarnation: i, known: true, evacuated: s.evacuated}
	return true
}

// same reports whether i and other cannot be told apart. A list without start times and a
// response with one are about the same incarnation if the ids are equal.
func (i Incarnation) same(other Incarnation) bool {
	return i.ID == other.ID && (i.StartedUnixMs == other.StartedUnixMs || i.StartedUnixMs == 0 || other.StartedUnixMs == 0)
}

// replaces reports whether i is the later one of two incarnations at an address. If a start
// time is unknown or both are equal, only the list can introduce a new incarnation.
func (i Incarnation) replaces(old Incarnation, src Source) bool {
	if i.StartedUnixMs != 0 && old.StartedUnixMs != 0 && i.StartedUnixMs != old.StartedUnixMs {
		return i.StartedUnixMs > old.StartedUnixMs
	}
	return src == FromList
}

// Closure is the reason for which a target gets no work.
type Closure uint8

// The closures.
const (
	Open Closure = iota
	Leaving
	BackedOff
	Evacuated
)

// String returns the name used in logs and metric labels.
func (c Closure) String() string { return [...]string{"open", "leaving", "backed-off", "evacuated"}[c] }

// Closure returns why the target gets no work at a time, Open if it may get work. Leaving takes
// precedence over BackedOff, and Evacuated over both.
func (s *State) Closure(now time.Time) Closure {
	switch {
	case s.evacuated:
		return Evacuated
	case s.leaving:
		return Leaving
	case now.Before(s.backOffUntil):
		return BackedOff
	}
	return Open
}

// SetEvacuated records whether the operator has evacuated the target's availability zone.
func (s *State) SetEvacuated(evacuated bool) { s.evacuated = evacuated }

// LeavingReport returns the source and the time of the report by which the target is leaving.
// The result is not ok if it is not leaving.
func (s *State) LeavingReport() (src Source, at time.Time, ok bool) {
	return s.leavingSrc, s.leavingAt, s.leaving
}

// Incarnation returns the incarnation to which the state applies.
func (s *State) Incarnation() Incarnation { return s.incarnation }

// BackOffUntil returns the end of the back-off, zero if there was none.
func (s *State) BackOffUntil() time.Time { return s.backOffUntil }
