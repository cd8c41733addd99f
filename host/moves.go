package host

import (
	"context"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/core/event"
	"sardinefront.dev/fleet/member"
	"sardinefront.dev/moves"
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
	// stateTimeout bounds a read of a move's state, stateRetry the pause after a
	// failed one.
	stateTimeout = 2 * time.Second
	stateRetry   = 2 * time.Second
)

const (
	// kindMoveState asks a peer for the state of a pool's move.
	kindMoveState = "move-state"
	// kindEvidence hands evidence on a move to a collector.
	kindEvidence = "move-evidence"
)

// runMoves weighs the evidence of all moves and spreads halts.
func (h *Host) runMoves() {
	tick := time.NewTicker(checkMovesEvery)
	defer tick.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case now := <-tick.C:
			for _, halt := range h.tracker.Evaluate(now) {
				h.halted(halt)
			}
			for _, runner := range *h.pools.Load() {
				h.applyShares(runner)
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
		slog.String("pool", halt.Pool), slog.String("move", halt.MoveID), slog.String("version", halt.Version),
		slog.String("reason", halt.Reason), slog.String("by", halt.DetectedBy))
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
	ctx, cancel := context.WithTimeout(h.ctx, callTimeout)
	defer cancel()
	_, _ = h.fleet.Call(ctx, to, kindEvidence, evidence)
}

// receiveHalt takes a peer's halt. The fleet passes it on.
func (h *Host) receiveHalt(_ string, body []byte) {
	var halt moves.Halt
	if cbor.Unmarshal(body, &halt) == nil && h.tracker.ApplyHalt(halt) {
		h.haltHere(halt)
	}
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
	body, err := cbor.Marshal(moveState{State: encoded, Halts: h.tracker.PendingHalts()})
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
		ctx, cancel := context.WithTimeout(h.ctx, callTimeout)
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
		if h.tracker.ApplyHalt(halt) {
			h.haltHere(halt)
		}
	}
	s, err := moves.DecodeState(m.State)
	if err != nil || !h.tracker.ApplyState(poolName, s, time.Now()) {
		return
	}
	if runner, ok := (*h.pools.Load())[poolName]; ok {
		h.applyShares(runner)
	}
}
