// Package rollout moves the traffic of a service to a new version of its targets by a
// given time, or takes it back. All hosts send the same small share of requests to the
// new version and pool what they see of both; the evidence is weighed by moves/judge.
// Any host may take the version back, and that is final for the order. The package
// does no I/O and reads no clock.
package rollout

import (
	"fmt"
	"sync"
	"time"

	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/moves/judge"
)

// Order asks for traffic to move.
type Order struct {
	Service string
	// Target is the version to move to.
	Version string
	// Over is the time within which the move must end.
	Duration time.Duration
	// Revision is the store's revision of the order.
	Revision int64
}

// State is the state of an order. Later states are final.
type State uint8

// The states.
const (
	Running State = iota
	Done
	RolledBack
)

var stateNames = [...]string{"running", "done", "taken back"}

// String returns the name used in logs.
func (s State) String() string { return stateNames[s] }

// Limits bounds what a bad version may get.
type Limits struct {
	// Share is the part of all requests of the service that it may get between the
	// order and its time limit.
	MaxShare float64
}

const (
	// trialPart is the part of the limit that the trial uses; the rest is for the
	// time in which all requests go to the new version before the old targets stop.
	trialPart = 0.5
	// fullPart is the part of the order's time, at its end, in which all requests go
	// to the new version, so that little is in progress at the old targets when they
	// stop. It is bounded by mostFull, and by what the limit leaves.
	fullPart = 0.1
	mostFull = 1300 * time.Millisecond
	// decideBefore is how long before the time limit the end is written: a write may
	// take a few tries.
	decideBefore = 400 * time.Millisecond
	// judgedLength is the length of a move for which the judge's windows and horizons
	// are made. An order's time is stretched to it.
	judgedLength = 10 * time.Minute
	// maxWindows bounds the windows in one heartbeat.
	maxWindows = 2
)

// move is one order on this host.
type move struct {
	order    Order
	began    time.Time // moved back when a peer has known the order for longer
	state    State
	why      string
	evidence *judge.Samples
	groups   map[string]uint8 // by target
}

// Tracker follows the orders of all services. It is safe for concurrent use.
type Tracker struct {
	host   string
	limits Limits
	mu     sync.Mutex
	moves  map[string]*move
}

// New returns a tracker for the host.
func New(host string, l Limits) *Tracker {
	return &Tracker{host: host, limits: l, moves: map[string]*move{}}
}

// SetLimits replaces the limits, also for orders that run.
func (t *Tracker) SetLimits(l Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = l
}

// Begin takes an order; elapsed is how long it has been known already. An order that
// is known or older changes nothing.
func (t *Tracker) Start(o Order, elapsed time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.moves[o.Service]; m != nil && m.order.Revision >= o.Revision || o.Duration <= 0 {
		return
	}
	t.moves[o.Service] = &move{
		order: o, began: now.Add(-elapsed), evidence: judge.NewSamples(), groups: map[string]uint8{},
	}
}

// End forgets the order of a service.
func (t *Tracker) Remove(service string, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.moves[service]; m != nil && m.order.Revision < revision {
		delete(t.moves, service)
	}
}

// Settle records the end of an order as the store or a peer tells it.
func (t *Tracker) SetOutcome(service string, revision int64, s State, why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.moves[service]; m != nil && m.order.Revision == revision && s != Running {
		m.settle(s, why)
	}
}

// Age records that an order has been known for longer than this process runs.
func (t *Tracker) RecordElapsed(service string, revision int64, elapsed time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.moves[service]; m != nil && m.order.Revision == revision {
		m.age(elapsed, now)
	}
}

// age moves the beginning back, never forward and never before the order's time.
func (m *move) age(elapsed time.Duration, now time.Time) {
	if began := now.Add(-min(elapsed, m.order.Duration)); began.Before(m.began) {
		m.began = began
	}
}

// settle ends a move. Taking back is final; nothing undoes it.
func (m *move) settle(s State, why string) {
	if m.state == RolledBack {
		return
	}
	m.state, m.why = s, why
}

// Split says which targets may take a request.
type Split struct {
	// Target is the new version; empty if there is no order.
	Version string
	// Share is the part of requests for the new version.
	Share float64
}

// Split returns how the requests of a service are split now.
func (t *Tracker) Split(service string, now time.Time) Split {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.moves[service]
	if m == nil {
		return Split{}
	}
	return Split{Version: m.order.Version, Share: t.share(m, now)}
}

func (t *Tracker) share(m *move, now time.Time) float64 {
	switch {
	case m.state == RolledBack:
		return 0
	case m.state == Done || now.Sub(m.began) >= m.order.Duration-m.full(t.limits):
		return 1
	}
	return trialPart * t.limits.MaxShare
}

