package host

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/journal"
	"sardinefront.dev/journal/claim"
	"sardinefront.dev/target"
)

// recordTimeout bounds how long a host tries to record an outcome or a release. The claim is not
// released meanwhile, so the request does not run twice. After the timeout, the host that takes
// over this incarnation's claims records the outcome.
const recordTimeout = 10 * time.Minute

// openClaimed returns the response to a non-idempotent request. The request is dispatched only
// after a claim is recorded. A duplicate receives the recorded outcome of the first request.
func (h *Host) openClaimed(ctx context.Context, in *incomingRequest) (responseReader, *refusal.Refusal) {
	attempt := h.journal.NextAttempt()
	st, err := h.submitClaim(ctx, in, attempt)
	if errors.Is(err, claim.ErrHeld) {
		st, err = h.awaitOutcome(ctx, in, st, err)
	}
	if err != nil {
		return h.respondToDuplicate(st, err)
	}
	x, ref := h.newExchange(in)
	if ref != nil {
		h.releaseClaim(st, attempt)
		return nil, ref
	}
	// After the dispatch, the response is read even if the caller disconnects, because the
	// outcome must be recorded.
	x.attemptParent = h.ctx
	resp, ref := x.readResponse(ctx)
	if ref == nil {
		h.recordOutcome(st, claim.Record{Phase: claim.Answered, Response: resp})
		return &recordedResponse{response: resp}, nil
	}
	if !x.dispatched {
		h.releaseClaim(st, attempt)
		return nil, ref
	}
	if h.ctx.Err() == nil {
		h.recordOutcome(st, claim.Record{Phase: claim.Unknown, Reason: ref.Error()})
	}
	return nil, ref.WithRunState(refusal.RunUnknown)
}

// submitClaim submits a claim for the request, until its deadline.
func (h *Host) submitClaim(ctx context.Context, in *incomingRequest, attempt claim.Attempt) (claim.State, error) {
	ctx, cancel := context.WithDeadline(ctx, in.req.Deadline)
	defer cancel()
	return h.journal.Submit(ctx, claim.Record{
		Kind:    claim.Claim,
		Key:     claim.Key{Organisation: in.organisation, ID: in.id},
		Attempt: attempt,
	})
}

const (
	// duplicateWait bounds how long a duplicate waits for the outcome of the first request
	// before it is refused as in progress.
	duplicateWait = 2 * time.Second
	// duplicatePollInterval is how often a duplicate looks up the outcome.
	duplicatePollInterval = 100 * time.Millisecond
)

// awaitOutcome waits for the outcome of a request that another attempt has claimed. It returns
// the outcome with claim.ErrFinished, or st with heldErr if there is none in time.
func (h *Host) awaitOutcome(ctx context.Context, in *incomingRequest, st claim.State, heldErr error) (claim.State, error) {
	ctx, cancel := context.WithTimeout(ctx, min(duplicateWait, time.Until(in.req.Deadline)))
	defer cancel()
	tick := time.NewTicker(duplicatePollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return st, heldErr
		case <-tick.C:
		}
		latest, err := h.journal.Lookup(ctx, in.organisation, in.id)
		if err == nil && latest.Phase.IsFinal() {
			return latest, claim.ErrFinished
		}
	}
}

// respondToDuplicate returns the response or refusal for a request that could not be claimed.
func (h *Host) respondToDuplicate(st claim.State, err error) (responseReader, *refusal.Refusal) {
	switch {
	case errors.Is(err, claim.ErrFinished):
		return recordedOutcome(st)
	case errors.Is(err, claim.ErrHeld), errors.Is(err, claim.ErrStale):
		return nil, refusal.New(refusal.InProgress, "a request with this id is in progress on host %s", st.Owner().Host)
	default:
		// The request is not dispatched, even if the claim was recorded after all: this host
		// does not use a claim whose submission failed.
		return nil, refusal.New(refusal.StoreUnavailable, "%v", err)
	}
}

