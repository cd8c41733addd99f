// Package rollout moves the traffic of a service to a new version of its targets within a given
// time, or rolls it back. All hosts send the same small share of requests to the new version and
// exchange their observations of both versions, which moves/analysis evaluates. Any host may roll
// back; the final state in the store decides. The package does no I/O and reads no clock.
package rollout

import (
	"fmt"
	"sync"
	"time"

	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/moves/analysis"
)

// Order is a request to move the traffic of a service to another version.
type Order struct {
	Service string
	// Version is the version to move to.
	Version string
	// Duration is the time within which the rollout must end.
	Duration time.Duration
	// Revision is the store's revision of the order.
	Revision int64
}

// State is the state of an order. Every state but Running is final once the store holds it. A host
// that finds a fault acts on RolledBack at once, and takes over Done if the store holds that.
type State uint8

// The states of an order. Their values are part of the wire format.
const (
	Running State = iota
	Done
	RolledBack
)

var stateNames = [...]string{"running", "done", "rolled back"}

// String returns the name of the state in logs.
func (s State) String() string { return stateNames[s] }

// Limits bounds the exposure to a bad version.
type Limits struct {
	// MaxShare is the part of all requests of the service during the rollout that may go to
	// a bad version.
	MaxShare float64
}

const (
	// canaryFraction is the part of MaxShare that goes to the new version as a canary.
	// The rest is for the time in which all requests go to the new version before the old
	// targets stop.
	canaryFraction = 0.5
	// fullTrafficFraction is the part of the order's duration, before its outcome is written, in
	// which all requests go to the new version, so that few are in progress at the old targets
	// when they stop. maxFullTraffic and the part of MaxShare that the canary leaves also bound
	// that time.
	fullTrafficFraction = 0.06
	maxFullTraffic      = 900 * time.Millisecond
	// comparisonShare is the share of the new version at the end of an unproven rollout, so that
	// both versions are observed.
	comparisonShare = 0.5
	// evaluatedDuration is the duration of a rollout for which the windows and lookbacks of
	// moves/analysis are sized. The time of an order is scaled to it.
	evaluatedDuration = 10 * time.Minute
	// comparisonInterval is how often the speeds are compared: as often as peers report them.
	comparisonInterval = 250 * time.Millisecond
	// maxReportedWindows bounds the observation windows in one heartbeat.
	maxReportedWindows = 2
)

// rolloutState is the state of one order on this host.
type rolloutState struct {
	order     Order
	startedAt time.Time // moved back if a peer got the order earlier
	// observedFrom is the time from which this process has observed the rollout. It is later than
	// startedAt if the process has started since.
	observedFrom time.Time
	state        State
	reason       string
	// newTargets is the number of listed targets of the new version at the last Decide; 1 before.
	newTargets int
	// comparable is true if there were enough requests to compare both versions at the last Decide.
	comparable bool
	// stored is true once the state is known to be the final one in the store.
	stored bool
	// rewrite is set if the store may have lost that state.
	rewrite  bool
	samples  *analysis.Samples
	speeds   speeds
	evidence SpeedEvidence
	// comparedAt is the time of the comparison that returned evidence.
	comparedAt time.Time
	groups     map[string]uint8 // by target
}

// Tracker tracks the orders of all services. Its methods are safe for concurrent use.
type Tracker struct {
	host     string
	limits   Limits
	mu       sync.Mutex
	rollouts map[string]*rolloutState
}

// New returns a tracker without orders for the host.
func New(host string, l Limits) *Tracker {
	return &Tracker{host: host, limits: l, rollouts: map[string]*rolloutState{}}
}

// SetLimits replaces the limits. They also apply to running orders.
func (t *Tracker) SetLimits(l Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = l
}

// Start starts an order that was received the elapsed time ago. It does nothing if the tracker has
// the order or a newer one, or if the order's duration is not positive. An order that is written again
// after StoreRestored goes on.
func (t *Tracker) Start(o Order, elapsed time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.rollouts[o.Service]
	if st != nil && st.order.Revision >= o.Revision || o.Duration <= 0 {
		return
	}
	if st != nil && st.isRewritten(o) {
		st.order.Revision = o.Revision
		return
	}
	startedAt := now.Add(-elapsed)
	t.rollouts[o.Service] = &rolloutState{
		order: o, startedAt: startedAt, observedFrom: startedAt, newTargets: 1, samples: analysis.NewSamples(), speeds: speeds{}, groups: map[string]uint8{},
	}
}

