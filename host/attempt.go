package host

import (
	"context"
	"errors"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/sched/pool"
	"sardinefront.dev/target"
)

// errPaused ends a read because the scheduler paused the request.
var errPaused = errors.New("paused by the scheduler")

// attempt performs a dispatch. It returns neither refusal nor answer if no byte
// went out, in which case the pool decides on a retry.
func (x *exchange) attempt(ctx context.Context, a ticketAction) *refusal.Refusal {
	b, ok := x.pool.backend(a.Target)
	if !ok {
		x.notSent(refusal.RetryTargetRemoved)
		return nil
	}
	x.backend, x.target, x.version = b, a.Target, x.pool.version(a.Target)
	attempt := x.attemptContext(ctx)
	if x.ticket.pauses.Load() > a.pauses {
		// Paused before it began; the next dispatch goes on.
		return nil
	}
	if !x.dispatched && x.h.tracker.Halted(x.pool.name, x.version) {
		x.notSent(refusal.RetryVersionHalted)
		return nil
	}
	if a.Resume && x.dispatched {
		return x.reopen(ctx, attempt)
	}
	if x.beforeSend != nil {
		if ref := x.beforeSend(ctx, a.Target); ref != nil {
			x.pool.done(x.ticket, pool.Cancelled)
			return ref
		}
	}
	// The pool was told of the dispatch before this point, so a second one
	// would be a fault of the scheduler. It must never reach a target.
	if x.dispatched {
		x.pool.done(x.ticket, pool.Cancelled)
		return refusal.New(refusal.OutcomeUnknown, "second dispatch prevented")
	}
	x.dispatched = true
	x.sent = time.Now()
	ans, err := b.Do(attempt, x.callNow())
	if err == nil {
		x.accept(ans)
		return nil
	}
	var send *target.SendError
	if errors.As(err, &send) && !send.Sent {
		x.dispatched = false
		return x.unsentCall(ctx, send)
	}
	return x.interrupted(ctx, err)
}

// callNow returns the call with the wait for its first byte bounded by the
// request's deadline, because a completion that is not streamed begins late.
func (x *exchange) callNow() target.Request {
	c := x.call
	if x.pool.kind == pool.Engine && !c.Stream {
		c.FirstByte = max(minFirstByte, time.Until(x.ticket.req.Deadline))
	}
	return c
}

// minFirstByte is the least wait for an answer that is not streamed.
const minFirstByte = time.Second

// unsentCall handles a call of which no byte went out. The pool decides on a
// retry, unless another target would make no difference.
func (x *exchange) unsentCall(ctx context.Context, send *target.SendError) *refusal.Refusal {
	switch {
	case ctx.Err() != nil:
		x.pool.done(x.ticket, pool.Cancelled)
		return x.gone(ctx)
	case send.Reason == target.ReasonInvalid:
		x.pool.done(x.ticket, pool.Cancelled)
		return refusal.New(refusal.BadRequest, "%v", send.Err)
	case x.paused.Load():
		// The pool's next dispatch sends the request for the first time.
		x.awaitPause(ctx)
		return nil
	}
	x.notSent(refusal.RetryDialFailed)
	return nil
}

func (x *exchange) notSent(why refusal.RetryReason) {
	x.unsent = why
	x.pool.done(x.ticket, pool.NotSent)
}

// interrupted handles an attempt that ended before the head of the answer. It
// returns nil if the scheduler paused it, after which it is resumed later.
func (x *exchange) interrupted(ctx context.Context, err error) *refusal.Refusal {
	if ctx.Err() == nil && x.paused.Load() {
		x.awaitPause(ctx)
		return nil
	}
	if x.call.Stream && lostConnection(err) && x.reconnect(ctx, x.offset) {
		return nil
	}
	return x.failed(ctx, err)
}

// maxReconnects bounds how often the stream of one request is resumed after
// its connection was lost.
const maxReconnects = 3

