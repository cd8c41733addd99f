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
	"sardinefront.dev/core/wait"
	"sardinefront.dev/host/internal/prompt"
	"sardinefront.dev/journal"
	"sardinefront.dev/journal/claim"
	"sardinefront.dev/sched/pool"
	"sardinefront.dev/target"
)

const (
	// submitTimeout bounds journal calls that a caller waits for.
	submitTimeout = 10 * time.Second
	// claimTimeout bounds the claim of a patient request, which occupies a slot at a target
	// meanwhile.
	claimTimeout = time.Second
	// claimSuspension is how long no patient requests are queued after a claim has failed.
	// While the store is unavailable they would only occupy slots at targets.
	claimSuspension = time.Second
	// patientRetryInterval is the wait before a patient request that was not dispatched is
	// queued again.
	patientRetryInterval = time.Second
)

// storedRequest is a patient request as stored in the journal. It holds all that a host needs to
// run the request.
type storedRequest struct {
	Request request.Request `cbor:"1,keyasint"`
	Call    target.Request  `cbor:"2,keyasint"`
	// SingleObject means that the caller requested a response that is not streamed, while Call
	// requests a stream from the engine.
	SingleObject bool `cbor:"3,keyasint,omitempty"`
}

// newStoredRequest returns the request to store. It turns on streaming for a completion, because
// only a stream can be paused and resumed.
func newStoredRequest(in *incomingRequest, engine bool) (storedRequest, error) {
	s := storedRequest{Request: *in.req, Call: in.call}
	if !engine || in.call.Stream {
		return s, nil
	}
	body, err := prompt.EnableStreaming(in.call.Body)
	s.Call.Body, s.Call.Stream, s.SingleObject = body, true, true
	return s, err
}

// callerResponse converts the engine's response to the form that the caller requested: a stream
// to a single JSON object if SingleObject is set.
func (s *storedRequest) callerResponse(resp claim.Response) claim.Response {
	if !s.SingleObject || !strings.HasPrefix(resp.ContentType, "text/event-stream") {
		return resp
	}
	object, err := prompt.Assemble(resp.Body)
	if err != nil {
		return resp
	}
	return claim.Response{Status: resp.Status, ContentType: "application/json", Body: object, Size: len(object)}
}

// acceptedBody is the response to an accepted patient request.
type acceptedBody struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Outcome string `json:"outcome"`
}

// submitPatient records a patient request in the journal, accepts it and starts to run it.
func (h *Host) submitPatient(c fiber.Ctx, in *incomingRequest) error {
	body, err := h.encodePatient(in)
	if err != nil {
		return h.refuse(c, in.id, in.organisation, request.Patient, refusal.New(refusal.BadRequest, "%v", err))
	}
	if len(body) > journal.MaxRequestBodyBytes {
		return h.refuse(c, in.id, in.organisation, request.Patient,
			refusal.New(refusal.BodyTooLarge, "the patient request has %d bytes, the limit is %d", len(body), journal.MaxRequestBodyBytes))
	}
	ctx, cancel := context.WithTimeout(h.ctx, min(submitTimeout, time.Until(in.req.Deadline)))
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
		// The request may have been recorded, in which case it will run.
		return h.refuse(c, in.id, in.organisation, request.Patient,
			refusal.New(refusal.StoreUnavailable, "%v", err).WithRunState(refusal.RunUnknown))
	}
}

func (h *Host) encodePatient(in *incomingRequest) ([]byte, error) {
	runner, ok := (*h.pools.Load())[in.req.Pool]
	stored, err := newStoredRequest(in, ok && runner.kind == pool.Engine)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(stored)
}

func (h *Host) replyAccepted(c fiber.Ctx, id string, phase claim.Phase) error {
	c.Set(headerSardinefrontRequestID, id)
	return c.Status(http.StatusAccepted).JSON(acceptedBody{ID: id, State: phase.String(), Outcome: outcomePath + id})
}

// serveOutcome returns the outcome or the state of a recorded request.
func (h *Host) serveOutcome(c fiber.Ctx) error {
	organisation, id := string([]byte(c.Get(headerOrganisation))), string([]byte(c.Params("id")))
	if !organisationPattern.MatchString(organisation) || !requestIDPattern.MatchString(id) {
		return h.refuse(c, "", "", request.Patient, refusal.New(refusal.BadRequest, "header %s must match %s and the request id in the path must match %s",
			headerOrganisation, organisationPattern, requestIDPattern))
	}
	ctx, cancel := context.WithTimeout(h.ctx, submitTimeout)
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
		c.Set(headerSardinefrontRequestID, id)
		c.Set(fiber.HeaderContentType, st.Response.ContentType)
		return c.Status(st.Response.Status).Send(st.Response.Body)
	case st.Phase.IsFinal():
		_, ref := recordedOutcome(st)
		return h.refuse(c, id, organisation, request.Patient, ref)
	default:
		return h.refuse(c, id, organisation, request.Patient, refusal.New(refusal.NotFound, "the journal has no request with id %s", id))
	}
}

