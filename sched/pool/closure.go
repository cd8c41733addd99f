package pool

import (
	"fmt"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/drain"
)

// Notice is what a response states about its target.
type Notice struct {
	// Incarnation is the target's run that sent the response.
	Incarnation drain.Incarnation
	Leaving     bool
	// SentAt is when the request was sent.
	SentAt time.Time
	// BackOff is how long the target wants nothing from this host; 0 if it does not ask.
	BackOff time.Duration
}

// RecordNotice records what a response of the target with the given name states.
func (p *Pool) RecordNotice(name string, n Notice, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.byName[name]
	if t == nil {
		return nil
	}
	report := drain.Report{Incarnation: n.Incarnation, Source: drain.FromResponse, Leaving: n.Leaving, At: n.SentAt}
	if n.Leaving {
		report.At = now
	}
	t.drain.Observe(report)
	t.drain.BackOff(n.Incarnation, n.BackOff, p.rnd.Float64(), now)
	return p.updateClosure(nil, t, now)
}

// Admits reports whether the target with the given name accepts a request. A leaving target
// accepts only requests that continue or manage earlier work; one in its back-off none.
func (p *Pool) Admits(name string, newWork bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.byName[name]
	return t == nil || !t.backedOff(now) && !(newWork && t.leaving())
}

// ClosedTarget is a target that receives no new requests, and why.
type ClosedTarget struct {
	Name    string
	Closure drain.Closure
	// Source is where this host learned of the closure.
	Source drain.Source
	// Since is when the target stated that it is leaving, zero for one in a back-off.
	Since time.Time
	// Until is the end of the back-off, zero for a leaving target.
	Until time.Time
}

// ClosedTargets returns the targets that receive no new requests because they leave or have
// asked for a back-off.
func (p *Pool) ClosedTargets(now time.Time) []ClosedTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	var closed []ClosedTarget
	for _, t := range p.slots {
		if t == nil {
			continue
		}
		c := ClosedTarget{Name: t.Name, Closure: t.drain.Closure(now)}
		switch c.Closure {
		case drain.Leaving:
			c.Source, c.Since, _ = t.drain.LeavingReport()
		case drain.BackedOff:
			c.Source, c.Until = drain.FromResponse, t.drain.BackOffUntil()
		default:
			continue
		}
		closed = append(closed, c)
	}
	return closed
}

// Leaving reports whether the target with the given name is leaving.
func (p *Pool) Leaving(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.byName[name]
	return t != nil && t.leaving()
}

func (t *target) leaving() bool {
	_, _, leaving := t.drain.LeavingReport()
	return leaving
}

// backedOff reports whether the target has asked for a back-off that has not ended. Unlike
// drain.State.Closure it does so for a leaving target, too.
func (t *target) backedOff(now time.Time) bool { return now.Before(t.drain.BackOffUntil()) }

// updateClosure applies a change of the reason for which a target gets no new requests, and
// returns an action that reports it.
func (p *Pool) updateClosure(out []Action, t *target, now time.Time) []Action {
	closure := t.drain.Closure(now)
	if closure == t.closure || t.removed {
		return out
	}
	before := t.closure
	t.closure = closure
	if closure == drain.Leaving || before == drain.Leaving {
		p.chooseHighTierOnly()
	}
	p.rebuildSnapshot()
	p.publishLoad(t, now)
	a := Action{Kind: Close, Target: t.Name, Closure: closure, Instance: t.drain.Incarnation().ID, Source: drain.FromResponse}
	switch closure {
	case drain.Open:
		a.Kind, a.Why = Reopen, "no longer "+before.String()
	case drain.Leaving:
		source, since, _ := t.drain.LeavingReport()
		a.Source, a.Age, a.Why = source, now.Sub(since), "leaving, stated by a "+source.String()
	case drain.BackedOff:
		a.Until = t.drain.BackOffUntil()
		a.Why = fmt.Sprintf("asked for a back-off of %s", a.Until.Sub(now).Round(time.Millisecond))
	}
	p.decisions.add("", Decision{At: now, Kind: a.Kind, Target: t.Name, Why: a.Why})
	return append(out, a)
}

// reopensAt returns the earliest end of a back-off, or false unless every target that is not
// leaving is in a back-off.
func (p *Pool) reopensAt(now time.Time) (time.Time, bool) {
	var earliest time.Time
	for _, t := range p.slots {
		if t == nil || t.leaving() {
			continue
		}
		until := t.drain.BackOffUntil()
		if !until.After(now) {
			return time.Time{}, false
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest, !earliest.IsZero()
}

const (
	// The random time that is added to a Retry-After is at most maxReturnSpread, and at most the
	// wait divided by returnSpreadDivisor. It keeps refused callers from returning together.
	maxReturnSpread     = time.Second
	returnSpreadDivisor = 4
)

// backOffRefusal returns the refusal of a request that cannot start before latestStart because
// all targets are in a back-off, or nil.
func (p *Pool) backOffRefusal(r *request.Request, latestStart, now time.Time) *refusal.Refusal {
	until, ok := p.reopensAt(now)
	if !ok || r.Tier == request.Patient || latestStart.IsZero() || !latestStart.Before(until) {
		return nil
	}
	wait := until.Sub(now)
	ref := refusal.New(refusal.TargetsBackedOff, "all targets of pool %s have asked for a back-off, the first ends in %s", p.cfg.Name, wait.Round(time.Millisecond))
	ref.RetryAfter = wait + time.Duration(p.rnd.Float64()*float64(min(maxReturnSpread, wait/returnSpreadDivisor)))
	return ref
}
