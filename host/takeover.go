package host

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/wait"
	"sardinefront.dev/journal/claim"
	"sardinefront.dev/sched/pool"
)

// takeoverInterval is how often a host checks its partitions for orphaned requests.
const takeoverInterval = time.Second

// runTakeovers takes over requests of dead hosts in the partitions that this host writes, unless
// it is draining.
func (h *Host) runTakeovers() {
	running := newKeySet()
	wait.Every(h.ctx, takeoverInterval, func(time.Time) {
		if !h.draining.Load() {
			h.takeOverOrphans(running)
		}
	})
}

// takeOverOrphans starts to handle each orphaned request: accepted ones are run, claimed ones
// resolved. running holds the requests that are being handled.
func (h *Host) takeOverOrphans(running *keySet) {
	orphans := h.journal.Orphans(h.deadOwners())
	for _, st := range orphans.Accepted {
		h.runOrphan(st, running, func() { h.runPatient(st, st.RequestBody) })
	}
	for _, st := range orphans.Claimed {
		h.runOrphan(st, running, func() { h.resolveClaimed(st) })
	}
}

// runOrphan runs work for an orphaned request in the background, unless it is in running.
func (h *Host) runOrphan(st claim.State, running *keySet, work func()) {
	if !running.add(st.Key) {
		return
	}
	event.RequestTakenOver.Log(h.log,
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

// resolveClaimed records an outcome for a request that a dead host had claimed. If the target is
// an engine that still holds the stream, the stream is resumed; otherwise the outcome is unknown.
// The request is never dispatched again.
func (h *Host) resolveClaimed(st claim.State) {
	var stored storedRequest
	if len(st.RequestBody) == 0 || cbor.Unmarshal(st.RequestBody, &stored) != nil {
		h.recordUnknown(st, fmt.Sprintf("host %s died after the claim and the journal holds no request to resume", st.Owner().Host))
		return
	}
	runner, ok := (*h.pools.Load())[stored.Request.Pool]
	if !ok || runner.kind != pool.Engine {
		h.recordUnknown(st, fmt.Sprintf("host %s died after the claim and pool %s is not a pool of engines on this host", st.Owner().Host, stored.Request.Pool))
		return
	}
	pending, ref := runner.resume(&stored.Request, 0, st.Target)
	if ref != nil {
		return
	}
	x := &exchange{host: h, runner: runner, pending: pending, call: stored.Call, attemptParent: h.ctx, dispatched: true}
	resp, ref := x.readResponse(h.ctx)
	if ref == nil {
		h.recordOutcome(st, claim.Record{Phase: claim.Answered, Response: stored.callerResponse(resp)})
		return
	}
	if ref.Reason == refusal.CallerDisconnected || h.ctx.Err() != nil {
		return
	}
	h.recordUnknown(st, fmt.Sprintf("host %s died after the claim and target %s could not resume the stream: %v", st.Owner().Host, st.Target, ref))
}

// recordUnknown records that the outcome of a request is unknown.
func (h *Host) recordUnknown(st claim.State, reason string) {
	h.recordOutcome(st, claim.Record{Phase: claim.Unknown, Reason: reason})
}

// deadOwners returns the processes that have ended: those of members declared dead, earlier
// processes of live members, and earlier processes of this host.
func (h *Host) deadOwners() []claim.Owner {
	dead := h.deadPeerOwners()
	if h.owner.Incarnation > 0 {
		dead = append(dead, claim.Owner{Host: h.owner.Host, Incarnation: h.owner.Incarnation - 1})
	}
	return dead
}
