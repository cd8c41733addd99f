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
func (x *exchange) attempt(ctx context.Context, a requestAction) *refusal.Refusal {
	b, ok := x.pool.backend(a.Target)
	if !ok {
		x.recordNotSent(refusal.RetryTargetLeft)
		return nil
	}
	x.backend, x.target, x.version = b, a.Target, x.pool.targetVersion(a.Target)
	attempt := x.attemptContext(ctx)
	if x.pending.pauses.Load() > a.pauses {
		// Paused before it began; the next dispatch goes on.
		return nil
	}
	if !x.dispatched && x.h.moveTracker.Halted(x.pool.name, x.version) {
		x.recordNotSent(refusal.RetryVersionHalted)
		return nil
	}
	if a.Resume && x.dispatched {
		return x.resumeStream(ctx, attempt)
	}
	if x.beforeSend != nil {
		if ref := x.beforeSend(ctx, a.Target); ref != nil {
			x.pool.recordResult(x.pending, pool.Cancelled)
			return ref
		}
	}
	// The pool was told of the dispatch before this point, so a second one
	// would be a fault of the scheduler. It must never reach a target.
	if x.dispatched {
		x.pool.recordResult(x.pending, pool.Cancelled)
		return refusal.New(refusal.OutcomeUnknown, "second dispatch prevented")
	}
	x.dispatched = true
	x.sentAt = time.Now()
	resp, err := b.Do(attempt, x.callWithTimeout())
	if err == nil {
		x.acceptHead(resp)
		return nil
	}
	var send *target.SendError
	if errors.As(err, &send) && !send.Sent {
		x.dispatched = false
		return x.handleNotSent(ctx, send)
	}
	return x.handleInterrupted(ctx, err)
}

// callNow returns the call with the wait for its first byte bounded by the
// request's deadline, because a completion that is not streamed begins late.
func (x *exchange) callWithTimeout() target.Call {
	c := x.call
	if x.pool.kind == pool.Engine && !c.Stream {
		c.FirstByte = max(minFirstByteTimeout, time.Until(x.pending.req.Deadline))
	}
	return c
}

// minFirstByte is the least wait for an answer that is not streamed.
const minFirstByteTimeout = time.Second

// unsentCall handles a call of which no byte went out. The pool decides on a
// retry, unless another target would make no difference.
func (x *exchange) handleNotSent(ctx context.Context, send *target.SendError) *refusal.Refusal {
	switch {
	case ctx.Err() != nil:
		x.pool.recordResult(x.pending, pool.Cancelled)
		return x.contextRefusal(ctx)
	case send.Reason == target.ReasonInvalid:
		x.pool.recordResult(x.pending, pool.Cancelled)
		return refusal.New(refusal.BadRequest, "%v", send.Err)
	case x.paused.Load():
		// The pool's next dispatch sends the request for the first time.
		x.awaitPauseCancelled(ctx)
		return nil
	}
	x.recordNotSent(refusal.RetryDialFailed)
	return nil
}

func (x *exchange) recordNotSent(reason refusal.Retry) {
	x.retryReason = reason
	x.pool.recordResult(x.pending, pool.NotSent)
}

// interrupted handles an attempt that ended before the head of the answer. It
// returns nil if the scheduler paused it, after which it is resumed later.
func (x *exchange) handleInterrupted(ctx context.Context, err error) *refusal.Refusal {
	if ctx.Err() == nil && x.paused.Load() {
		x.awaitPauseCancelled(ctx)
		return nil
	}
	if x.call.Stream && isConnectionLost(err) && x.reconnect(ctx, x.offset) {
		return nil
	}
	return x.handleFailure(ctx, err)
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
	resp, err := e.Resume(x.attemptContext(ctx), x.call.ID, offset)
	if err != nil {
		return false
	}
	x.offset = offset
	x.acceptHead(resp)
	return true
}

// lostConnection reports whether the request was sent and its connection then
// closed or stayed silent.
func isConnectionLost(err error) bool {
	var send *target.SendError
	return errors.As(err, &send) && (send.Reason == target.ReasonFirstByte || send.Reason == target.ReasonClosed)
}

// attemptContext returns a context that a pause ends without ending ctx.
func (x *exchange) attemptContext(ctx context.Context) context.Context {
	attemptCtx, stop := context.WithCancelCause(ctx)
	x.cancelAttempt = stop
	x.paused.Store(false)
	cancelled := make(chan struct{})
	x.pauseCancelled = cancelled
	backend, id := x.backend, x.call.ID
	pause := func() {
		if x.paused.Swap(true) {
			return
		}
		x.h.tasks.Go(func() {
			defer close(cancelled)
			// The engine cancels before the connection is closed. A request whose
			// connection closed first might never have been read, and its stream
			// could then not be resumed.
			if e, ok := backend.(engineBackend); ok {
				cancelGeneration(e, id)
			}
			stop(errPaused)
		})
	}
	x.pending.onPause.Store(&pause)
	return attemptCtx
}

// awaitPause waits until the engine has been told of the pause. A cancel that
// arrived after the resume would end the resumed stream.
func (x *exchange) awaitPauseCancelled(ctx context.Context) {
	select {
	case <-x.pauseCancelled:
	case <-ctx.Done():
	}
}

// reopen continues the stream at its engine from what has been received.
func (x *exchange) resumeStream(ctx, attempt context.Context) *refusal.Refusal {
	e, ok := x.backend.(engineBackend)
	if !ok {
		x.pool.recordResult(x.pending, pool.Truncated)
		return refusal.New(refusal.AnswerCut, "target %s cannot resume", x.target)
	}
	resp, err := e.Resume(attempt, x.call.ID, x.offset)
	if err != nil {
		return x.handleInterrupted(ctx, err)
	}
	x.response = resp
	return nil
}

// failed ends the exchange after the first byte went out.
func (x *exchange) handleFailure(ctx context.Context, err error) *refusal.Refusal {
	if ctx.Err() != nil {
		x.cancelAtTarget()
		x.pool.cancel(x.pending)
		return x.contextRefusal(ctx)
	}
	result, ref := classifyError(x.target, err)
	x.pool.recordResult(x.pending, result)
	x.recordObservation(result)
	x.h.metrics.WastedPrefill(telemetry.WasteTargetLost, x.pending.req.PromptTokens)
	return ref
}

// accept takes the head of an answer.
func (x *exchange) acceptHead(resp *target.Answer) {
	x.response = resp
	if resp.Version != "" {
		x.version = resp.Version
		x.h.updateVersion(x.pool, x.target, resp.Version)
	}
}

// classify maps an adapter's error after the first byte to what the pool and
// the caller are told.
func classifyError(targetName string, err error) (pool.Result, *refusal.Refusal) {
	var mismatch *target.MismatchError
	var cut *target.CutError
	switch {
	case errors.Is(err, target.ErrUnknownStream):
		// That a stream is gone says nothing against the engine.
		return pool.Cancelled, refusal.New(refusal.AnswerCut, "target %s: %v", targetName, err)
	case errors.As(err, &mismatch):
		return pool.Failed, refusal.New(refusal.AnswerMismatched, "target %s: %v", targetName, err)
	case errors.As(err, &cut):
		return pool.Truncated, refusal.New(refusal.AnswerCut, "target %s: %v", targetName, err)
	case errors.Is(err, target.ErrTimeout):
		return pool.TimedOut, refusal.New(refusal.TargetSilent, "target %s: %v", targetName, err)
	default:
		return pool.Failed, refusal.New(refusal.TargetFailed, "target %s: %v", targetName, err)
	}
}
