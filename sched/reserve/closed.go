package reserve

import (
	"slices"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/sched/drain"
)

const (
	// maxDeparted bounds the targets whose closure is kept after their removal from the list.
	maxDeparted = 256
	// callerReturnSpread is the time after the earliest end of a back-off within which
	// refused callers are asked to return.
	callerReturnSpread = time.Second
)

// Leaving is one statement that a target is leaving.
type Leaving struct {
	Target string
	// At is when the target said so.
	At time.Time
}

// ClosureChange is a change of the reason for which a target gets nothing from this host.
type ClosureChange struct {
	Target  string
	Closure drain.Closure
	Source  drain.Source
	// At is when the target said so.
	At time.Time
	// Until is the end of a back-off.
	Until time.Time
}

// incarnation returns the identity of a target: names are unique to incarnations.
func incarnation(name string) drain.Incarnation { return drain.Incarnation{ID: name} }

// RecordLeaving merges a report of a response or a peer on whether a target is leaving, and
// returns the change if there is one.
func (p *Pool) RecordLeaving(name string, src drain.Source, leaving bool, at time.Time) (ClosureChange, bool) {
	s := p.drainState(name)
	if s == nil || !s.Observe(drain.Report{Incarnation: incarnation(name), Source: src, Leaving: leaving, At: at}) {
		return ClosureChange{}, false
	}
	return ClosureChange{Target: name, Closure: s.Closure(at), Source: src, At: at, Until: s.BackOffUntil()}, true
}

// RecordBackOff records that a target wants nothing from this host for d, and returns the
// change if the target was open before. After the back-off, requests are sent one at a time until
// one of them is accepted.
func (p *Pool) RecordBackOff(name string, d time.Duration, now time.Time) (ClosureChange, bool) {
	s := p.drainState(name)
	if s == nil {
		return ClosureChange{}, false
	}
	before := s.Closure(now)
	until, extended := s.BackOff(incarnation(name), d, p.rnd.Float64(), now)
	if !extended {
		return ClosureChange{}, false
	}
	if t := p.targets[name]; t != nil {
		t.reopening, t.reopeningBusy = true, false
		p.paceAfterBackOff(t)
	}
	return ClosureChange{Target: name, Closure: drain.BackedOff, Source: drain.FromResponse, At: now, Until: until}, before == drain.Open
}

// Closure returns why a target must get nothing from this host; drain.Open if it may get requests.
func (p *Pool) Closure(name string, now time.Time) drain.Closure {
	if s := p.drainState(name); s != nil {
		return s.Closure(now)
	}
	return drain.Open
}

// drainState returns the state of a target or of one that has recently been removed, or nil.
func (p *Pool) drainState(name string) *drain.State {
	if t := p.targets[name]; t != nil {
		return &t.drain
	}
	return p.departed[name]
}

// observeList merges what the list says about a target, and returns the change if there is one.
func (t *target) observeList() (ClosureChange, bool) {
	changed := t.drain.Observe(drain.Report{Incarnation: incarnation(t.Name), Source: drain.FromList, Leaving: t.Draining, At: t.ListedAt})
	return ClosureChange{Target: t.Name, Closure: t.drain.Closure(t.ListedAt), Source: drain.FromList, At: t.ListedAt, Until: t.drain.BackOffUntil()}, changed
}

// keepDeparted keeps the closures and the running requests of targets that the next list lacks. The
// same incarnation may be listed again, for example after an outage of the store.
func (p *Pool) keepDeparted(next map[string]*target) {
	for _, t := range p.order {
		if next[t.Name] == nil && t.inflight > 0 {
			p.departedInflight[t.Name] = t.inflight
		}
		if _, _, leaving := t.drain.LeavingReport(); next[t.Name] != nil || !leaving && t.drain.BackOffUntil().IsZero() {
			continue
		}
		t.drain.SetEvacuated(false) // belongs to the zone; see restoreDeparted
		p.departed[t.Name] = &t.drain
		p.departedOrder = append(p.departedOrder, t.Name)
	}
	for len(p.departedOrder) > maxDeparted {
		delete(p.departed, p.departedOrder[0])
		p.departedOrder = p.departedOrder[1:]
	}
}

// endDeparted ends a request at a target that is not listed.
func (p *Pool) endDeparted(name string) {
	if p.departedInflight[name]--; p.departedInflight[name] <= 0 {
		delete(p.departedInflight, name)
	}
}

// restoreDeparted returns the kept closure of a target that is listed again, else a new one. It
// does not tell whether the target's zone is evacuated.
func (p *Pool) restoreDeparted(name string) drain.State {
	s := p.departed[name]
	if s == nil {
		return drain.State{}
	}
	delete(p.departed, name)
	p.departedOrder = slices.DeleteFunc(p.departedOrder, func(other string) bool { return other == name })
	return *s
}

// LeavingSince returns the targets whose responses to this host have stated, at or after the given
// time, that they are leaving.
func (p *Pool) LeavingSince(since time.Time) []Leaving {
	var out []Leaving
	for _, t := range p.order {
		if src, at, ok := t.drain.LeavingReport(); ok && src == drain.FromResponse && !at.Before(since) {
			out = append(out, Leaving{t.Name, at})
		}
	}
	return out
}

// openTargets returns the number of targets to which this host may send requests.
func (p *Pool) openTargets(now time.Time) int {
	n := 0
	for _, t := range p.order {
		if t.drain.Closure(now) == drain.Open {
			n++
		}
	}
	return n
}

// reopensAt returns when the first back-off ends if no target is open and at least one of them
// is in a back-off.
func (p *Pool) reopensAt(now time.Time) (at time.Time, ok bool) {
	for _, t := range p.order {
		switch t.drain.Closure(now) {
		case drain.Open:
			return time.Time{}, false
		case drain.BackedOff:
			if until := t.drain.BackOffUntil(); !ok || until.Before(at) {
				at, ok = until, true
			}
		}
	}
	return at, ok
}

// refuseUntilReopened returns a refusal if no target is open before the request's latest
// start. Its Retry-After is at or after the end of the first back-off and differs by request,
// so that refused callers don't return together.
func (p *Pool) refuseUntilReopened(latestStart, now time.Time) *refusal.Refusal {
	at, ok := p.reopensAt(now)
	if !ok {
		return p.refuseEvacuated(now)
	}
	if at.Before(latestStart) {
		return nil
	}
	ref := refusal.New(refusal.TargetsBackedOff, "all %d targets are leaving or in a back-off, the first of which ends in %s", len(p.order), at.Sub(now).Round(time.Millisecond))
	ref.RetryAfter = at.Sub(now) + time.Duration(p.rnd.Float64()*float64(callerReturnSpread))
	return ref
}
