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

// exchange handles one request in a pool: it waits for the dispatch, sends the request and reads
// the response, which may be paused and resumed at the same target. A request is dispatched at
// most once. The methods are called from one goroutine.
type exchange struct {
	host    *Host
	runner  *poolRunner
	pending *pendingRequest
	call    target.Request

	// beforeSend, if set, is called after the target is chosen and before the first byte is
	// sent. If it returns a refusal, the request is refused as not run.
	beforeSend func(ctx context.Context, target string) *refusal.Refusal

	// attemptParent, if set, is the parent context of the attempts. The caller's context then
	// only limits the wait for a dispatch.
	attemptParent context.Context

	// dispatched is set just before the request is sent, and reset if no byte of it was sent.
	dispatched bool
	// retryReason is the reason why the last attempt sent no byte.
	retryReason refusal.RetryReason
	backend     backend
	target      string
	response    *target.Response
	// offset is the number of received events of a stream.
	offset int64
	// version is the model or service version that the target serves, empty if unknown.
	version string
	sentAt  time.Time
	// reconnects is the number of attempts to resume the stream after a lost connection.
	reconnects  int
	firstByteAt time.Time
	paused      atomic.Bool
	// cancelSent is closed once the cancel of a paused attempt has been sent to the engine.
	cancelSent    chan struct{}
	cancelAttempt context.CancelCauseFunc
}

// open waits for a dispatch, performs it and returns the head of the response. After a refusal
// the exchange has ended.
func (x *exchange) open(ctx context.Context) (*target.Response, *refusal.Refusal) {
	for {
		a, ref := x.awaitDispatch(ctx)
		if ref != nil {
			return nil, ref
		}
		if a.Retry {
			x.host.recordRetry(x.pending.req, x.retryReason, a.Target)
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

// attemptParentContext returns attemptParent if it is set, otherwise ctx.
func (x *exchange) attemptParentContext(ctx context.Context) context.Context {
	if x.attemptParent != nil {
		return x.attemptParent
	}
	return ctx
}

// awaitDispatch waits for the next dispatch of the request, a refusal or the end of ctx.
func (x *exchange) awaitDispatch(ctx context.Context) (requestAction, *refusal.Refusal) {
	select {
	case a := <-x.pending.actions:
		if a.Kind == pool.Refuse {
			ref := a.Refusal
			if x.dispatched {
				ref = ref.WithRunState(refusal.RunUnknown)
			}
			return a, x.fail(ref)
		}
		return a, nil
	case <-ctx.Done():
		x.runner.cancel(x.pending)
		return requestAction{}, x.fail(x.contextRefusal(ctx))
	}
}

// contextRefusal returns the refusal for a context that has ended. The request is known not to
// have run only if it was not dispatched.
func (x *exchange) contextRefusal(ctx context.Context) *refusal.Refusal {
	reason := refusal.CallerDisconnected
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		reason = refusal.DeadlineExceeded
	case errors.Is(cause, errStopped) && x.dispatched:
		reason = refusal.StoppedAfterSend // the status of ShuttingDown guarantees that the request has not run
	case errors.Is(cause, errStopped):
		reason = refusal.ShuttingDown
	}
	ref := refusal.New(reason, "the request was cancelled before its response was complete: %v", context.Cause(ctx))
	if x.dispatched {
		return ref.WithRunState(refusal.RunUnknown)
	}
	return ref.WithRunState(refusal.NotRun)
}