// reconnect continues the stream over a new connection to the same engine. It
// is not a second dispatch: the engine only goes on sending what it generates
// for this request.
func (x *exchange) reconnect(ctx context.Context, offset int64) bool {
	e, ok := x.backend.(engineBackend)
	if !ok || x.reconnects >= maxReconnects {
		return false
	}
	x.reconnects++
	ans, err := e.Resume(x.attemptContext(ctx), x.call.ID, offset)
	if err != nil {
		return false
	}
	x.offset = offset
	x.accept(ans)
	return true
}

// lostConnection reports whether the request was sent and its connection then
// closed or stayed silent.
func lostConnection(err error) bool {
	var send *target.SendError
	return errors.As(err, &send) && (send.Reason == target.ReasonFirstByte || send.Reason == target.ReasonClosed)
}

// attemptContext returns a context that a pause ends without ending ctx.
func (x *exchange) attemptContext(ctx context.Context) context.Context {
	actx, stop := context.WithCancelCause(ctx)
	x.stop = stop
	x.paused.Store(false)
	ended := make(chan struct{})
	x.pauseEnded = ended
	backend, id := x.backend, x.call.ID
	pause := func() {
		if x.paused.Swap(true) {
			return
		}
		x.h.tasks.Go(func() {
			defer close(ended)
			// The engine cancels before the connection is closed. A request whose
			// connection closed first might never have been read, and its stream
			// could then not be resumed.
			if e, ok := backend.(engineBackend); ok {
				cancelRun(e, id)
			}
			stop(errPaused)
		})
	}
	x.ticket.onPause.Store(&pause)
	return actx
}

// awaitPause waits until the engine has been told of the pause. A cancel that
// arrived after the resume would end the resumed stream.
func (x *exchange) awaitPause(ctx context.Context) {
	select {
	case <-x.pauseEnded:
	case <-ctx.Done():
	}
}

// reopen continues the stream at its engine from what has been received.
func (x *exchange) reopen(ctx, attempt context.Context) *refusal.Refusal {
	e, ok := x.backend.(engineBackend)
	if !ok {
		x.pool.done(x.ticket, pool.Truncated)
		return refusal.New(refusal.ResponseTruncated, "target %s cannot resume", x.target)
	}
	ans, err := e.Resume(attempt, x.call.ID, x.offset)
	if err != nil {
		return x.interrupted(ctx, err)
	}
	x.answer = ans
	return nil
}

// failed ends the exchange after the first byte went out.
func (x *exchange) failed(ctx context.Context, err error) *refusal.Refusal {
	if ctx.Err() != nil {
		x.cancelAtTarget()
		x.pool.cancel(x.ticket)
		return x.gone(ctx)
	}
	result, ref := classify(x.target, err)
	x.pool.done(x.ticket, result)
	x.observe(result)
	x.h.metrics.AddWastedPrefill(telemetry.WasteTargetLost, x.ticket.req.PromptTokens)
	return ref
}

// accept takes the head of an answer.
func (x *exchange) accept(ans *target.Response) {
	x.answer = ans
	if ans.Version != "" {
		x.version = ans.Version
		x.h.noteVersion(x.pool, x.target, ans.Version)
	}
}

// classify maps an adapter's error after the first byte to what the pool and
// the caller are told.
func classify(name string, err error) (pool.Result, *refusal.Refusal) {
	var mismatch *target.MismatchError
	var cut *target.TruncatedError
	switch {
	case errors.Is(err, target.ErrUnknownStream):
		// That a stream is gone says nothing against the engine.
		return pool.Cancelled, refusal.New(refusal.ResponseTruncated, "target %s: %v", name, err)
	case errors.As(err, &mismatch):
		return pool.Failed, refusal.New(refusal.ResponseMismatched, "target %s: %v", name, err)
	case errors.As(err, &cut):
		return pool.Truncated, refusal.New(refusal.ResponseTruncated, "target %s: %v", name, err)
	case errors.Is(err, target.ErrTimeout):
		return pool.TimedOut, refusal.New(refusal.TargetTimedOut, "target %s: %v", name, err)
	default:
		return pool.Failed, refusal.New(refusal.TargetFailed, "target %s: %v", name, err)
	}
}
