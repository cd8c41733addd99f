package host

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gofiber/fiber/v3"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/host/internal/prompt"
	"sardinefront.dev/journal"
	"sardinefront.dev/journal/claim"
	"sardinefront.dev/sched/pool"
	"sardinefront.dev/target"
)

const (
	// acceptTimeout bounds a submission, because the caller waits for its id.
	acceptTimeout = 10 * time.Second
	// claimTimeout bounds the claim of a patient request while it holds a place
	// at a target.
	claimTimeout = time.Second
	// claimPause is how long patient requests are not queued after a claim
	// failed: without the store they would only hold places at targets.
	claimPause = time.Second
	// patientRetry is the pause before a patient request that could not be
	// placed is queued again.
	patientRetry = time.Second
)

// storedRequest is a patient request as the journal keeps it, so that any host
// can run it.
type storedRequest struct {
	Request request.Request `cbor:"1,keyasint"`
	Call    target.Request  `cbor:"2,keyasint"`
	// Whole means that the caller asked for one JSON object, while the call asks
	// the engine for a stream.
	Whole bool `cbor:"3,keyasint,omitempty"`
}

// newStoredRequest makes a completion a stream, because only a stream can be
// paused and resumed.
func newStoredRequest(in *intake, engine bool) (storedRequest, error) {
	s := storedRequest{Request: *in.req, Call: in.call}
	if !engine || in.call.Stream {
		return s, nil
	}
	body, err := prompt.AsStream(in.call.Body)
	s.Call.Body, s.Call.Stream, s.Whole = body, true, true
	return s, err
}

// finish returns the answer in the form that the caller asked for.
func (s *storedRequest) finish(a claim.Response) claim.Response {
	if !s.Whole || !strings.HasPrefix(a.ContentType, "text/event-stream") {
		return a
	}
	whole, err := prompt.Assemble(a.Body)
	if err != nil {
		return a
	}
	return claim.Response{Status: a.Status, ContentType: "application/json", Body: whole, Size: len(whole)}
}

// accepted is what the caller of a patient request receives.
type accepted struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Outcome string `json:"outcome"`
}

// submitPatient accepts a patient request once it is on record.
func (h *Host) submitPatient(c fiber.Ctx, in *intake) error {
	body, err := h.encodePatient(in)
	if err != nil {
		return h.refuse(c, in.id, in.organisation, request.Patient, refusal.New(refusal.BadRequest, "%v", err))
	}
	if len(body) > journal.MaxRequestBodyBytes {
		return h.refuse(c, in.id, in.organisation, request.Patient,
			refusal.New(refusal.BodyTooLarge, "a patient request holds at most %d bytes", journal.MaxRequestBodyBytes))
	}
	ctx, cancel := context.WithTimeout(h.ctx, min(acceptTimeout, time.Until(in.req.Deadline)))
	defer cancel()
	key := claim.Key{Organisation: in.organisation, ID: in.id}
	st, err := h.journal.Submit(ctx, claim.Record{Kind: claim.Accept, Key: key, RequestBody: body})
	switch {
	case err == nil:
		h.startPatient(st, body)
		return h.replyAccepted(c, in.id, st.Phase)
	case errors.Is(err, claim.ErrHeld):
		return h.replyAccepted(c, in.id, st.Phase)
	case errors.Is(err, claim.ErrFinished):
		return h.replyOutcome(c, in.id, in.organisation, st)
	case errors.Is(err, journal.ErrNotWritten):
		return h.refuse(c, in.id, in.organisation, request.Patient, refusal.New(refusal.StoreUnavailable, "%v", err))
	default:
		// The request may be on record and will then run.
		return h.refuse(c, in.id, in.organisation, request.Patient,
			refusal.New(refusal.StoreUnavailable, "%v", err).WithRunState(refusal.RunUnknown))
	}
}

func (h *Host) encodePatient(in *intake) ([]byte, error) {
	runner, ok := (*h.pools.Load())[in.req.Pool]
	stored, err := newStoredRequest(in, ok && runner.kind == pool.Engine)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(stored)
}

func (h *Host) replyAccepted(c fiber.Ctx, id string, phase claim.Phase) error {
	c.Set(headerOwnID, id)
	return c.Status(http.StatusAccepted).JSON(accepted{ID: id, State: phase.String(), Outcome: outcomePath + id})
}

// fetchOutcome answers a caller that asks for a recorded request.
func (h *Host) fetchOutcome(c fiber.Ctx) error {
	organisation, id := string([]byte(c.Get(headerOrganisation))), string([]byte(c.Params("id")))
	if !organisationForm.MatchString(organisation) || !idForm.MatchString(id) {
		return h.refuse(c, "", "", request.Patient, refusal.New(refusal.BadRequest, "header %s and an id are required", headerOrganisation))
	}
	ctx, cancel := context.WithTimeout(h.ctx, acceptTimeout)
	defer cancel()
	st, err := h.journal.Lookup(ctx, organisation, id)
	if err != nil {
		return h.refuse(c, id, organisation, request.Patient,
			refusal.New(refusal.StoreUnavailable, "%v", err).WithRunState(refusal.RunUnknown))
	}
	return h.replyOutcome(c, id, organisation, st)
}