// full returns the length of the time in which all requests go to the new version.
func (m *move) full(l Limits) time.Duration {
	left := (1 - trialPart) * l.MaxShare * float64(m.order.Duration)
	return min(time.Duration(fullPart*float64(m.order.Duration)), time.Duration(left)+decideBefore, mostFull)
}

// scaled returns the time as the judge sees it: the order's time is stretched to the
// length that its windows are made for.
func (m *move) scaled(now time.Time) time.Time {
	stretch := float64(judgedLength) / float64(m.order.Duration)
	return time.Unix(0, 0).Add(judgedLength + time.Duration(stretch*float64(now.Sub(m.began))))
}

// Observe counts an answer. FirstToken and gap are 0 where they are not known.
func (t *Tracker) Observe(service, version, target, route string, r judge.Result, firstToken, gap time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.moves[service]
	if m == nil || m.state != Running {
		return
	}
	k := judge.CellKey{RouteKey: judge.RouteKey{Route: route}, NewVersion: version == m.order.Version, Group: m.group(target)}
	m.evidence.Observe(t.host, m.scaled(now), k, r, firstToken, gap)
}

// group numbers the targets. Hosts need not agree: a peer's groups are only compared
// with one another where the pool has few targets.
func (m *move) group(target string) uint8 {
	g, ok := m.groups[target]
	if !ok {
		var h uint32
		for _, b := range []byte(target) {
			h = h*31 + uint32(b)
		}
		g = uint8(h % judge.GroupCount)
		m.groups[target] = g
	}
	return g
}

// Decision is an end that should be written to the store.
type Decision struct {
	Order  Order
	State  State
	Reason string
}

// Decide weighs the evidence of all moves and returns the states that the store should
// hold. They are repeated at each call; lead says that this host ends good moves. Every host takes a bad version back
// by itself at once.
func (t *Tracker) Decide(lead bool, targets func(service string) int, now time.Time) []Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Decision
	for service, m := range t.moves {
		if m.state == Running {
			t.judge(m, targets(service), now)
		}
		due := now.Sub(m.began) >= m.order.Duration-decideBefore
		switch {
		case m.state == RolledBack:
			out = append(out, Decision{m.order, RolledBack, m.why})
		case m.state == Running && due && lead:
			out = append(out, Decision{m.order, Done, "no fault was seen"})
		case m.state == Running && lead:
			out = append(out, Decision{m.order, Running, ""})
		}
	}
	return out
}

func (t *Tracker) judge(m *move, targets int, now time.Time) {
	at := m.scaled(now)
	grouped := judge.Evaluate(m.evidence, at, judge.Config{Targets: targets, Duration: judgedLength})
	pooled := judge.Evaluate(m.evidence, at, judge.Config{Targets: targets, Duration: judgedLength, Ungrouped: true})
	// Without groups, a version on slower machines would count as slow.
	countsOnly := pooled.Bad && (pooled.Metric == judge.Failures || pooled.Metric == judge.Truncations)
	switch {
	case grouped.Bad:
		m.settle(RolledBack, grouped.Reason())
	case countsOnly:
		m.settle(RolledBack, pooled.Reason())
	case grouped.Suspect && now.Sub(m.began) >= m.order.Duration-decideBefore:
		m.settle(RolledBack, fmt.Sprintf("suspect at the end: %s", grouped.Reason()))
	}
}

// Report returns what this host tells its peers.
func (t *Tracker) Reports(now time.Time) map[string]peers.Rollout {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]peers.Rollout{}
	for service, m := range t.moves {
		r := peers.Rollout{OrderRevision: m.order.Revision, ElapsedMs: now.Sub(m.began).Milliseconds(), State: uint8(m.state), Reason: m.why}
		if m.state == Running {
			for i, n := range m.evidence.OpenWindows(t.host, m.scaled(now)) {
				if i == maxWindows {
					break
				}
				r.Windows = append(r.Windows, peers.RolloutWindow{Number: n, Routes: judge.EncodeWindow(m.evidence.OpenWindow(t.host, n))})
			}
		}
		out[service] = r
	}
	return out
}

// Heard takes a peer's report.
func (t *Tracker) MergeReports(from string, reports map[string]peers.Rollout, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, r := range reports {
		m := t.moves[service]
		if m == nil || m.order.Revision != r.OrderRevision {
			continue
		}
		m.age(time.Duration(r.ElapsedMs)*time.Millisecond, now)
		if s := State(r.State); s == Done || s == RolledBack {
			m.settle(s, r.Reason)
		}
		for _, w := range r.Windows {
			window, err := judge.DecodeWindow(w.Routes)
			if err != nil {
				return fmt.Errorf("rollout evidence of %s: %w", from, err)
			}
			m.evidence.MergeWindow(from, w.Number, window, m.scaled(now))
		}
	}
	return nil
}
