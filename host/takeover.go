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
const takeoverInterval = time.Second

// runTakeOver continues what dead hosts have left in the partitions that this
// host writes.
func (h *Host) runTakeovers() {
	tick := time.NewTicker(takeoverInterval)
	defer tick.Stop()
	running := newKeySet()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-tick.C:
			if !h.draining.Load() {
				h.takeOverOrphans(running)
			}
		}
	}
}

func (h *Host) takeOverOrphans(running *keySet) {
	orphans := h.journal.Orphans(h.deadOwners())
	for _, st := range orphans.Accepted {
		h.runOrphan(st, running, func() { h.runPatient(st, st.RequestBody) })
	}
	for _, st := range orphans.Claimed {
		h.runOrphan(st, running, func() { h.resolveClaimed(st) })
	}
}

// continueRequest runs work for a request unless it is being worked on here.
func (h *Host) runOrphan(st claim.State, running *keySet, work func()) {
	if !running.add(st.Key) {
		return
	}
	event.TakenOver.Log(h.log,
		slog.String("organisation", st.Key.Organisation),
		slog.String("request", st.Key.ID),
		slog.String("phase", st.Phase.String()),
		slog.String("from", st.Owner().Host))
	h.inProgress.Add(1)
	h.tasks.Go(func() {
		defer h.inProgress.Add(-1)
		defer running.remove(st.Key)
		work()
	})
}

// settleClaimed ends a request that a dead host had claimed: its stream is
// resumed if the target is an engine that knows it, otherwise the outcome is
// unknown. It is never dispatched again.
func (h *Host) resolveClaimed(st claim.State) {
	var stored storedRequest
	if len(st.RequestBody) == 0 || cbor.Unmarshal(st.RequestBody, &stored) != nil {
		h.recordUnknown(st, "its host died after the claim")
		return
	}
	runner, ok := (*h.pools.Load())[stored.Request.Pool]
	if !ok || runner.kind != pool.Engine {
		h.recordUnknown(st, "its host died after the claim and the target cannot be asked")
		return
	}
	pending, ref := runner.resume(&stored.Request, 0, st.Target)
	if ref != nil {
		return
	}
	x := &exchange{h: h, pool: runner, pending: pending, call: stored.Call, attemptParent: h.ctx, dispatched: true}
	resp, ref := x.readResponse(h.ctx)
	if ref == nil {
		h.recordOutcome(st, claim.Record{Phase: claim.Answered, Response: stored.callerResponse(resp)})
		return
	}
	if ref.Reason == refusal.CallerGone || h.ctx.Err() != nil {
		return
	}
	h.recordUnknown(st, fmt.Sprintf("its host died and target %s could not resume it: %v", st.Target, ref))
}

func (h *Host) recordUnknown(st claim.State, reason string) {
	h.recordOutcome(st, claim.Record{Phase: claim.Unknown, Reason: reason})
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