func (h *Host) replyOutcome(c fiber.Ctx, id, organisation string, st claim.State) error {
	switch {
	case st.IsOpen():
		return h.replyAccepted(c, id, st.Phase)
	case st.Phase == claim.Answered:
		c.Set(headerOwnID, id)
		c.Set(fiber.HeaderContentType, st.Response.ContentType)
		return c.Status(st.Response.Status).Send(st.Response.Body)
	case st.Phase.IsFinal():
		_, ref := recordedSource(st)
		return h.refuse(c, id, organisation, request.Patient, ref)
	default:
		return h.refuse(c, id, organisation, request.Patient, refusal.New(refusal.NotFound, "no request with this id is on record"))
	}
}

// startPatient runs an accepted request on this host.
func (h *Host) startPatient(st claim.State, body []byte) {
	h.active.Add(1)
	h.tasks.Go(func() {
		defer h.active.Add(-1)
		h.runPatient(st, body)
	})
}

// runPatient repeats until the request has an outcome, another host has claimed
// it, or this host hands it over.
func (h *Host) runPatient(st claim.State, body []byte) {
	var stored storedRequest
	if err := cbor.Unmarshal(body, &stored); err != nil {
		h.record(st, claim.Record{Phase: claim.Failed, Reason: fmt.Sprintf("recorded request cannot be read: %v", err)})
		return
	}
	in := &intake{id: st.Key.ID, organisation: st.Key.Organisation, req: &stored.Request, call: stored.Call}
	for h.ctx.Err() == nil {
		if h.draining.Load() {
			h.handOver(st)
			return
		}
		if h.tryPatient(st, in, &stored) {
			return
		}
		h.sleep(patientRetry)
	}
}

func (h *Host) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-h.ctx.Done():
	}
}

// handOver makes an accepted request that was not claimed here available to
// any host.
func (h *Host) handOver(st claim.State) {
	ctx, cancel := context.WithTimeout(h.ctx, acceptTimeout)
	defer cancel()
	_, _ = h.journal.Submit(ctx, claim.Record{Kind: claim.Release, Key: st.Key, Attempt: st.Attempt})
}

// tryPatient queues the request once. It reports whether this host is done
// with it.
func (h *Host) tryPatient(st claim.State, in *intake, stored *storedRequest) bool {
	runner, ok := (*h.pools.Load())[in.req.Pool]
	if !ok || time.Now().UnixNano() < h.claimsSuspended.Load() {
		return false
	}
	t, ref := runner.submit(in.req)
	if ref != nil {
		return false
	}
	x := &exchange{h: h, pool: runner, ticket: t, call: in.call}
	c := &patientClaim{h: h, key: st.Key}
	x.beforeSend = c.take
	ctx, cancel := h.waitContext()
	defer cancel()
	x.run = h.ctx
	answer, ref := x.collect(ctx)
	switch {
	case ref == nil:
		h.record(c.state, claim.Record{Phase: claim.Answered, Response: stored.finish(answer)})
		return true
	case c.lost, h.ctx.Err() != nil, x.dispatched && ctx.Err() != nil:
		// Another host has it, or will take it over from this one: the claim
		// stays, and whoever takes it over resumes the stream.
		return true
	case x.dispatched:
		h.record(c.state, claim.Record{Phase: claim.Unknown, Reason: ref.Error()})
		return true
	}
	if c.held {
		h.giveBack(c.state, c.state.Attempt)
	}
	if ref.Reason == refusal.DeadlineExceeded && !time.Now().Before(in.req.Deadline) {
		h.record(claim.State{Key: st.Key}, claim.Record{Phase: claim.Failed, Reason: "the deadline passed before a target was free"})
		return true
	}
	return false
}

// waitContext ends when the host begins to drain, so that waiting patient
// requests are handed over.
func (h *Host) waitContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(h.ctx)
	stop := context.AfterFunc(h.drainCtx, cancel)
	return ctx, func() { stop(); cancel() }
}

// patientClaim claims a patient request once its target is known.
type patientClaim struct {
	h     *Host
	key   claim.Key
	state claim.State
	// held means that the claim is durable; lost that another host has it or
	// that it has an outcome.
	held, lost bool
}

// take is the exchange's beforeSend.
func (c *patientClaim) take(ctx context.Context, targetName string) *refusal.Refusal {
	if c.held {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	attempt := c.h.journal.NextAttempt()
	st, err := c.h.journal.Submit(ctx, claim.Record{Kind: claim.Claim, Key: c.key, Attempt: attempt, Target: targetName})
	var refused *claim.Error
	switch {
	case err == nil:
		c.state, c.held = st, true
		return nil
	case errors.As(err, &refused):
		c.lost = true
	default:
		c.h.claimsSuspended.Store(time.Now().Add(claimPause).UnixNano())
	}
	return refusal.New(refusal.StoreUnavailable, "%v", err)
}