// startPatient runs an accepted request on this host.
func (h *Host) startPatient(st claim.State, body []byte) {
	h.inProgress.Add(1)
	h.tasks.Go(func() {
		defer h.inProgress.Add(-1)
		h.runPatient(st, body)
	})
}

// runPatient retries the request until it has an outcome, another host has claimed it, or this
// host releases it because it is draining.
func (h *Host) runPatient(st claim.State, body []byte) {
	var stored storedRequest
	if err := cbor.Unmarshal(body, &stored); err != nil {
		h.recordOutcome(st, claim.Record{Phase: claim.Failed, Reason: fmt.Sprintf("the recorded request cannot be decoded: %v", err)})
		return
	}
	in := &incomingRequest{id: st.Key.ID, organisation: st.Key.Organisation, req: &stored.Request, call: stored.Call}
	for h.ctx.Err() == nil {
		if h.draining.Load() {
			h.releaseAccepted(st)
			return
		}
		if h.attemptPatient(st, in, &stored) {
			return
		}
		wait.Sleep(h.ctx, patientRetryInterval)
	}
}

// releaseAccepted lets any host run an accepted request that this host has not claimed.
func (h *Host) releaseAccepted(st claim.State) {
	ctx, cancel := context.WithTimeout(h.ctx, submitTimeout)
	defer cancel()
	_, _ = h.journal.Submit(ctx, claim.Record{Kind: claim.Release, Key: st.Key, Attempt: st.Attempt})
}

// attemptPatient queues the request once. It reports whether this host has nothing more to do
// for it.
func (h *Host) attemptPatient(st claim.State, in *incomingRequest, stored *storedRequest) bool {
	runner, ok := (*h.pools.Load())[in.req.Pool]
	if !ok || time.Now().UnixNano() < h.claimsSuspendedUntilNs.Load() {
		return false
	}
	pending, ref := runner.submit(in.req)
	if ref != nil {
		return false
	}
	x := &exchange{host: h, runner: runner, pending: pending, call: in.call}
	c := &patientClaim{host: h, key: st.Key}
	x.beforeSend = c.acquire
	ctx, cancel := h.queueContext()
	defer cancel()
	x.attemptParent = h.ctx
	resp, ref := x.readResponse(ctx)
	switch {
	case ref == nil:
		h.recordOutcome(c.state, claim.Record{Phase: claim.Answered, Response: stored.callerResponse(resp)})
		return true
	case c.lost, h.ctx.Err() != nil, x.dispatched && ctx.Err() != nil:
		// Another host has claimed the request, or will take it over from this one. The claim
		// is not released, so that the other host resumes the stream.
		return true
	case x.dispatched:
		h.recordOutcome(c.state, claim.Record{Phase: claim.Unknown, Reason: ref.Error()})
		return true
	}
	if c.held {
		h.releaseClaim(c.state, c.state.Attempt)
	}
	if ref.Reason == refusal.DeadlineExceeded && !time.Now().Before(in.req.Deadline) {
		h.recordOutcome(claim.State{Key: st.Key}, claim.Record{Phase: claim.Failed, Reason: "the deadline passed before a target had capacity"})
		return true
	}
	return false
}

// queueContext returns a context that is also cancelled when the host begins to drain, so that
// queued patient requests are released to other hosts.
func (h *Host) queueContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(h.ctx)
	stop := context.AfterFunc(h.drainCtx, cancel)
	return ctx, func() { stop(); cancel() }
}

// patientClaim claims a patient request after its target is chosen.
type patientClaim struct {
	host  *Host
	key   claim.Key
	state claim.State
	// held means that the claim is recorded. lost means that another host has claimed the
	// request or that it has an outcome.
	held, lost bool
}

// acquire records the claim. It is used as exchange.beforeSend.
func (c *patientClaim) acquire(ctx context.Context, targetName string) *refusal.Refusal {
	if c.held {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	attempt := c.host.journal.NextAttempt()
	st, err := c.host.journal.Submit(ctx, claim.Record{Kind: claim.Claim, Key: c.key, Attempt: attempt, Target: targetName})
	var refused *claim.Error
	switch {
	case err == nil:
		c.state, c.held = st, true
		return nil
	case errors.As(err, &refused):
		c.lost = true
	default:
		c.host.claimsSuspendedUntilNs.Store(time.Now().Add(claimSuspension).UnixNano())
	}
	return refusal.New(refusal.StoreUnavailable, "%v", err)
}
