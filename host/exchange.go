package host

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/sched/pool"
	"sardinefront.dev/target"
)

// cancelTimeout bounds the wait for a target to confirm a cancel.
const cancelTimeout = 2 * time.Second

// errPaused ends a read because the scheduler paused the request.
var errPaused = errors.New("paused by the scheduler")

// exchange is the life of one request in a pool: waiting, one dispatch, and its
// answer, which may be paused and resumed at the same target. Its methods are
// called from one goroutine.
type exchange struct {
	h      *Host
	pool   *poolRunner
	ticket *ticket
	call   target.Call

	// beforeSend runs after the target is known and before the first byte. An
	// error refuses the request as not run.
	beforeSend func(ctx context.Context, target string) *refusal.Refusal

	// run, if set, is the context of the attempt, so that the end of the
	// caller's context ends only the wait for a dispatch.
	run context.Context

	dispatched bool
	// unsent is why the last attempt sent no byte.
	unsent  refusal.Retry
	backend backend
	target  string
	answer  *target.Answer
	// offset counts the received events of a stream.
	offset int64
	// version is what the target serves, and sent when it was sent.
	version string
	sent    time.Time
	// reconnects counts lost connections whose stream was resumed.
	reconnects int
	first      time.Time
	paused     atomic.Bool
	stop       context.CancelCauseFunc
}

// open waits for a dispatch and returns the head of the answer. On a refusal
// the exchange has ended.
func (x *exchange) open(ctx context.Context) (*target.Answer, *refusal.Refusal) {
	for {
		a, ref := x.await(ctx)
		if ref != nil {
			return nil, ref
		}
		if a.Retry {
			x.h.retried(x.ticket.req, x.unsent, a.Target)
		}
		ref = x.attempt(x.runContext(ctx), a)
		if ref != nil {
			return nil, x.finish(ref)
		}
		if x.answer != nil {
			return x.answer, nil
		}
	}
}

func (x *exchange) runContext(ctx context.Context) context.Context {
	if x.run != nil {
		return x.run
	}
	return ctx
}

// await returns the next dispatch of the request.
func (x *exchange) await(ctx context.Context) (ticketAction, *refusal.Refusal) {
	select {
	case a := <-x.ticket.actions:
		if a.Kind == pool.Refuse {
			ref := a.Refusal
			if x.dispatched {
				ref = ref.WithRan(refusal.Unknown)
			}
			return a, x.finish(ref)
		}
		return a, nil
	case <-ctx.Done():
		x.pool.cancel(x.ticket)
		return ticketAction{}, x.finish(x.gone(ctx))
	}
}

// gone returns the refusal for a context that ended, which is certain to be
// not run before the dispatch only.
func (x *exchange) gone(ctx context.Context) *refusal.Refusal {
	reason := refusal.CallerGone
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = refusal.DeadlinePassed
	}
	ref := refusal.New(reason, "the wait for an answer ended")
	if x.dispatched {
		return ref.WithRan(refusal.Unknown)
	}
	return ref.WithRan(refusal.NotRun)
}

// attempt performs a dispatch. It returns neither refusal nor answer if no byte
// went out, in which case the pool decides on a retry.
func (x *exchange) attempt(ctx context.Context, a ticketAction) *refusal.Refusal {
	attempt := x.attemptContext(ctx)
	if x.ticket.pauses.Load() > a.pauses {
		// Paused before it began; the next dispatch goes on.
		return nil
	}
	b, ok := x.pool.backend(a.Target)
	if !ok {
		x.notSent(refusal.RetryTargetLeft)
		return nil
	}
	x.backend, x.target, x.version = b, a.Target, x.pool.version(a.Target)
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
func (x *exchange) callNow() target.Call {
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
		return nil
	}
	x.notSent(refusal.RetryDialFailed)
	return nil
}

func (x *exchange) notSent(why refusal.Retry) {
	x.unsent = why
	x.pool.done(x.ticket, pool.NotSent)
}

