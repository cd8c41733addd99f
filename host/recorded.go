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

// outcomeTimeout bounds how long a host tries to record an outcome. Until then
// the claim stays in force, so nothing runs twice; afterwards the outcome is
// settled by whoever takes over this incarnation's claims.
const outcomeTimeout = 10 * time.Minute

// openClaimed answers a non-idempotent request. It is dispatched only under a
// durable claim; a repeat receives what the first one left on record.
func (h *Host) openClaimed(ctx context.Context, in *intake) (source, *refusal.Refusal) {
	attempt := h.journal.NextAttempt()
	st, err := h.claim(ctx, in, attempt)
	if errors.Is(err, claim.ErrHeld) {
		st, err = h.awaitOutcome(ctx, in, st, err)
	}
	if err != nil {
		return h.repeatOf(st, err)
	}
	x, ref := h.newExchange(in)
	if ref != nil {
		h.giveBack(st, attempt)
		return nil, ref
	}
	// Once dispatched, the answer is awaited even if the caller leaves, because
	// its outcome has to be recorded.
	x.run = h.ctx
	answer, ref := x.collect(ctx)
	if ref == nil {
		h.record(st, claim.Record{Phase: claim.Answered, Response: answer})
		return &recordedAnswer{answer: answer}, nil
	}
	if !x.dispatched {
		h.giveBack(st, attempt)
		return nil, ref
	}
	if h.ctx.Err() == nil {
		h.record(st, claim.Record{Phase: claim.Unknown, Reason: ref.Error()})
	}
	return nil, ref.WithRunState(refusal.RunUnknown)
}

// claim submits a claim within the request's deadline.
func (h *Host) claim(ctx context.Context, in *intake, attempt claim.Attempt) (claim.State, error) {
	ctx, cancel := context.WithDeadline(ctx, in.req.Deadline)
	defer cancel()
	return h.journal.Submit(ctx, claim.Record{
		Kind:    claim.Claim,
		Key:     claim.Key{Organisation: in.organisation, ID: in.id},
		Attempt: attempt,
	})
}

const (
	// repeatWait bounds how long a repeat waits for the outcome of the first
	// request before it is told that that one is in progress.
	repeatWait = 2 * time.Second
	repeatPoll = 100 * time.Millisecond
)

// awaitOutcome waits for the outcome of a request that another attempt holds.
// It returns claim.ErrFinished with the outcome, or held if there is none yet.
func (h *Host) awaitOutcome(ctx context.Context, in *intake, st claim.State, held error) (claim.State, error) {
	ctx, cancel := context.WithTimeout(ctx, min(repeatWait, time.Until(in.req.Deadline)))
	defer cancel()
	tick := time.NewTicker(repeatPoll)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return st, held
		case <-tick.C:
		}
		now, err := h.journal.Lookup(ctx, in.organisation, in.id)
		if err == nil && now.Phase.IsFinal() {
			return now, claim.ErrFinished
		}
	}
}

// repeatOf answers a request that may not be dispatched because of what is, or
// may be, on record.
func (h *Host) repeatOf(st claim.State, err error) (source, *refusal.Refusal) {
	switch {
	case errors.Is(err, claim.ErrFinished):
		return recordedSource(st)
	case errors.Is(err, claim.ErrHeld), errors.Is(err, claim.ErrStale):
		return nil, refusal.New(refusal.InProgress, "a request with this id is in progress on host %s", st.Owner().Host)
	default:
		// Without a durable claim nothing was dispatched, also if the claim
		// turns out to be on record: this host never acts on it.
		return nil, refusal.New(refusal.StoreUnavailable, "%v", err)
	}
}

// recordedSource turns a recorded outcome into an answer or a refusal.
func recordedSource(st claim.State) (source, *refusal.Refusal) {
	switch st.Phase {
	case claim.Answered:
		return &recordedAnswer{answer: st.Response}, nil
	case claim.Failed:
		return nil, refusal.New(refusal.OutcomeFailed, "%s", st.Reason).WithRunState(st.Ran())
	default:
		return nil, refusal.New(refusal.OutcomeUnknown, "%s", st.Reason)
	}
}

// recordedAnswer is a source that holds the whole answer.
type recordedAnswer struct {
	answer claim.Response
	sent   bool
}

func (r *recordedAnswer) head() *target.Response {
	return &target.Response{
		Status: r.answer.Status,
		Header: http.Header{"Content-Type": {r.answer.ContentType}},
	}
}

func (r *recordedAnswer) next(context.Context) ([]byte, error) {
	if r.sent {
		return nil, io.EOF
	}
	r.sent = true
	return r.answer.Body, nil
}

func (r *recordedAnswer) abandon() {}

// collect runs the exchange to its verified end and returns the whole answer.
func (x *exchange) collect(ctx context.Context) (claim.Response, *refusal.Refusal) {
	head, ref := x.open(ctx)
	if ref != nil {
		return claim.Response{}, ref
	}
	a := claim.Response{Status: head.Status, ContentType: head.ContentType}
	for {
		part, err := x.next(x.runContext(ctx))
		if errors.Is(err, io.EOF) {
			a.Size = len(a.Body)
			return a, nil
		}
		if err != nil {
			return a, asRefusal(err)
		}
		a.Body = append(a.Body, part...)
		if len(a.Body) > journal.MaxResponseBytes {
			x.abandon()
			return a, refusal.New(refusal.OutcomeFailed, "the answer exceeds %d bytes", journal.MaxResponseBytes)
		}
	}
}

func asRefusal(err error) *refusal.Refusal {
	var ref *refusal.Refusal
	if errors.As(err, &ref) {
		return ref
	}
	return refusal.New(refusal.TargetFailed, "%v", err)
}

// record writes an outcome in the background. The host counts as active until
// it is durable, so that a graceful shutdown waits for it.
func (h *Host) record(st claim.State, r claim.Record) {
	r.Kind, r.Key, r.Fence = claim.Outcome, st.Key, st.Fence
	if r.Phase == claim.Unknown {
		h.metrics.CountUnknownOutcome()
		event.RequestOutcomeUnknown.Log(h.log,
			slog.String("organisation", st.Key.Organisation),
			slog.String("request", st.Key.ID),
			slog.String("target", st.Target),
			slog.String("reason", r.Reason))
	}
	h.background(outcomeTimeout, func(ctx context.Context) {
		_, err := h.journal.Submit(ctx, r)
		var late *claim.Error
		if err != nil && !errors.As(err, &late) {
			event.AppendOutcomeUnknown.Log(h.log, slog.String("request", st.Key.ID), slog.String("error", err.Error()))
		}
	})
}

// giveBack ends a claim whose request was never sent.
func (h *Host) giveBack(st claim.State, attempt claim.Attempt) {
	h.background(outcomeTimeout, func(ctx context.Context) {
		_, _ = h.journal.Submit(ctx, claim.Record{Kind: claim.Release, Key: st.Key, Attempt: attempt})
	})
}

// background runs work that a graceful shutdown waits for.
func (h *Host) background(timeout time.Duration, work func(ctx context.Context)) {
	h.active.Add(1)
	h.tasks.Go(func() {
		defer h.active.Add(-1)
		ctx, cancel := context.WithTimeout(h.ctx, timeout)
		defer cancel()
		work(ctx)
	})
}
