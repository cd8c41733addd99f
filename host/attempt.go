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

// attempt performs a dispatch. Without a refusal, x.response is nil if the attempt was paused
// or no byte was sent; the pool then decides on the next dispatch.
func (x *exchange) attempt(ctx context.Context, a requestAction) *refusal.Refusal {
	b, ok := x.runner.backend(a.Target)
	if !ok {
		x.recordNotSent(refusal.RetryTargetRemoved)
		return nil
	}
	x.backend, x.target, x.version = b, a.Target, x.runner.targetVersion(a.Target)
	attemptCtx := x.attemptContext(ctx)
	if x.pending.pauses.Load() > a.pausesBefore {
		// The pool paused the request before this attempt began and dispatches it again.
		return nil
	}
	if !x.dispatched && x.host.moveTracker.Halted(x.runner.name, x.version) {
		x.recordNotSent(refusal.RetryVersionHalted)
		return nil
	}
	if a.Resume && x.dispatched {
		return x.resumeStream(ctx, attemptCtx)
	}
	if !x.runner.admits(a.Target, true) {
		x.recordDeclined()
		return nil
	}
	if x.beforeSend != nil {
		if ref := x.beforeSend(ctx, a.Target); ref != nil {
			x.runner.recordResult(x.pending, pool.Cancelled)
			return ref
		}
	}
	// The pool has already counted a dispatch of this request, so a second one without Resume
	// is a fault of the scheduler. It must never reach a target.
	if x.dispatched {
		x.runner.recordResult(x.pending, pool.Cancelled)
		return refusal.New(refusal.OutcomeUnknown, "second dispatch to target %s prevented", a.Target)
	}
	x.dispatched = true
	x.sentAt = time.Now()
	resp, err := b.Do(attemptCtx, x.callWithTimeout())
	if err == nil {
		if !x.handleNotRun(resp) {
			x.acceptHead(resp)
		}
		return nil
	}
	var sendErr *target.SendError
	if errors.As(err, &sendErr) && !sendErr.Sent {
		x.dispatched = false
		return x.handleNotSent(ctx, sendErr)
	}
	return x.handleInterrupted(ctx, err)
}

// callWithTimeout returns the call with its first-byte timeout. A completion that is not
// streamed sends its first byte only when it is complete, so it gets all the time until the
// request's deadline.
func (x *exchange) callWithTimeout() target.Request {
	c := x.call
	if x.waitsUntilDeadline() {
		c.FirstByte = max(minFirstByteTimeout, time.Until(x.pending.req.Deadline))
	}
	return c
}

// waitsUntilDeadline reports whether only the request's deadline bounds the wait for the first byte.
func (x *exchange) waitsUntilDeadline() bool { return x.runner.kind == pool.Engine && !x.call.Stream }

// minFirstByteTimeout is the minimum first-byte timeout of a completion that is not streamed.
const minFirstByteTimeout = time.Second

// handleNotSent handles a call that failed before its first byte was sent. The pool decides on
// a retry, unless the caller has disconnected or the call is invalid.
func (x *exchange) handleNotSent(ctx context.Context, sendErr *target.SendError) *refusal.Refusal {
	switch {
	case ctx.Err() != nil:
		x.runner.recordResult(x.pending, pool.Cancelled)
		return x.contextRefusal(ctx)
	case sendErr.Reason == target.ReasonInvalid:
		x.runner.recordResult(x.pending, pool.Cancelled)
		return refusal.New(refusal.BadRequest, "%v", sendErr.Err)
	case x.paused.Load():
		// The pool's next dispatch sends the request for the first time.
		x.awaitCancelSent(ctx)
		return nil
	}
	if sendErr.Reason == target.ReasonClosedTarget {
		x.recordDeclined()
		return nil
	}
	x.recordNotSent(refusal.RetryDialFailed)
	return nil
}

// recordNotSent reports to the pool that the attempt sent no byte.
func (x *exchange) recordNotSent(reason refusal.RetryReason) {
	x.retryReason = reason
	x.runner.recordResult(x.pending, pool.NotSent)
}

// handleInterrupted handles an attempt that was sent and ended before the head of the response
// arrived. It returns nil if the scheduler paused the request or if the stream was resumed on a
// new connection.
func (x *exchange) handleInterrupted(ctx context.Context, err error) *refusal.Refusal {
	if ctx.Err() == nil && x.paused.Load() {
		x.awaitCancelSent(ctx)
		return nil
	}
	if x.call.Stream && isConnectionLost(err) && x.reconnect(ctx, x.offset) {
		return nil
	}
	return x.handleFailure(ctx, err)
}

// maxReconnects bounds how often the stream of one request is resumed after a lost connection.
const maxReconnects = 3

