package reserve

import (
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/sched/admission"
)

// refuseWaitFraction is the fraction of FirstByteTimeout above which the wait of a request ahead of a
// new one of its organisation and tier makes the new one be refused at once. Its caller can then still
// retry in time.
const refuseWaitFraction = 0.4

// setLatestStart sets FreshUntil to the latest time at which the request can start and meet its goal,
// which counts from the caller's first attempt.
func (p *Pool) setLatestStart(w *Waiter) {
	w.age = p.timeLimits.Age(w.Request.Route, w.StatedTimeout)
	if w.FreshUntil.IsZero() || w.LatencyGoal <= 0 {
		return
	}
	g := admission.Goal{
		Arrived: w.Request.Arrived, Age: w.age, Limit: w.LatencyGoal,
		StartDelay: max(w.PrefillTime, p.firstEvent[w.Request.Route]),
	}
	w.FreshUntil = earlier(w.FreshUntil, g.LatestStart())
}

// recordStartDelay records the time from the send of a request to the first byte of its response.
func (p *Pool) recordStartDelay(route string, length time.Duration) {
	if p.firstEvent == nil {
		p.firstEvent = map[string]time.Duration{}
	}
	if _, known := p.firstEvent[route]; known || len(p.firstEvent) < maxRoutes {
		p.firstEvent[route] = admission.TrackMedian(p.firstEvent[route], length)
	}
}

// maxRoutes bounds the routes whose start delays are kept.
const maxRoutes = 1024

// checkAdmission refuses a request at once if its caller would probably give up before it starts.
func (p *Pool) checkAdmission(w *Waiter, now time.Time) *refusal.Refusal {
	if len(p.waiters) == 0 {
		return nil
	}
	s := p.admissionSnapshot(w, now)
	r := p.admissionRequest(w, now)
	cause := admission.Decide(s, r)
	if cause == admission.Admitted {
		return nil
	}
	w.refusedFor = cause
	if cause == admission.NoStartInTime {
		wait, _ := s.ExpectedWait()
		return refusal.New(refusal.Overloaded, "the expected wait is %s, the caller waits for %s", wait.Round(time.Millisecond), r.MaxWait.Round(time.Millisecond))
	}
	longest := max(r.LongestAhead, r.LongestOvertaken)
	return refusal.New(refusal.Overloaded, "another request of the organisation and tier has waited for %s, the first-byte timeout is %s", longest.Round(time.Millisecond), w.FirstByteTimeout)
}

// admissionSnapshot counts the requests ahead of a new one.
func (p *Pool) admissionSnapshot(w *Waiter, now time.Time) admission.Snapshot {
	own := laneOf(w, now)
	s := admission.Snapshot{StartRate: p.startRate.PerSecond(now)}
	for l := range lanes[:own] {
		s.Urgent += p.queue.Backlog(lanes[l].tier, lanes[l].late, "").Count
	}
	b := p.queue.Backlog(lanes[own].tier, lanes[own].late, w.Request.Organisation)
	s.Lane, s.Own, s.Organisations = b.Count, b.Own, b.Organisations
	if !lanes[own].late && p.queue.NewestFirst(lanes[own].tier, now) {
		s.Own = 0
	}
	return s
}

// admissionRequest returns how long the request can wait, and how long those of its organisation and
// tier have waited. Late ones do not precede a fresh request, unless nothing is started at all. A
// request whose attempt has failed counts as ahead: its caller waits for the rest of a response.
func (p *Pool) admissionRequest(w *Waiter, now time.Time) admission.Request {
	r := admission.Request{
		MaxWait:  w.queueItem().LatestStart.Sub(now),
		MaxAhead: time.Duration(refuseWaitFraction * float64(w.FirstByteTimeout)),
	}
	own := laneOf(w, now)
	for _, other := range p.waiters {
		if other.standby || !other.Homes.equal(&w.Homes) || other.Request.Tier != w.Request.Tier || other.Request.Organisation != w.Request.Organisation || p.hasFreeExcluded(other) {
			continue
		}
		waited := now.Sub(other.queuedAt)
		if laneOf(other, now) > own && other.extendedUntil.IsZero() {
			r.LongestOvertaken = max(r.LongestOvertaken, waited)
		} else {
			r.LongestAhead = max(r.LongestAhead, waited)
		}
	}
	return r
}

// EarlyRefusal returns the cause for which Submit has refused the request for lack of room, empty if it
// has not.
func (w *Waiter) EarlyRefusal() string {
	if w.refusedFor == admission.Admitted {
		return ""
	}
	return w.refusedFor.String()
}

// expectedWait returns how long a request behind all waiting ones would probably wait, 0 if none wait
// or the rate of starts is unknown.
func (p *Pool) expectedWait(now time.Time) time.Duration {
	if len(p.waiters) == 0 {
		return 0
	}
	s := admission.Snapshot{Urgent: len(p.waiters), StartRate: p.startRate.PerSecond(now)}
	wait, _ := s.ExpectedWait()
	return wait
}
