package rollout

import (
	"fmt"
	"time"

	"sardinefront.dev/moves/analysis"
)

const (
	// decisionLead is the time before the end of the duration at which the outcome is written. A
	// write may take a few attempts, and an order may have been written earlier than assumed.
	decisionLead = 650 * time.Millisecond
	// fallbackLead is the time before the end of the duration at which every host completes a
	// rollout that is still running: the leader may be stopped, or cut off from the store, and
	// counts as alive for longer than decisionLead.
	fallbackLead = 300 * time.Millisecond
	// unprovenLead is the time before the end of the duration at which every host rolls back a
	// rollout that is still running and unproven. Hosts that have seen more complete it before.
	unprovenLead = 150 * time.Millisecond
	// minObservedFraction is the part of the time since the start of an order that a host must
	// have observed to tell a version without faults from one that it knows nothing about.
	minObservedFraction = 1.0 / 3
)

// Decision is a state of an order that should be written to the store.
type Decision struct {
	Order  Order
	State  State
	Reason string
	// Repeated is set if this host knows that the store has held the state, and may have lost it.
	Repeated bool
}

// Decide evaluates the observations of all orders and returns the states that the store should
// hold, at each call. The leader completes good rollouts, and the other hosts do shortly before the
// end if the leader has not. Every host rolls a bad version back immediately, and an unproven one
// at the end. The targets function returns the number of listed targets of a service, and of those
// that serve the version.
func (t *Tracker) Decide(leader bool, targets func(service, version string) (all, ofVersion int), now time.Time) []Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Decision
	for service, st := range t.rollouts {
		if st.state == Running {
			var all int
			all, st.newTargets = targets(service, st.order.Version)
			st.countCompared(now)
			t.evaluate(st, all, now)
		}
		if d := st.decide(leader, now); d != nil {
			out = append(out, *d)
		}
	}
	return out
}

// decide returns the state that the store should hold, or nil if this host need not write it.
func (st *rolloutState) decide(leader bool, now time.Time) *Decision {
	switch st.state {
	case RolledBack:
		return &Decision{Order: st.order, State: RolledBack, Reason: st.reason, Repeated: st.rewrite}
	case Done:
		if !st.rewrite {
			return nil
		}
		return &Decision{Order: st.order, State: Done, Reason: st.reason, Repeated: true}
	}
	left := st.order.Duration - now.Sub(st.startedAt)
	// A leader that has observed little leaves the completion to the other hosts, which may have
	// found a fault.
	lead := fallbackLead
	if leader && st.observedEnough(now) {
		lead = decisionLead
	}
	switch {
	case left <= unprovenLead && st.unproven(now):
		// The state of this host does not change before the store has accepted the rollback: a
		// host that knows more may have completed the rollout.
		return &Decision{Order: st.order, State: RolledBack, Reason: "the version is unproven: " + st.observed(now)}
	case left <= lead && !st.unproven(now):
		return &Decision{Order: st.order, State: Done, Reason: "no fault detected: " + st.observed(now)}
	case leader:
		return &Decision{Order: st.order, State: Running}
	}
	return nil
}

func (t *Tracker) evaluate(st *rolloutState, targets int, now time.Time) {
	at := st.scaledTime(now)
	if now.Sub(st.comparedAt) >= comparisonInterval {
		st.evidence, st.comparedAt = compareSpeeds(st.speeds.byVersion()), now
	}
	grouped := analysis.Evaluate(st.samples, at, analysis.Config{Targets: targets, Duration: evaluatedDuration})
	ungrouped := analysis.Evaluate(st.samples, at, analysis.Config{Targets: targets, Duration: evaluatedDuration, Ungrouped: true})
	// Without groups, a version whose targets have slower hardware would count as slow.
	ungroupedFailing := ungrouped.Bad && (ungrouped.Metric == analysis.Failures || ungrouped.Metric == analysis.Truncations)
	due := now.Sub(st.startedAt) >= st.order.Duration-decisionLead
	switch {
	case st.evidence.sufficient():
		st.rollBack(st.evidence.reason())
	case grouped.Bad:
		st.rollBack(grouped.Reason())
	case ungroupedFailing:
		st.rollBack(ungrouped.Reason())
	case due && st.evidence.suspect():
		st.rollBack(fmt.Sprintf("suspected fault at the end of the rollout: %s", st.evidence.reason()))
	case due && grouped.Suspect:
		st.rollBack(fmt.Sprintf("suspected fault at the end of the rollout: %s", grouped.Reason()))
	}
}

// observedEnough reports whether this process has observed enough of the time since the order to
// conclude from the absence of faults that there are none. Time after the end does not count.
func (st *rolloutState) observedEnough(now time.Time) bool {
	if end := st.startedAt.Add(st.order.Duration); now.After(end) {
		now = end
	}
	return now.Sub(st.observedFrom).Seconds() >= minObservedFraction*now.Sub(st.startedAt).Seconds()
}

// unproven reports whether too little is known of the new version to complete the rollout: no target
// of it is listed, or this process has observed only a small part of the rollout and holds too few
// requests to compare both versions, its own and those of peers.
func (st *rolloutState) unproven(now time.Time) bool {
	if st.newTargets == 0 {
		return true
	}
	return !st.observedEnough(now) && !st.comparable
}

// countCompared records whether this process holds enough requests to compare both versions, so that
// the split of a request need not sum the samples.
func (st *rolloutState) countCompared(now time.Time) {
	oldVersion, newVersion := st.samples.Requests(st.scaledTime(now))
	st.comparable = min(oldVersion, newVersion) >= analysis.MinComparedRequests
}

// observed describes what this process has observed, for the reason of an outcome.
func (st *rolloutState) observed(now time.Time) string {
	oldVersion, newVersion := st.samples.Requests(st.scaledTime(now))
	return fmt.Sprintf("%d requests of the new version and %d of the old one, %d targets of the new version, %s of %s observed", newVersion, oldVersion, st.newTargets,
		now.Sub(st.observedFrom).Round(time.Millisecond), now.Sub(st.startedAt).Round(time.Millisecond))
}