// reconnect resumes the stream from the event offset over a new connection to the same engine,
// and reports whether it succeeded. It is not a second dispatch: the engine continues to send
// the events of the same generation.
func (x *exchange) reconnect(ctx context.Context, offset int64) bool {
	e, ok := x.backend.(engineBackend)
	if !ok || x.reconnects >= maxReconnects {
		return false
	}
	x.reconnects++
	resp, err := x.resumeAt(ctx, e, offset)
	if err != nil {
		return false
	}
	x.offset = offset
	x.acceptHead(resp)
	return true
}

// isConnectionLost reports whether the connection was closed or timed out after the request
// was sent.
func isConnectionLost(err error) bool {
	var sendErr *target.SendError
	return errors.As(err, &sendErr) && (sendErr.Reason == target.ReasonFirstByte || sendErr.Reason == target.ReasonClosed)
}

// attemptContext returns a context for one attempt. A pause by the scheduler cancels it without
// cancelling ctx.
func (x *exchange) attemptContext(ctx context.Context) context.Context {
	attemptCtx, stop := context.WithCancelCause(ctx)
	x.cancelAttempt = stop
	x.paused.Store(false)
	cancelled := make(chan struct{})
	x.cancelSent = cancelled
	backend, id := x.backend, x.call.ID
	pause := func() {
		if x.paused.Swap(true) {
			return
		}
		x.host.tasks.Go(func() {
			defer close(cancelled)
			// The engine must process the cancel before the connection is closed. If the connection
			// closed first, the engine might never have read the request, and its stream could
			// not be resumed.
			if e, ok := backend.(engineBackend); ok {
				cancelGeneration(e, id)
			}
			stop(errPaused)
		})
	}
	x.pending.onPause.Store(&pause)
	return attemptCtx
}

// awaitCancelSent waits until the cancel of a paused attempt has been sent to the engine. A
// cancel that arrived after the resume would end the resumed stream.
func (x *exchange) awaitCancelSent(ctx context.Context) {
	select {
	case <-x.cancelSent:
	case <-ctx.Done():
	}
}

// resumeStream resumes a paused stream at its engine after the last received event.
func (x *exchange) resumeStream(ctx, attemptCtx context.Context) *refusal.Refusal {
	e, ok := x.backend.(engineBackend)
	if !ok {
		x.runner.recordResult(x.pending, pool.Truncated)
		return refusal.New(refusal.ResponseTruncated, "target %s cannot resume a stream, it is not an engine", x.target)
	}
	resp, err := e.Resume(attemptCtx, x.call.ID, x.offset)
	if errors.Is(err, target.ErrClosed) {
		// The pool resumes the stream after the back-off.
		x.runner.recordResult(x.pending, pool.Declined)
		return nil
	}
	if err != nil {
		return x.handleInterrupted(ctx, err)
	}
	x.response = resp
	return nil
}

// handleFailure reports an attempt that failed after its first byte was sent and returns the
// refusal for the caller.
func (x *exchange) handleFailure(ctx context.Context, err error) *refusal.Refusal {
	if ctx.Err() != nil {
		x.cancelAtTarget()
		x.runner.cancel(x.pending)
		return x.contextRefusal(ctx)
	}
	result, ref := classifyError(x.target, err)
	if result == pool.TimedOut && x.waitsUntilDeadline() && !time.Now().Before(x.pending.req.Deadline) {
		result, ref = pool.DeadlineReached, refusal.New(refusal.DeadlineAfterSend, "target %s: %v", x.target, err)
	}
	x.runner.recordResult(x.pending, result)
	x.recordObservation(result)
	x.host.metrics.AddWastedPrefill(telemetry.WasteTargetLost, x.pending.req.PromptTokens)
	return ref
}

// acceptHead stores the response and the version that it names.
func (x *exchange) acceptHead(resp *target.Response) {
	x.response = resp
	if resp.Version != "" {
		x.version = resp.Version
		x.host.updateVersion(x.runner, x.target, resp.Version)
	}
}

// classifyError maps an error of a target after the first byte was sent to the result for the
// pool and the refusal for the caller.
func classifyError(targetName string, err error) (pool.Result, *refusal.Refusal) {
	var mismatch *target.MismatchError
	var truncated *target.TruncatedError
	switch {
	case errors.Is(err, target.ErrUnknownStream):
		// A missing stream does not count as a failure of the engine.
		return pool.Cancelled, refusal.New(refusal.ResponseTruncated, "target %s: %v", targetName, err)
	case errors.As(err, &mismatch):
		return pool.Failed, refusal.New(refusal.ResponseMismatched, "target %s: %v", targetName, err)
	case errors.As(err, &truncated):
		return pool.Truncated, refusal.New(refusal.ResponseTruncated, "target %s: %v", targetName, err)
	case errors.Is(err, target.ErrTimeout):
		return pool.TimedOut, refusal.New(refusal.TargetTimedOut, "target %s: %v", targetName, err)
	default:
		return pool.Failed, refusal.New(refusal.TargetFailed, "target %s: %v", targetName, err)
	}
}
