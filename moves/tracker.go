// Package moves rolls out versions. A Controller per pool takes the steps, and
// a Tracker on every host collects evidence, stops a bad version on its own and
// holds the shares in force.
package moves

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/moves/judge"
	"sardinefront.dev/moves/steer"
)

// Observation is the end of one request that was sent to a target of a pool
// with a running move. Failed dials, refusals and callers that left are not
// observed, because they say nothing about the version.
type Observation struct {
	MoveID  string // id, from Shares
	Version string
	Target  string // name in the platform's list
	Route   string
	Tier    request.Tier
	Result  judge.Result
	// FirstToken is the time from dispatch to the first byte, BetweenTokens the
	// mean time between tokens; 0 where not measured.
	FirstToken, BetweenTokens time.Duration
}

// Shares is the share map of one pool. It is immutable. It stays after the move
// has ended; a serve rule without a move rule takes precedence unless Phase is
// Running.
type TrafficSplit struct {
	MoveID, From, To string
	// ByTier is the share of requests for version To, 0 to 1.
	NewVersionShare [request.TierCount]float64
	// Halted means that nothing may be sent to version To.
	Halted bool
	Phase  steer.Phase
	Step   int
	Seq    uint64
}

// Version returns the version for a request of the tier; u is uniform in
// [0, 1). If no target of that version can serve, the host may use the old
// version instead of the new one, never the reverse.
func (s *TrafficSplit) PickVersion(t request.Tier, u float64) string {
	if !s.Halted && int(t) < len(s.NewVersionShare) && u < s.NewVersionShare[t] {
		return s.To
	}
	return s.From
}

// track is the evidence of one running move.
type track struct {
	state    steer.State
	evidence *judge.Samples
	verdict  judge.Verdict
	urgent   uint64 // requests seen, by kind, halved now and then
	other    uint64
}

// Tracker is the host's part in all moves. Its methods are safe for concurrent
// use.
type Tracker struct {
	host   string
	pooled bool

	mu     sync.Mutex
	pools  map[string]*track
	halts  map[string]Halt
	shares atomic.Pointer[map[string]*TrafficSplit]
}

// NewTracker returns a tracker for the host with the given name and
// incarnation.
func NewTracker(host string) *Tracker {
	t := &Tracker{host: host, pools: map[string]*track{}, halts: map[string]Halt{}}
	t.shares.Store(&map[string]*TrafficSplit{})
	return t
}

// Adopt takes a state that was read from the store or received from a peer.
// Only a state with a greater sequence number has an effect. It reports whether
// the state was taken.
func (t *Tracker) ApplyState(pool string, s steer.State, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.pools[pool]
	if tr != nil && tr.state.Seq >= s.Seq {
		return false
	}
	if tr == nil || !s.HasMoveID(tr.state.ID) {
		tr = &track{evidence: judge.NewSamples()}
		t.pools[pool] = tr
	}
	tr.state = s
	for id, p := range s.Ended {
		if p == steer.RolledBack {
			t.halt(Halt{MoveID: id, Pool: pool, Version: s.Move.To, Reason: s.Reason, DetectedBy: "state", DetectedAt: now})
		}
	}
	t.publish()
	return true
}

// State returns the state in force, to be given to a peer.
func (t *Tracker) State(pool string) (steer.State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.pools[pool]
	if tr == nil {
		return steer.State{}, false
	}
	return tr.state, true
}

// Shares returns the pool's share map, or nil if it has no move. It does not
// lock.
func (t *Tracker) TrafficSplit(pool string) *TrafficSplit { return (*t.shares.Load())[pool] }

// publish swaps the share maps. The caller holds the lock.
func (t *Tracker) publish() {
	next := make(map[string]*TrafficSplit, len(t.pools))
	for pool, tr := range t.pools {
		s := tr.state
		if s.Phase == steer.Idle {
			continue
		}
		next[pool] = &TrafficSplit{MoveID: s.ID, From: s.Move.From, To: s.Move.To, NewVersionShare: s.Shares,
			Halted: t.haltOf(s) != nil, Phase: s.Phase, Step: s.Step, Seq: s.Seq}
	}
	t.shares.Store(&next)
}

// haltOf returns the halt that concerns the state's move, nil if none. A halt
// that arrives after the move is done has no effect any more.
func (t *Tracker) haltOf(s steer.State) *Halt {
	if s.Phase == steer.Done {
		return nil
	}
	for _, id := range append(slices.Clone(s.Aliases), s.ID) {
		if h, ok := t.halts[id]; ok {
			return &h
		}
	}
	return nil
}

