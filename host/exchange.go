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
	h      *Host
	pool   *poolRunner
	ticket *ticket
	call   target.Request

	// beforeSend runs after the target is known and before the first byte. An
	// error refuses the request as not run.
	beforeSend func(ctx context.Context, target string) *refusal.Refusal

	// run, if set, is the context of the attempt, so that the end of the
	// caller's context ends only the wait for a dispatch.
	run context.Context

	dispatched bool
	// unsent is why the last attempt sent no byte.
	unsent  refusal.RetryReason
	backend backend
	target  string
	answer  *target.Response
	// offset counts the received events of a stream.
	offset int64
	// version is what the target serves, and sent when it was sent.
	version string
	sent    time.Time
	// reconnects counts lost connections whose stream was resumed.
	reconnects int
	first      time.Time
	paused     atomic.Bool
	// pauseEnded is closed once the engine has been told of a pause.
	pauseEnded chan struct{}
	stop       context.CancelCauseFunc
}

// open waits for a dispatch and returns the head of the answer. On a refusal
// the exchange has ended.
func (x *exchange) open(ctx context.Context) (*target.Response, *refusal.Refusal) {
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
				ref = ref.WithRunState(refusal.RunUnknown)
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
	reason := refusal.CallerDisconnected
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = refusal.DeadlineExceeded
	}
	ref := refusal.New(reason, "the wait for an answer ended")
	if x.dispatched {
		return ref.WithRunState(refusal.RunUnknown)
	}
	return ref.WithRunState(refusal.NotRun)
}