// Remove removes the order of a service if it is older than the revision.
func (t *Tracker) Remove(service string, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if st := t.rollouts[service]; st != nil && st.order.Revision < revision {
		delete(t.rollouts, service)
	}
}

// IsRunning reports whether the tracker has the order and no final state of it.
func (t *Tracker) IsRunning(o Order) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.rollouts[o.Service]
	return st != nil && st.order.Revision == o.Revision && st.state == Running
}

// SetOutcome records the final state that the store holds of an order. It replaces a rollback that
// this host has decided itself: after Done, the old targets stop.
func (t *Tracker) SetOutcome(service string, revision int64, s State, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if st := t.rollouts[service]; st != nil && st.order.Revision == revision && s != Running {
		st.setStored(s, reason)
	}
}

// RecordElapsed moves the start of an order back to the given time ago. It is for orders that
// started before this process.
func (t *Tracker) RecordElapsed(service string, revision int64, elapsed time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if st := t.rollouts[service]; st != nil && st.order.Revision == revision {
		st.recordElapsed(elapsed, now)
	}
}

// recordElapsed moves the start back, never forward and by at most the order's duration.
func (st *rolloutState) recordElapsed(elapsed time.Duration, now time.Time) {
	if startedAt := now.Add(-min(max(0, elapsed), st.order.Duration)); startedAt.Before(st.startedAt) {
		st.startedAt = startedAt
	}
}

// setStored sets the final state in the store.
func (st *rolloutState) setStored(s State, reason string) {
	if !st.stored {
		st.state, st.reason, st.stored = s, reason, true
	}
}

// rollBack ends a running rollout because of a fault that this host or a peer has found.
func (st *rolloutState) rollBack(reason string) {
	if st.state == Running {
		st.state, st.reason = RolledBack, reason
	}
}

// Split is the split of a service's requests between its versions.
type Split struct {
	// Version is the new version; empty if there is no order.
	Version string
	// Share is the part of the requests that goes to the new version.
	Share float64
	// RolledBack means that no request may use the new version.
	RolledBack bool
}

// Split returns the present split of the requests of a service.
func (t *Tracker) Split(service string, now time.Time) Split {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.rollouts[service]
	if st == nil {
		return Split{}
	}
	return Split{Version: st.order.Version, Share: t.share(st, now), RolledBack: st.state == RolledBack}
}

// Outcomes returns the splits of the services whose rollouts have ended on this host.
func (t *Tracker) Outcomes() map[string]Split {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Split{}
	for service, st := range t.rollouts {
		switch st.state {
		case Done:
			out[service] = Split{Version: st.order.Version, Share: 1}
		case RolledBack:
			out[service] = Split{Version: st.order.Version, RolledBack: true}
		}
	}
	return out
}

func (t *Tracker) share(st *rolloutState, now time.Time) float64 {
	switch st.state {
	case RolledBack:
		return 0
	case Done:
		return 1
	}
	left := st.order.Duration - now.Sub(st.startedAt)
	fullTrafficTime := st.fullTrafficTime(t.limits)
	// A smaller share than 1 may be sent for a longer time, at the same exposure.
	comparisonTime := time.Duration(float64(fullTrafficTime) / comparisonShare)
	unproven := left <= comparisonTime && st.unproven(now)
	switch {
	case unproven && left <= unprovenLead:
		return 0
	case unproven:
		return comparisonShare
	case left <= fullTrafficTime:
		return 1
	}
	return canaryFraction * t.limits.MaxShare
}

// fullTrafficTime returns the length of the time at the end of the duration in which all requests
// go to the new version unless it is rolled back.
func (st *rolloutState) fullTrafficTime(l Limits) time.Duration {
	exposureTime := (1 - canaryFraction) * l.MaxShare * float64(st.order.Duration)
	return decisionLead + min(time.Duration(fullTrafficFraction*float64(st.order.Duration)), time.Duration(exposureTime), maxFullTraffic)
}

