package host

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/core/event"
	"sardinefront.dev/fleet/member"
	"sardinefront.dev/moves"
	"sardinefront.dev/moves/steer"
	"sardinefront.dev/platform"
	"sardinefront.dev/rules"
	"sardinefront.dev/sched/pool"
	"sardinefront.dev/target"
)

const (
	// checkMovesEvery is how often evidence is weighed. A halt must reach every
	// dispatch within 2 s of the evidence.
	checkMovesEvery = 500 * time.Millisecond
	// controllerEvery is how often a rollout controller looks for a due step.
	controllerEvery = time.Second
	// evidenceBytes bounds the evidence on one move in a message.
	evidenceBytes = 2048
	// evidenceEvery is the shortest time between two messages of evidence, and
	// evidencePerHost what each host of the fleet adds to it, so that a
	// collector receives about 3 KB/s however many hosts there are.
	evidenceEvery   = time.Second
	evidencePerHost = 250 * time.Millisecond
)

const (
	// kindMoveState asks a peer for the state of a pool's move.
	kindMoveState = "move-state"
	// kindEvidence hands evidence on a move to a collector.
	kindEvidence = "move-evidence"
)

// rollout is this host's part in the moves of one pool.
type rollout struct {
	h          *Host
	runner     *poolRunner
	model      string
	controller *moves.Controller
}

// startRollout starts the rollout controller of a pool of engines. Hosts that
// may not give orders to the pool's engines only track the moves of others.
func (h *Host) startRollout(p rules.Pool, runner *poolRunner) {
	r := &rollout{h: h, runner: runner, model: p.Name}
	if h.weights == nil {
		return
	}
	r.controller = moves.NewController(moves.Config{
		Pool:      p.Name,
		Model:     p.Name,
		Host:      h.owner.Host + "/" + strconv.FormatUint(h.owner.Incarnation, 10),
		KV:        h.store,
		Weights:   h.weights,
		Loader:    r,
		Tracker:   h.tracker,
		Now:       time.Now,
		Moves:     r.rules,
		Targets:   runner.steerTargets,
		Candidate: r.candidate,
		Fenced:    p.Fenced,
		OnReport:  r.report,
		Count:     h.metrics.Move,
		OnError: func(err error) {
			event.MoveRetried.Log(h.log, slog.String("pool", p.Name), slog.String("error", err.Error()))
		},
	})
	h.tasks.Go(r.run)
}

func (r *rollout) run() {
	tick := time.NewTicker(controllerEvery)
	defer tick.Stop()
	for {
		select {
		case <-r.h.ctx.Done():
			// The lease is given up, so that a successor need not wait.
			r.controller.Close(context.Background())
			return
		case <-tick.C:
			r.controller.Tick(r.h.ctx)
			r.h.applyShares(r.runner)
		}
	}
}

// rules returns the pool's move rules in force that have not ended.
func (r *rollout) rules() []steer.Move {
	set := r.h.rules.Load()
	if set == nil {
		return nil
	}
	var found []steer.Move
	for _, m := range set.rules.Moves() {
		if m.Pool == r.runner.name && !m.Ended {
			found = append(found, steer.Move{
				Pool: m.Pool, Model: r.model, From: strconv.Itoa(m.From), To: strconv.Itoa(m.To), By: m.By, AtMost: m.AtMost,
			})
		}
	}
	return found
}

// candidate reports whether this host may steer the pool: the settings allow it
// to give orders there and it comes first in the order of hosts. A pool without
// a move, and without one that ended, needs no lease and no calls to the store.
func (r *rollout) candidate() bool {
	set := r.h.rules.Load()
	if set == nil {
		return false
	}
	p, ok := set.rules.Pool(r.runner.name)
	if !ok || (!p.Checked && !r.h.settings.Orders.MayOrder(p.Name)) {
		return false
	}
	if len(r.rules()) == 0 && r.h.tracker.Shares(r.runner.name) == nil {
		return false
	}
	if r.h.fleet == nil {
		return true
	}
	return isCandidate(r.h.settings.Host.Name, r.h.fleet.Members(), poolOrder(r.runner.name))
}

// poolOrder selects the order of hosts for a pool's controller as partitions do
// for their writers.
func poolOrder(pool string) int { return int(xxhash.Sum64String(pool) % (1 << 16)) }

// Load implements moves.Loader.
func (r *rollout) Load(ctx context.Context, name string, o moves.Order) error {
	b, ok := r.runner.backend(name)
	if !ok {
		return platform.ErrNotFound
	}
	e, ok := b.(engineBackend)
	if !ok {
		return platform.ErrNotFound
	}
	return e.Load(ctx, target.Order{Model: o.Model, Version: o.Version, Fence: o.Fence})
}

func (r *rollout) report(e event.Event, rep steer.Report) {
	e.Log(r.h.log,
		slog.String("pool", rep.Move.Pool),
		slog.String("move", rep.ID),
		slog.String("from", rep.Move.From),
		slog.String("to", rep.Move.To),
		slog.String("detail", rep.Detail))
}

