// Package moves implements moves: rollouts of a new version to the targets of a
// pool. A Controller per pool takes the steps. A Tracker on every host collects
// samples, halts a bad version without the controller and holds the current
// traffic split.
package moves

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/moves/analysis"
	"sardinefront.dev/moves/control"
)

// Observation is the outcome of one request that was sent to a target of a pool
// with a running move. Failed dials, refusals and callers that disconnected are
// not observed, because they do not depend on the version.
type Observation struct {
	MoveID  string // from TrafficSplit
	Version string
	Target  string // name in the platform's target list
	Route   string
	Tier    request.Tier
	Result  analysis.Result
	// FirstToken is the time from dispatch to the first byte, BetweenTokens the
	// mean time between tokens. 0 means not measured.
	FirstToken, BetweenTokens time.Duration
}

// TrafficSplit holds the new version's shares of the requests to one pool. It
// is immutable. It remains after the move has ended; a serve rule without a
// move rule takes precedence unless Phase is Running.
type TrafficSplit struct {
	MoveID, From, To string
	// NewVersionShare is the share of the requests for version To, 0 to 1, by
	// tier.
	NewVersionShare [request.TierCount]float64
	// Halted means that no requests may be sent to version To.
	Halted bool
	Phase  control.Phase
	Step   int
	Seq    uint64
}

// PickVersion returns the version for a request of the tier; u is uniform in
// [0, 1). If no target of the new version can serve the request, the host may
// use the old version instead, but never the reverse.
func (s *TrafficSplit) PickVersion(t request.Tier, u float64) string {
	if !s.Halted && int(t) < len(s.NewVersionShare) && u < s.NewVersionShare[t] {
		return s.To
	}
	return s.From
}

// trackedMove holds a pool's state and the samples of its last move.
type trackedMove struct {
	state          control.State
	samples        *analysis.Samples
	verdict        analysis.Verdict
	urgentRequests uint64 // observed, halved at maxTierRequests
	otherRequests  uint64 // likewise
}

// Tracker keeps this host's samples, halts and traffic splits of all moves. Its
// methods are safe for concurrent use.
type Tracker struct {
	host      string
	ungrouped bool

	mu     sync.Mutex
	pools  map[string]*trackedMove
	halts  map[string]Halt
	splits atomic.Pointer[map[string]*TrafficSplit]
}

// NewTracker returns a tracker for the host with the given name and
// incarnation.
func NewTracker(host string) *Tracker {
	t := &Tracker{host: host, pools: map[string]*trackedMove{}, halts: map[string]Halt{}}
	t.splits.Store(&map[string]*TrafficSplit{})
	return t
}

// ApplyState applies a state that was read from the store or received from a
// peer, if its sequence number is greater than that of the current state. It
// reports whether it did.
func (t *Tracker) ApplyState(pool string, s control.State, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.pools[pool]
	if m != nil && m.state.Seq >= s.Seq {
		return false
	}
	if m == nil || !s.HasMoveID(m.state.ID) {
		m = &trackedMove{samples: analysis.NewSamples()}
		t.pools[pool] = m
	}
	m.state = s
	for id, p := range s.Ended {
		if p == control.RolledBack {
			t.recordHalt(Halt{MoveID: id, Pool: pool, Version: s.Move.To, Reason: s.Reason,
				DetectedBy: "state", DetectedAt: now})
		}
	}
	t.publish()
	return true
}

// State returns the current state of the pool. It returns false if there is
// none.
func (t *Tracker) State(pool string) (control.State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.pools[pool]
	if m == nil {
		return control.State{}, false
	}
	return m.state, true
}

// TrafficSplit returns the pool's traffic split, or nil if it has no move. It
// does not lock.
func (t *Tracker) TrafficSplit(pool string) *TrafficSplit { return (*t.splits.Load())[pool] }

// publish replaces the traffic splits that readers see. The caller must hold
// mu.
func (t *Tracker) publish() {
	next := make(map[string]*TrafficSplit, len(t.pools))
	for pool, m := range t.pools {
		s := m.state
		if s.Phase == control.Idle {
			continue
		}
		next[pool] = &TrafficSplit{MoveID: s.ID, From: s.Move.From, To: s.Move.To, NewVersionShare: s.Shares,
			Halted: t.haltOf(s) != nil, Phase: s.Phase, Step: s.Step, Seq: s.Seq}
	}
	t.splits.Store(&next)
}

// haltOf returns the halt of the state's move, or nil. A halt that arrives
// after the move is done has no effect.
func (t *Tracker) haltOf(s control.State) *Halt {
	if s.Phase == control.Done {
		return nil
	}
	for _, id := range append(slices.Clone(s.Aliases), s.ID) {
		if h, ok := t.halts[id]; ok {
			return &h
		}
	}
	return nil
}