// interrupted handles an attempt that ended before the head of the answer. It
// returns nil if the scheduler paused it, after which it is resumed later.
func (x *exchange) interrupted(ctx context.Context, err error) *refusal.Refusal {
	if ctx.Err() == nil && x.paused.Load() {
		x.pauseAtTarget(ctx)
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
	pause := func() {
		x.paused.Store(true)
		stop(errPaused)
	}
	x.ticket.onPause.Store(&pause)
	return actx
}

// reopen continues the stream at its engine from what has been received.
func (x *exchange) reopen(ctx, attempt context.Context) *refusal.Refusal {
	e, ok := x.backend.(engineBackend)
	if !ok {
		x.pool.done(x.ticket, pool.Cut)
		return refusal.New(refusal.AnswerCut, "target %s cannot resume", x.target)
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
	x.h.metrics.WastedPrefill(telemetry.WasteTargetLost, x.ticket.req.PromptTokens)
	return ref
}

// accept takes the head of an answer.
func (x *exchange) accept(ans *target.Answer) {
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
	var cut *target.CutError
	switch {
	case errors.Is(err, target.ErrUnknownStream):
		// That a stream is gone says nothing against the engine.
		return pool.Cancelled, refusal.New(refusal.AnswerCut, "target %s: %v", name, err)
	case errors.As(err, &mismatch):
		return pool.Failed, refusal.New(refusal.AnswerMismatched, "target %s: %v", name, err)
	case errors.As(err, &cut):
		return pool.Cut, refusal.New(refusal.AnswerCut, "target %s: %v", name, err)
	case errors.Is(err, target.ErrTimeout):
		return pool.Silent, refusal.New(refusal.TargetSilent, "target %s: %v", name, err)
	default:
		return pool.Failed, refusal.New(refusal.TargetFailed, "target %s: %v", name, err)
	}
}

// next returns the next part of the answer, or io.EOF after a verified end.
// Any other error is a *refusal.Refusal, and the exchange has ended.
func (x *exchange) next(ctx context.Context) ([]byte, error) {
	for {
		part, err := x.answer.Body.Next()
		if err == nil {
			x.progress()
			return part, nil
		}
		if errors.Is(err, io.EOF) {
			x.complete()
			return nil, io.EOF
		}
		if ref := x.recover(ctx, err); ref != nil {
			return nil, x.finish(ref)
		}
	}
}

func (x *exchange) progress() {
	now := time.Now()
	if x.first.IsZero() {
		x.first = now
		x.pool.sched.FirstByte(x.ticket.req.ID, now)
		x.h.metrics.FirstToken(x.ticket.req.Tier, now.Sub(x.ticket.req.Arrived).Seconds())
	}
	if x.pool.kind == pool.Engine {
		x.offset++
		x.pool.sched.Progress(x.ticket.req.ID, int(x.offset), now)
	}
}

// recover continues an answer that was paused or cut, or returns why it can't.
func (x *exchange) recover(ctx context.Context, err error) *refusal.Refusal {
	_ = x.answer.Body.Close()
	if ctx.Err() != nil {
		return x.failed(ctx, err)
	}
	if x.paused.Load() {
		x.pauseAtTarget(ctx)
		x.answer = nil
		_, ref := x.open(ctx)
		return ref
	}
	var cut *target.CutError
	if x.answer.Streamed && errors.As(err, &cut) && x.reconnect(ctx, cut.Offset) {
		return nil
	}
	return x.failed(ctx, err)
}

// pauseAtTarget stops the generation until it is resumed. It waits for the
// engine's answer, because a cancel that arrives after the resume would end the
// resumed stream.
func (x *exchange) pauseAtTarget(ctx context.Context) {
	e, ok := x.backend.(engineBackend)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	_ = e.Cancel(ctx, x.call.ID)
}

// cancelAtTarget stops the generation, so that nothing is computed for nobody.
func (x *exchange) cancelAtTarget() {
	e, ok := x.backend.(engineBackend)
	if !ok {
		return
	}
	id := x.call.ID
	x.h.metrics.WastedPrefill(telemetry.WasteCancelled, x.ticket.req.PromptTokens)
	x.h.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = e.Cancel(ctx, id)
	})
}

// complete records a whole answer.
func (x *exchange) complete() {
	result := pool.OK
	if x.answer.Status >= http.StatusInternalServerError {
		result = pool.Failed
	}
	x.pool.done(x.ticket, result)
	x.observe(result)
	x.end()
	req := x.ticket.req
	if req.Deadline.IsZero() || time.Now().Before(req.Deadline) {
		x.h.metrics.Answer(req.Tier, req.Pool)
	}
}

// abandon ends an exchange whose caller no longer reads the answer.
func (x *exchange) abandon() {
	if x.answer != nil {
		_ = x.answer.Body.Close()
	}
	x.cancelAtTarget()
	x.pool.cancel(x.ticket)
	x.end()
}

func (x *exchange) finish(ref *refusal.Refusal) *refusal.Refusal {
	x.end()
	return ref
}

func (x *exchange) end() {
	if x.stop != nil {
		x.stop(nil)
	}
	x.pool.release(x.ticket)
}