// runMoves weighs the evidence of all moves and spreads halts.
func (h *Host) runMoves() {
	tick := time.NewTicker(checkMovesEvery)
	defer tick.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case now := <-tick.C:
			for _, halt := range h.tracker.Check(now) {
				h.halted(halt)
			}
		}
	}
}

// halted stops the version here at once and tells all reachable peers.
func (h *Host) halted(halt moves.Halt) {
	h.haltHere(halt)
	if h.fleet == nil {
		return
	}
	if body, err := cbor.Marshal(halt); err == nil {
		h.fleet.BroadcastHalt(body)
	}
}

func (h *Host) haltHere(halt moves.Halt) {
	event.VersionHalted.Log(h.log,
		slog.String("pool", halt.Pool), slog.String("move", halt.Move), slog.String("version", halt.To),
		slog.String("reason", halt.Reason), slog.String("by", halt.By))
	if runner, ok := (*h.pools.Load())[halt.Pool]; ok {
		h.applyShares(runner)
	}
}

// runEvidence sends this host's evidence to the hosts that may steer each
// pool, which thereby judge a version on the whole fleet's requests.
func (h *Host) runEvidence() {
	for turn := 0; h.ctx.Err() == nil; turn++ {
		members := h.fleet.Members()
		h.sleep(max(evidenceEvery, time.Duration(len(members))*evidencePerHost))
		for name := range *h.pools.Load() {
			h.sendEvidence(name, members, turn)
		}
	}
}

func (h *Host) sendEvidence(poolName string, members []member.Member, turn int) {
	evidence, err := h.tracker.Digest(poolName, time.Now(), evidenceBytes)
	if err != nil || len(evidence) == 0 {
		return
	}
	collectors := ranked(h.settings.Host.Name, members, poolOrder(poolName))
	to := collectors[turn%min(candidates, len(collectors))].Name
	if to == h.settings.Host.Name {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, relayTimeout)
	defer cancel()
	_, _ = h.fleet.Call(ctx, to, kindEvidence, evidence)
}

// receiveHalt takes a peer's halt. The fleet passes it on.
func (h *Host) receiveHalt(_ string, body []byte) {
	var halt moves.Halt
	if cbor.Unmarshal(body, &halt) == nil && h.tracker.TakeHalt(halt) {
		h.haltHere(halt)
	}
}

// applyShares hands the share map in force to the pool's scheduler. Tiers are
// kept apart there: urgent requests use a version only once it has its whole
// share.
func (h *Host) applyShares(runner *poolRunner) {
	s := h.tracker.Shares(runner.name)
	if s == runner.shares.Swap(s) {
		return
	}
	if s == nil {
		runner.do(func(now time.Time) []pool.Action { return runner.sched.SetShares(nil, now) })
		return
	}
	share := max(0, min(1, s.ByTier[len(s.ByTier)-1]))
	if s.Halted {
		share = 0
	}
	// The old version may receive everything: it takes over what the new one
	// cannot serve.
	shares := map[string]float64{s.From: 1, s.To: share}
	if share == 1 {
		shares = map[string]float64{s.From: 0, s.To: 1}
	}
	runner.do(func(now time.Time) []pool.Action { return runner.sched.SetShares(shares, now) })
}

// moveState is the answer to kindMoveState.
type moveState struct {
	_     struct{} `cbor:",toarray"`
	State []byte
	Halts []moves.Halt
}

// serveMoveState answers a peer that saw a greater sequence number in a digest.
func (h *Host) serveMoveState(poolName string) []byte {
	s, ok := h.tracker.State(poolName)
	if !ok {
		return nil
	}
	encoded, err := moves.EncodeState(s)
	if err != nil {
		return nil
	}
	body, err := cbor.Marshal(moveState{State: encoded, Halts: h.tracker.Halts()})
	if err != nil {
		return nil
	}
	return body
}

// learnMoveState fetches a newer state from a peer.
func (h *Host) learnMoveState(from, poolName string, seq uint64) {
	if cur, ok := h.tracker.State(poolName); ok && cur.Seq >= seq {
		return
	}
	h.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, relayTimeout)
		defer cancel()
		body, err := h.fleet.Call(ctx, from, kindMoveState, []byte(poolName))
		if err != nil {
			return
		}
		h.takeMoveState(poolName, body)
	})
}

func (h *Host) takeMoveState(poolName string, body []byte) {
	var m moveState
	if cbor.Unmarshal(body, &m) != nil {
		return
	}
	for _, halt := range m.Halts {
		if h.tracker.TakeHalt(halt) {
			h.haltHere(halt)
		}
	}
	s, err := moves.DecodeState(m.State)
	if err != nil || !h.tracker.Adopt(poolName, s, time.Now()) {
		return
	}
	if runner, ok := (*h.pools.Load())[poolName]; ok {
		h.applyShares(runner)
	}
}
