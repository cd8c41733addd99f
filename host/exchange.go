package host

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/sched/pool"
	"sardinefront.dev/target"
)

// exchange is the life of one request in a pool: waiting, one dispatch, and its
// answer, which may be paused and resumed at the same target. Its methods are
// called from one goroutine.
type exchange struct {
	h       *Host
	pool    *poolRunner
	pending *pendingRequest
	call    target.Call

	// beforeSend runs after the target is known and before the first byte. An
	// error refuses the request as not run.
	beforeSend func(ctx context.Context, target string) *refusal.Refusal

	// run, if set, is the context of the attempt, so that the end of the
	// caller's context ends only the wait for a dispatch.
	attemptParent context.Context

	dispatched bool
	// unsent is why the last attempt sent no byte.
	retryReason refusal.Retry
	backend     backend
	target      string
	response    *target.Answer
	// offset counts the received events of a stream.
	offset int64
	// version is what the target serves, and sent when it was sent.
	version string
	sentAt  time.Time
	// reconnects counts lost connections whose stream was resumed.
	reconnects  int
	firstByteAt time.Time
	paused      atomic.Bool
	// pauseEnded is closed once the engine has been told of a pause.
	pauseCancelled chan struct{}
	cancelAttempt  context.CancelCauseFunc
}

// open waits for a dispatch and returns the head of the answer. On a refusal
// the exchange has ended.
func (x *exchange) open(ctx context.Context) (*target.Answer, *refusal.Refusal) {
	for {
		a, ref := x.awaitDispatch(ctx)
		if ref != nil {
			return nil, ref
		}
		if a.Retry {
			x.h.recordRetry(x.pending.req, x.retryReason, a.Target)
		}
		ref = x.attempt(x.attemptParentContext(ctx), a)
		if ref != nil {
			return nil, x.fail(ref)
		}
		if x.response != nil {
			return x.response, nil
		}
	}
}

func (x *exchange) attemptParentContext(ctx context.Context) context.Context {
	if x.attemptParent != nil {
		return x.attemptParent
	}
	return ctx
}

// await returns the next dispatch of the request.
func (x *exchange) awaitDispatch(ctx context.Context) (requestAction, *refusal.Refusal) {
	select {
	case a := <-x.pending.actions:
		if a.Kind == pool.Refuse {
			ref := a.Refusal
			if x.dispatched {
				ref = ref.WithRan(refusal.Unknown)
			}
			return a, x.fail(ref)
		}
		return a, nil
	case <-ctx.Done():
		x.pool.cancel(x.pending)
		return requestAction{}, x.fail(x.contextRefusal(ctx))
	}
}

// gone returns the refusal for a context that ended, which is certain to be
// not run before the dispatch only.
func (x *exchange) contextRefusal(ctx context.Context) *refusal.Refusal {
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
