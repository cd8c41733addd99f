package host

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/journal/claim"
	"sardinefront.dev/sched/pool"
)

// takeOverEvery is how often a partition's writer looks for requests that a
// dead host has left.
const takeOverEvery = time.Second

// runTakeOver continues what dead hosts have left in the partitions that this
// host writes.
func (h *Host) runTakeOver() {
	tick := time.NewTicker(takeOverEvery)
	defer tick.Stop()
	busy := newKeySet()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-tick.C:
			if !h.draining.Load() {
				h.takeOver(busy)
			}
		}
	}
}

func (h *Host) takeOver(busy *keySet) {
	orphans := h.journal.Orphans(h.deadOwners())
	for _, st := range orphans.Accepted {
		h.continueRequest(st, busy, func() { h.runPatient(st, st.RequestBody) })
	}
	for _, st := range orphans.Claimed {
		h.continueRequest(st, busy, func() { h.settleClaimed(st) })
	}
}

// continueRequest runs work for a request unless it is being worked on here.
func (h *Host) continueRequest(st claim.State, busy *keySet, work func()) {
	if !busy.add(st.Key) {
		return
	}
	event.RequestTakenOver.Log(h.log,
		slog.String("organisation", st.Key.Organisation),
		slog.String("request", st.Key.ID),
		slog.String("phase", st.Phase.String()),
		slog.String("from", st.Owner().Host))
	h.active.Add(1)
	h.tasks.Go(func() {
		defer h.active.Add(-1)
		defer busy.remove(st.Key)
		work()
	})
}

// settleClaimed ends a request that a dead host had claimed: its stream is
// resumed if the target is an engine that knows it, otherwise the outcome is
// unknown. It is never dispatched again.
func (h *Host) settleClaimed(st claim.State) {
	var stored storedRequest
	if len(st.RequestBody) == 0 || cbor.Unmarshal(st.RequestBody, &stored) != nil {
		h.unknown(st, "its host died after the claim")
		return
	}
	runner, ok := (*h.pools.Load())[stored.Request.Pool]
	if !ok || runner.kind != pool.Engine {
		h.unknown(st, "its host died after the claim and the target cannot be asked")
		return
	}
	t, ref := runner.resume(&stored.Request, 0, st.Target)
	if ref != nil {
		return
	}
	x := &exchange{h: h, pool: runner, ticket: t, call: stored.Call, run: h.ctx, dispatched: true}
	answer, ref := x.collect(h.ctx)
	if ref == nil {
		h.record(st, claim.Record{Phase: claim.Answered, Response: stored.finish(answer)})
		return
	}
	if ref.Reason == refusal.CallerDisconnected || h.ctx.Err() != nil {
		return
	}
	h.unknown(st, fmt.Sprintf("its host died and target %s could not resume it: %v", st.Target, ref))
}

func (h *Host) unknown(st claim.State, reason string) {
	h.record(st, claim.Record{Phase: claim.Unknown, Reason: reason})
}

// deadOwners returns the processes that are known to have ended: hosts that the
// members declared dead, and earlier processes of this host.
func (h *Host) deadOwners() []claim.Owner {
	dead := h.deadMembers()
	if h.owner.Incarnation > 0 {
		dead = append(dead, claim.Owner{Host: h.owner.Host, Incarnation: h.owner.Incarnation - 1})
	}
	return dead
}
