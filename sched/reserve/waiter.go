package reserve

import (
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/finish"
	"sardinefront.dev/sched/flow"
	"sardinefront.dev/sched/health"
)

const (
	// maxWaitFraction is the fraction of FirstByteTimeout after which a waiting request
	// expires; the rest is left for the target to send the first byte.
	maxWaitFraction = 0.65
	// refuseWaitFraction is the fraction of FirstByteTimeout above which the wait of a
	// queued request makes a new one of its organisation and tier be refused at once.
	refuseWaitFraction = 0.4
	// minExtendedWait is how long a request may wait at least for another target after a failed
	// attempt.
	minExtendedWait = 700 * time.Millisecond
	// restartMargin, and the time to read the prompt at a slow target, are left of the caller's time
	// for the target that continues a response, from its choice to the first byte.
	restartMargin = 200 * time.Millisecond
)

// Waiter is one request from Submit until its grant has ended.
type Waiter struct {
	Request *request.Request
	// FirstByteTimeout is how long the caller waits for the first byte, from arrival on.
	FirstByteTimeout time.Duration
	// FreshUntil is when the request misses its goal; from then on it waits behind
	// the fresh requests of its tier.
	FreshUntil time.Time
	// LatencyGoal is the goal for the first event, 0 for none. PrefillTime is the expected time
	// to read the prompt at a fast target.
	LatencyGoal, PrefillTime time.Duration
	// EventTokens is the number of tokens in one event of a stream, 0 if unknown.
	EventTokens int

	// RolloutVersion, if not empty, is the version that a rollout moves to. The request
	// uses only targets of that version, or only targets of other versions if
	// AvoidRolloutVersion is set. Where the pool has no target of another version, it may use
	// the rollout version all the same, unless RolledBack is set: that version was found bad.
	RolloutVersion      string
	AvoidRolloutVersion bool
	RolledBack          bool

	// Homes are the regions to which the request is bound.
	Homes Homes

	item          flow.Item
	excluded      []string  // names of targets that this request must not try again
	extendedUntil time.Time // end of the wait after a failed attempt
	standby       bool      // the request is still running at a silent target
	queued        bool
	queuedAt      time.Time
	// expectedFirstEvent is the expected time to the first event at the last granted target.
	expectedFirstEvent time.Duration
}

// ExpectedFirstEvent returns the expected time from the send to the first event of a stream at the
// target of the last grant. It must not be called while the request waits.
func (w *Waiter) ExpectedFirstEvent() time.Duration { return w.expectedFirstEvent }

// work returns the request's work at an engine.
func (w *Waiter) work() finish.Request {
	return finish.Request{Prefill: w.PrefillTime, Events: finish.ExpectedEvents(w.Request.MaxTokens, w.EventTokens)}
}

// Exclude keeps the request from being dispatched to a target again.
func (w *Waiter) Exclude(target string) {
	if !w.excludes(target) {
		w.excluded = append(w.excluded, target)
	}
}

func (w *Waiter) excludes(target string) bool {
	for _, name := range w.excluded {
		if name == target {
			return true
		}
	}
	return false
}

// Grant assigns a request to a target for one attempt.
type Grant struct {
	Waiter *Waiter
	Target string
}

// Expired is a request that left the queue because it had waited too long.
type Expired struct {
	Waiter  *Waiter
	Refusal *refusal.Refusal
}

// ExtendWait lets a request wait for another target after a failed attempt: the target has used up
// the caller's time, or the caller already has a part of the response. It may wait until just before
// the time at which its caller gives up, at least for minExtendedWait. The time at the target does
// not count as queueing time.
func (w *Waiter) ExtendWait(now, callerUntil time.Time) {
	restart := restartMargin + time.Duration(slowGapFactor*float64(w.PrefillTime))
	w.extendedUntil = callerUntil.Add(-restart)
	if earliest := now.Add(minExtendedWait); w.extendedUntil.Before(earliest) {
		w.extendedUntil = earliest
	}
	w.queuedAt = now
	w.standby = false
}

// StandBy lets a request that is still running at a silent target wait for another one until the
// given time. Its wait does not indicate overload, since the silent target may go on.
func (w *Waiter) StandBy(until time.Time) {
	w.extendedUntil = until
	w.standby = true
}

// allowsVersion reports whether the request may use targets of a version.
func (w *Waiter) allowsVersion(version string) bool {
	return w.RolloutVersion == "" || (version == w.RolloutVersion) != w.AvoidRolloutVersion
}

func (w *Waiter) queueItem() flow.Item {
	latest := w.Request.Arrived.Add(time.Duration(maxWaitFraction * float64(w.FirstByteTimeout)))
	if w.extendedUntil.After(latest) {
		latest = w.extendedUntil
	}
	return flow.Item{Request: w.Request, Cost: float64(w.Request.EstimatedTokens()), FreshUntil: w.FreshUntil, LatestStart: latest}
}

// checkQueueDelay refuses a request at once if another one of its organisation, tier and homes has
// waited for so long that the caller of this one would probably give up first. A caller that
// is refused early can still retry in time.
func (p *Pool) checkQueueDelay(w *Waiter, now time.Time) *refusal.Refusal {
	maxDelay := time.Duration(refuseWaitFraction * float64(w.FirstByteTimeout))
	for _, other := range p.waiters {
		if other.standby || !other.sharesQueue(w) || p.hasFreeExcluded(other) {
			continue
		}
		if waited := now.Sub(other.queuedAt); waited > maxDelay {
			return refusal.New(refusal.Overloaded, "another request of the organisation and tier has waited for %s, the first-byte timeout is %s", waited.Round(time.Millisecond), w.FirstByteTimeout)
		}
	}
	return nil
}

// sharesQueue reports whether two requests have the same organisation, tier and homes, so that the wait
// of one says how long the other would wait.
func (w *Waiter) sharesQueue(other *Waiter) bool {
	return w.Request.Organisation == other.Request.Organisation && w.Request.Tier == other.Request.Tier && w.Homes.equal(&other.Homes)
}

// hasFreeExcluded reports whether a target that the request has excluded has a free slot: the
// request then waits where new ones need not.
func (p *Pool) hasFreeExcluded(w *Waiter) bool {
	for _, name := range w.excluded {
		if t := p.targets[name]; t != nil && t.health.State() == health.Healthy && t.inflight < t.Slots {
			return true
		}
	}
	return false
}