// Observe counts one request to the pool. Observations of other moves and
// versions are ignored.
func (t *Tracker) Observe(o Observation, pool string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.pools[pool]
	if m == nil || m.state.Phase != control.Running || !m.state.HasMoveID(o.MoveID) {
		return
	}
	s := &m.state
	if o.Version != s.Move.From && o.Version != s.Move.To {
		return
	}
	m.countTier(o.Tier)
	k := analysis.CellKey{RouteKey: analysis.RouteKey{Route: o.Route, Urgent: o.Tier == request.Urgent},
		NewVersion: o.Version == s.Move.To, Group: s.Group(o.Target)}
	m.samples.Observe(t.host, now, k, o.Result, o.FirstToken, o.BetweenTokens)
}

// maxTierRequests limits the request counts from which urgentFraction is computed.
// Above it, they are halved.
const maxTierRequests = 10000

func (m *trackedMove) countTier(t request.Tier) {
	if t == request.Urgent {
		m.urgentRequests++
	} else {
		m.otherRequests++
	}
	if m.urgentRequests+m.otherRequests > maxTierRequests {
		m.urgentRequests /= 2
		m.otherRequests /= 2
	}
}

// urgentFraction returns the fraction of urgent requests, or 0 before 100 requests.
func (m *trackedMove) urgentFraction() float64 {
	n := m.urgentRequests + m.otherRequests
	if n < 100 {
		return 0
	}
	return float64(m.urgentRequests) / float64(n)
}

// Evaluate compares the versions of all running moves. It returns new halts,
// which the host must send to all reachable peers. Call it at least every second.
func (t *Tracker) Evaluate(now time.Time) []Halt {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Halt
	for _, pool := range slices.Sorted(maps.Keys(t.pools)) {
		m := t.pools[pool]
		s := m.state
		if s.Phase != control.Running || t.haltOf(s) != nil {
			continue
		}
		m.verdict = analysis.Evaluate(m.samples, now, analysis.Config{
			Targets: len(s.Roster), Duration: s.Move.By.Sub(s.Started), Ungrouped: t.ungrouped})
		if !m.verdict.Bad {
			continue
		}
		h := Halt{MoveID: s.ID, Pool: pool, Version: s.Move.To, Reason: m.verdict.Reason(),
			DetectedBy: t.host, DetectedAt: now}
		t.recordHalt(h)
		found = append(found, h)
	}
	if len(found) > 0 {
		t.publish()
	}
	return found
}

// recordHalt records a halt unless the move has one, and reports whether it
// did.
func (t *Tracker) recordHalt(h Halt) bool {
	if _, ok := t.halts[h.MoveID]; ok {
		return false
	}
	t.halts[h.MoveID] = h
	return true
}

// ApplyHalt applies a peer's halt and reports whether it is new. A new halt
// must be forwarded to the other peers.
func (t *Tracker) ApplyHalt(h Halt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	isNew := t.recordHalt(h)
	if isNew {
		t.publish()
	}
	return isNew
}

// PendingHalts returns the halts that are not recorded in a state yet, sorted
// by move id. Send them with every digest and to new hosts.
func (t *Tracker) PendingHalts() []Halt {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Halt
	for _, id := range slices.Sorted(maps.Keys(t.halts)) {
		h := t.halts[id]
		if m := t.pools[h.Pool]; m != nil {
			if _, recorded := m.state.Ended[id]; recorded {
				continue
			}
		}
		all = append(all, h)
	}
	return all
}

// Halted reports whether no requests may be sent to the version of the pool.
// Call it right before each dispatch. It does not lock.
func (t *Tracker) Halted(pool, version string) bool {
	s := t.TrafficSplit(pool)
	return s != nil && s.Halted && s.To == version
}

// Evaluation is the part of the tracked data that the controller needs.
type Evaluation struct {
	Verdict        analysis.Verdict
	HaltReason     string  // empty if the move is not halted
	UrgentFraction float64 // fraction of urgent requests, 0 to 1
}

// LastEvaluation returns the result of the last Evaluate for the pool.
func (t *Tracker) LastEvaluation(pool string) Evaluation {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.pools[pool]
	if m == nil {
		return Evaluation{}
	}
	result := Evaluation{Verdict: m.verdict, UrgentFraction: m.urgentFraction()}
	if h := t.haltOf(m.state); h != nil {
		result.HaltReason = h.Reason + ", established by " + h.DetectedBy
	}
	return result
}

// NewUngroupedTracker returns a tracker that ignores which target served a
// request. It exists only to measure the benefit of comparing by target.
func NewUngroupedTracker(host string) *Tracker {
	t := NewTracker(host)
	t.ungrouped = true
	return t
}
