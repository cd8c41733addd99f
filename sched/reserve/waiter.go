package reserve

import (
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/flow"
)

const (
	// waitedPart is the part of a caller's patience after which a waiting request is
	// refused; the rest is for the way to the first byte.
	maxWaitFraction = 0.65
	// hopelessPart is the wait of the requests ahead, as a part of the patience, from
	// which a new one is refused at once.
	refuseWaitFraction = 0.4
	// extendedWait is how long a request that a target has failed may wait for another.
	extendedWaitTime = 700 * time.Millisecond
)

// Waiter is one request from Submit until its grant has ended.
type Waiter struct {
	Request *request.Request
	// Patience is how long after its arrival the caller waits for the first byte.
	FirstByteTimeout time.Duration
	// FreshUntil is when the request misses its goal; from then on it waits behind
	// the fresh requests of its tier.
	FreshUntil time.Time

	// Version, if it is not empty, is the version that a rollout moves to: the
	// request uses only targets of it, or none of it where Old is set.
	RolloutVersion      string
	AvoidRolloutVersion bool

	item          flow.Item
	excluded      []string  // targets that this request must not try again
	extendedUntil time.Time // end of the wait after a target has failed the request
	queued        bool
	queuedAt      time.Time
}

// Exclude keeps the request from a target.
func (w *Waiter) Exclude(target string) { w.excluded = append(w.excluded, target) }

func (w *Waiter) excludes(target string) bool {
	for _, name := range w.excluded {
		if name == target {
			return true
		}
	}
	return false
}

// Grant lets a request try a target.
type Grant struct {
	Waiter *Waiter
	Target string
}

// Expired is a request that left the queue unserved.
type Expired struct {
	Waiter  *Waiter
	Refusal *refusal.Refusal
}

// Extend lets a request that a target has failed wait a little beyond its usual time:
// its caller has been kept waiting by the target, or already has a part of its answer.
// Its time at the target says nothing about the queue.
func (w *Waiter) ExtendWait(now time.Time) {
	w.extendedUntil = now.Add(extendedWaitTime)
	w.queuedAt = now
}

// allows reports whether a rollout lets the request use a version.
func (w *Waiter) allowsVersion(version string) bool {
	return w.RolloutVersion == "" || (version == w.RolloutVersion) != w.AvoidRolloutVersion
}

func (w *Waiter) queueItem() flow.Item {
	latest := w.Request.Arrived.Add(time.Duration(maxWaitFraction * float64(w.FirstByteTimeout)))
	if w.extendedUntil.After(latest) {
		latest = w.extendedUntil
	}
	return flow.Item{Request: w.Request, Cost: float64(w.Request.Tokens()), FreshUntil: w.FreshUntil, LatestStart: latest}
}

// hopeless refuses a request at once if another one of its organisation and tier
// has waited for so long that this one would outwait its caller: a caller that is
// told early comes back while it still has time.
func (p *Pool) checkQueueDelay(w *Waiter, now time.Time) *refusal.Refusal {
	maxDelay := time.Duration(refuseWaitFraction * float64(w.FirstByteTimeout))
	for _, other := range p.waiters {
		if other.Request.Tier != w.Request.Tier || other.Request.Organisation != w.Request.Organisation {
			continue
		}
		if waited := now.Sub(other.queuedAt); waited > maxDelay {
			return refusal.New(refusal.Overloaded, "a request before it has waited for %s, this one has %s", waited.Round(time.Millisecond), w.FirstByteTimeout)
		}
	}
	return nil
}