// Observe counts one request. Observations of other moves and versions are
// ignored.
func (t *Tracker) Observe(o Observation, pool string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.pools[pool]
	if tr == nil || tr.state.Phase != steer.Running || !tr.state.HasMoveID(o.MoveID) {
		return
	}
	s := &tr.state
	if o.Version != s.Move.From && o.Version != s.Move.To {
		return
	}
	tr.countTier(o.Tier)
	k := judge.CellKey{RouteKey: judge.RouteKey{Route: o.Route, Urgent: o.Tier == request.Urgent},
		NewVersion: o.Version == s.Move.To, Group: s.Group(o.Target)}
	tr.evidence.Observe(t.host, now, k, o.Result, o.FirstToken, o.BetweenTokens)
}

// tierMemory bounds the counts from which UrgentShare is derived.
const tierMemory = 10000

func (tr *track) countTier(t request.Tier) {
	if t == request.Urgent {
		tr.urgent++
	} else {
		tr.other++
	}
	if tr.urgent+tr.other > tierMemory {
		tr.urgent /= 2
		tr.other /= 2
	}
}

// urgentShare returns the part of urgent requests; 0 before 100 requests.
func (tr *track) urgentShare() float64 {
	n := tr.urgent + tr.other
	if n < 100 {
		return 0
	}
	return float64(tr.urgent) / float64(n)
}

// Check weighs the evidence of all running moves. It returns new halts, which
// the host must send to all reachable peers. Call it every second.
func (t *Tracker) Evaluate(now time.Time) []Halt {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Halt
	for _, pool := range slices.Sorted(maps.Keys(t.pools)) {
		tr := t.pools[pool]
		s := tr.state
		if s.Phase != steer.Running || t.haltOf(s) != nil {
			continue
		}
		tr.verdict = judge.Evaluate(tr.evidence, now, judge.Config{
			Targets: len(s.Roster), Duration: s.Move.By.Sub(s.Started), Ungrouped: t.pooled})
		if !tr.verdict.Bad {
			continue
		}
		h := Halt{MoveID: s.ID, Pool: pool, Version: s.Move.To, Reason: tr.verdict.Reason(), DetectedBy: t.host, DetectedAt: now}
		t.halt(h)
		found = append(found, h)
	}
	if len(found) > 0 {
		t.publish()
	}
	return found
}

// halt records a halt; the first one stays.
func (t *Tracker) halt(h Halt) bool {
	if _, ok := t.halts[h.MoveID]; ok {
		return false
	}
	t.halts[h.MoveID] = h
	return true
}

// TakeHalt takes a peer's halt and reports whether it was new. A new halt must
// be passed on.
func (t *Tracker) ApplyHalt(h Halt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	fresh := t.halt(h)
	if fresh {
		t.publish()
	}
	return fresh
}

// Halts returns the halts that no state records yet, in order of move id. Send
// them with every digest, and to new hosts.
func (t *Tracker) PendingHalts() []Halt {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Halt
	for _, id := range slices.Sorted(maps.Keys(t.halts)) {
		h := t.halts[id]
		if tr := t.pools[h.Pool]; tr != nil {
			if _, recorded := tr.state.Ended[id]; recorded {
				continue
			}
		}
		all = append(all, h)
	}
	return all
}

// Halted reports whether nothing may be sent to the version of the pool. Ask
// right before each dispatch. It does not lock.
func (t *Tracker) Halted(pool, version string) bool {
	s := t.TrafficSplit(pool)
	return s != nil && s.Halted && s.To == version
}

// View is what the controller needs from the evidence.
type Evaluation struct {
	Verdict     judge.Verdict
	HaltReason  string
	UrgentShare float64
}

// View returns the result of the last Check for the pool.
func (t *Tracker) LastEvaluation(pool string) Evaluation {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.pools[pool]
	if tr == nil {
		return Evaluation{}
	}
	v := Evaluation{Verdict: tr.verdict, UrgentShare: tr.urgentShare()}
	if h := t.haltOf(tr.state); h != nil {
		v.HaltReason = h.Reason + ", established by " + h.DetectedBy
	}
	return v
}

// NewPooledTracker returns a tracker that ignores which target answered. It
// exists to measure what the comparison by target is worth; do not use it.
func NewUngroupedTracker(host string) *Tracker {
	t := NewTracker(host)
	t.pooled = true
	return t
}