// scaledTime converts now to the time scale for which the windows and lookbacks of
// moves/analysis are sized.
func (st *rolloutState) scaledTime(now time.Time) time.Time {
	stretch := float64(evaluatedDuration) / float64(st.order.Duration)
	return time.Unix(0, 0).Add(evaluatedDuration + time.Duration(stretch*float64(now.Sub(st.startedAt))))
}

// Observe records the result of a request. firstToken and gap are 0 if they are unknown.
func (t *Tracker) Observe(service, version, target, route string, result analysis.Result, firstToken, gap time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.rollouts[service]
	if st == nil || st.state != Running {
		return
	}
	k := analysis.CellKey{RouteKey: analysis.RouteKey{Route: route}, NewVersion: version == st.order.Version, Group: st.group(target)}
	st.samples.Observe(t.host, st.scaledTime(now), k, result, firstToken, gap)
}

// ObserveSpeed records the gap between the first events of a stream, which is known long before a
// slow stream ends.
func (t *Tracker) ObserveSpeed(service, version, target string, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if st := t.rollouts[service]; st != nil && st.state == Running && gap > 0 {
		st.speeds.observe(t.host, target, version == st.order.Version, gap)
	}
}

// group returns the number of a target's group. Hosts need not agree on it: the groups of a peer
// are only compared with one another, and only if the pool has few targets.
func (st *rolloutState) group(target string) uint8 {
	g, ok := st.groups[target]
	if !ok {
		var h uint32
		for _, b := range []byte(target) {
			h = h*31 + uint32(b)
		}
		g = uint8(h % analysis.GroupCount)
		st.groups[target] = g
	}
	return g
}

// Evidence returns the comparison of the speeds of both versions for each running order, by
// service.
func (t *Tracker) Evidence() map[string]SpeedEvidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]SpeedEvidence{}
	for service, st := range t.rollouts {
		if st.state == Running {
			out[service] = st.evidence
		}
	}
	return out
}

// Reports returns the states of this host's rollouts for heartbeats, by service.
func (t *Tracker) Reports(now time.Time) map[string]peers.Rollout {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]peers.Rollout{}
	for service, st := range t.rollouts {
		r := peers.Rollout{OrderRevision: st.order.Revision, ElapsedMs: now.Sub(st.startedAt).Milliseconds(), State: uint8(st.state), Reason: st.reason}
		if st.state == Running {
			for i, n := range st.samples.OpenWindows(t.host, st.scaledTime(now)) {
				if i == maxReportedWindows {
					break
				}
				r.Windows = append(r.Windows, peers.RolloutWindow{Number: n, Routes: analysis.EncodeWindow(st.samples.OpenWindow(t.host, n))})
			}
			r.Speeds = st.speeds.report(t.host)
		}
		out[service] = r
	}
	return out
}

// MergeReports merges the reports of a peer and reports whether that ends a rollout on this host. It
// returns an error if the observations in one are malformed; reports before that one may have been
// merged.
func (t *Tracker) MergeReports(from string, reports map[string]peers.Rollout, now time.Time) (ended bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, r := range reports {
		st := t.rollouts[service]
		if st == nil || st.order.Revision != r.OrderRevision {
			continue
		}
		st.recordElapsed(time.Duration(r.ElapsedMs)*time.Millisecond, now)
		wasRunning := st.state == Running
		switch State(r.State) {
		case Done: // hosts report it only once the store holds it
			st.setStored(Done, r.Reason)
		case RolledBack:
			st.rollBack(r.Reason)
		}
		ended = ended || wasRunning && st.state != Running
		st.speeds.mergeReport(from, r.Speeds)
		for _, w := range r.Windows {
			window, err := analysis.DecodeWindow(w.Routes)
			if err != nil {
				return ended, fmt.Errorf("rollout observations of service %s from host %s, window %d: %w", service, from, w.Number, err)
			}
			st.samples.MergeWindow(from, w.Number, window, st.scaledTime(now))
		}
	}
	return ended, nil
}