// recordedOutcome returns a recorded outcome as a response or a refusal.
func recordedOutcome(st claim.State) (responseReader, *refusal.Refusal) {
	switch st.Phase {
	case claim.Answered:
		return &recordedResponse{response: st.Response}, nil
	case claim.Failed:
		return nil, refusal.New(refusal.OutcomeFailed, "%s", st.Reason).WithRunState(st.Ran())
	default:
		return nil, refusal.New(refusal.OutcomeUnknown, "%s", st.Reason)
	}
}

// recordedResponse is a responseReader for a response that is held in memory.
type recordedResponse struct {
	response claim.Response
	sent     bool
}

func (r *recordedResponse) head() *target.Response {
	return &target.Response{
		Status: r.response.Status,
		Header: http.Header{"Content-Type": {r.response.ContentType}},
	}
}

func (r *recordedResponse) next(context.Context) ([]byte, error) {
	if r.sent {
		return nil, io.EOF
	}
	r.sent = true
	return r.response.Body, nil
}

func (r *recordedResponse) abandon() {}

// readResponse performs the exchange and returns the whole response, at most
// journal.MaxResponseBytes.
func (x *exchange) readResponse(ctx context.Context) (claim.Response, *refusal.Refusal) {
	head, ref := x.open(ctx)
	if ref != nil {
		return claim.Response{}, ref
	}
	resp := claim.Response{Status: head.Status, ContentType: head.ContentType}
	for {
		part, err := x.next(x.attemptParentContext(ctx))
		if errors.Is(err, io.EOF) {
			resp.Size = len(resp.Body)
			return resp, nil
		}
		if err != nil {
			return resp, asRefusal(err)
		}
		resp.Body = append(resp.Body, part...)
		if len(resp.Body) > journal.MaxResponseBytes {
			x.abandon()
			return resp, refusal.New(refusal.OutcomeFailed, "the response of target %s exceeds %d bytes", x.target, journal.MaxResponseBytes)
		}
	}
}

// asRefusal returns err as a refusal.
func asRefusal(err error) *refusal.Refusal {
	var ref *refusal.Refusal
	if errors.As(err, &ref) {
		return ref
	}
	return refusal.New(refusal.TargetFailed, "%v", err)
}

// recordOutcome records an outcome in the background. A graceful shutdown waits until it is
// durable.
func (h *Host) recordOutcome(st claim.State, r claim.Record) {
	r.Kind, r.Key, r.Fence = claim.Outcome, st.Key, st.Fence
	if r.Phase == claim.Unknown {
		h.metrics.CountUnknownOutcome()
		event.RequestOutcomeUnknown.Log(h.log,
			slog.String("organisation", st.Key.Organisation),
			slog.String("request", st.Key.ID),
			slog.String("target", st.Target),
			slog.String("reason", r.Reason))
	}
	h.runInBackground(recordTimeout, func(ctx context.Context) {
		_, err := h.journal.Submit(ctx, r)
		var rejected *claim.Error
		if err != nil && !errors.As(err, &rejected) {
			event.AppendOutcomeUnknown.Log(h.log, slog.String("request", st.Key.ID), slog.String("error", err.Error()))
		}
	})
}

// releaseClaim records, in the background, that a claimed request was never sent.
func (h *Host) releaseClaim(st claim.State, attempt claim.Attempt) {
	h.runInBackground(recordTimeout, func(ctx context.Context) {
		_, _ = h.journal.Submit(ctx, claim.Record{Kind: claim.Release, Key: st.Key, Attempt: attempt})
	})
}

// runInBackground runs work in a goroutine that a graceful shutdown waits for.
func (h *Host) runInBackground(timeout time.Duration, work func(ctx context.Context)) {
	h.inProgress.Add(1)
	h.tasks.Go(func() {
		defer h.inProgress.Add(-1)
		ctx, cancel := context.WithTimeout(h.ctx, timeout)
		defer cancel()
		work(ctx)
	})
}
