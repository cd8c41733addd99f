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
	moveEvalInterval = 500 * time.Millisecond
	// controllerEvery is how often a rollout controller looks for a due step.
	controllerInterval = time.Second
	// evidenceBytes bounds the evidence on one move in a message.
	maxSampleBytes = 2048
	// evidenceEvery is the shortest time between two messages of evidence, and
	// evidencePerHost what each host of the fleet adds to it, so that a
	// collector receives about 3 KB/s however many hosts there are.
	minSampleInterval     = time.Second
	sampleIntervalPerHost = 250 * time.Millisecond
	// stateTimeout bounds a read of a move's state, stateRetry the pause after a
	// failed one.
	moveStateTimeout       = 2 * time.Second
	moveStateRetryInterval = 2 * time.Second
)

const (
	// kindMoveState asks a peer for the state of a pool's move.
	kindMoveState = "move-state"
	// kindEvidence hands evidence on a move to a collector.
	kindMoveSamples = "move-evidence"
)

// runMoves weighs the evidence of all moves and spreads halts.
func (h *Host) runMoves() {
	tick := time.NewTicker(moveEvalInterval)
	defer tick.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case now := <-tick.C:
			for _, halt := range h.moveTracker.Evaluate(now) {
				h.publishHalt(halt)
			}
			for _, runner := range *h.pools.Load() {
				h.applyVersionShares(runner)
			}
		}
	}
}

// halted stops the version here at once and tells all reachable peers.
func (h *Host) publishHalt(halt moves.Halt) {
	h.applyHalt(halt)
	if h.fleet == nil {
		return
	}
	if body, err := cbor.Marshal(halt); err == nil {
		h.fleet.BroadcastHalt(body)
	}
}

func (h *Host) applyHalt(halt moves.Halt) {
	event.VersionHalted.Log(h.log,
		slog.String("pool", halt.Pool), slog.String("move", halt.MoveID), slog.String("version", halt.Version),
		slog.String("reason", halt.Reason), slog.String("by", halt.DetectedBy))
	if runner, ok := (*h.pools.Load())[halt.Pool]; ok {
		h.applyVersionShares(runner)
	}
}

// runEvidence sends this host's evidence to the hosts that may steer each
// pool, which thereby judge a version on the whole fleet's requests.
func (h *Host) runMoveSamples() {
	for round := 0; h.ctx.Err() == nil; round++ {
		members := h.fleet.Members()
		h.sleep(max(minSampleInterval, time.Duration(len(members))*sampleIntervalPerHost))
		for name := range *h.pools.Load() {
			h.sendMoveSamples(name, members, round)
		}
	}
}

func (h *Host) sendMoveSamples(poolName string, members []member.Member, round int) {
	samples, err := h.moveTracker.Digest(poolName, time.Now(), maxSampleBytes)
	if err != nil || len(samples) == 0 {
		return
	}
	recipients := rankHosts(h.settings.Host.Name, members, poolRankKey(poolName))
	recipient := recipients[round%min(candidateCount, len(recipients))].Name
	if recipient == h.settings.Host.Name {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, peerCallTimeout)
	defer cancel()
	_, _ = h.fleet.Call(ctx, recipient, kindMoveSamples, samples)
}

// receiveHalt takes a peer's halt. The fleet passes it on.
func (h *Host) receiveHalt(_ string, body []byte) {
	var halt moves.Halt
	if cbor.Unmarshal(body, &halt) == nil && h.moveTracker.ApplyHalt(halt) {
		h.applyHalt(halt)
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
	s, ok := h.moveTracker.State(poolName)
	if !ok {
		return nil
	}
	encoded, err := moves.EncodeState(s)
	if err != nil {
		return nil
	}
	body, err := cbor.Marshal(moveState{State: encoded, Halts: h.moveTracker.PendingHalts()})
	if err != nil {
		return nil
	}
	return body
}

// learnMoveState fetches a newer state from a peer.
func (h *Host) fetchMoveState(from, poolName string, seq uint64) {
	if cur, ok := h.moveTracker.State(poolName); ok && cur.Seq >= seq {
		return
	}
	h.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, peerCallTimeout)
		defer cancel()
		body, err := h.fleet.Call(ctx, from, kindMoveState, []byte(poolName))
		if err != nil {
			return
		}
		h.applyMoveState(poolName, body)
	})
}

func (h *Host) applyMoveState(poolName string, body []byte) {
	var m moveState
	if cbor.Unmarshal(body, &m) != nil {
		return
	}
	for _, halt := range m.Halts {
		if h.moveTracker.ApplyHalt(halt) {
			h.applyHalt(halt)
		}
	}
	s, err := moves.DecodeState(m.State)
	if err != nil || !h.moveTracker.ApplyState(poolName, s, time.Now()) {
		return
	}
	if runner, ok := (*h.pools.Load())[poolName]; ok {
		h.applyVersionShares(runner)
	}
}
