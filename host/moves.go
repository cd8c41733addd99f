package host

import (
	"context"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/wait"
	"sardinefront.dev/fleet/member"
	"sardinefront.dev/moves"
)

const (
	// moveEvalInterval is how often running moves are evaluated. A halt must apply to every
	// dispatch within 2 s of the samples that cause it.
	moveEvalInterval = 500 * time.Millisecond
	// controllerInterval is how often a rollout controller checks for a due step.
	controllerInterval = time.Second
	// maxSampleBytes bounds the encoded samples of one move in a message.
	maxSampleBytes = 2048
	// minSampleInterval is the minimum time between two messages with samples.
	// sampleIntervalPerHost times the number of hosts replaces it in larger fleets, so that a
	// candidate receives about 3 KB/s regardless of the number of hosts.
	minSampleInterval     = time.Second
	sampleIntervalPerHost = 250 * time.Millisecond
	// moveStateTimeout bounds a read of a move's state from the store.
	// moveStateRetryInterval is the wait after a failed read.
	moveStateTimeout       = 2 * time.Second
	moveStateRetryInterval = 2 * time.Second
)

const (
	// kindMoveState requests the state of a pool's move.
	kindMoveState = "move-state"
	// kindMoveSamples sends samples of a move to a host that may control it.
	kindMoveSamples = "move-evidence"
)

// runMoves evaluates all running moves, publishes halts and applies the version shares.
func (h *Host) runMoves() {
	wait.Every(h.ctx, moveEvalInterval, func(now time.Time) {
		for _, halt := range h.moveTracker.Evaluate(now) {
			h.publishHalt(halt)
		}
		for _, runner := range *h.pools.Load() {
			h.applyVersionShares(runner)
		}
	})
}

// publishHalt applies a halt on this host and broadcasts it to all reachable peers.
func (h *Host) publishHalt(halt moves.Halt) {
	h.applyHalt(halt)
	if h.fleet == nil {
		return
	}
	if body, err := cbor.Marshal(halt); err == nil {
		h.fleet.BroadcastHalt(body)
	}
}

// applyHalt logs a halt and stops dispatches to the halted version on this host.
func (h *Host) applyHalt(halt moves.Halt) {
	event.VersionHalted.Log(h.log,
		slog.String("pool", halt.Pool), slog.String("move", halt.MoveID), slog.String("version", halt.Version),
		slog.String("reason", halt.Reason), slog.String("by", halt.DetectedBy))
	if runner, ok := (*h.pools.Load())[halt.Pool]; ok {
		h.applyVersionShares(runner)
	}
}

// runSampleSender sends this host's samples of running moves to the hosts that may control them,
// which then evaluate a version on the requests of the whole fleet.
func (h *Host) runSampleSender() {
	for round := 0; h.ctx.Err() == nil; round++ {
		members := h.fleet.Members()
		wait.Sleep(h.ctx, max(minSampleInterval, time.Duration(len(members))*sampleIntervalPerHost))
		for name := range *h.pools.Load() {
			h.sendMoveSamples(name, members, round)
		}
	}
}

// sendMoveSamples sends the samples of one pool to one of the candidates for its controller, a
// different one each round.
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

// receiveHalt applies a halt broadcast by a peer. The fleet forwards it.
func (h *Host) receiveHalt(_ string, body []byte) {
	var halt moves.Halt
	if cbor.Unmarshal(body, &halt) == nil && h.moveTracker.ApplyHalt(halt) {
		h.applyHalt(halt)
	}
}

// moveState is the response to kindMoveState.
type moveState struct {
	_     struct{} `cbor:",toarray"`
	State []byte
	Halts []moves.Halt
}

// serveMoveState handles kindMoveState from a peer that received a greater sequence number in a
// digest. It returns nil if this host has no state.
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

// fetchMoveState fetches the state of a pool's move from a peer in the background, if seq is
// newer than this host's state.
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

// applyMoveState applies the halts and the state in a peer's response to kindMoveState.
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
