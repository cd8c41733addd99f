package host

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/sched/pool"
	"sardinefront.dev/target"
)

// cancelTimeout bounds the wait for a target to confirm a cancel.
const cancelTimeout = 2 * time.Second

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
		x.pool.sched.RecordFirstByte(x.ticket.req.ID, now)
		x.h.metrics.RecordFirstToken(x.ticket.req.Tier, now.Sub(x.ticket.req.Arrived).Seconds())
	}
	if x.pool.kind == pool.Engine {
		x.offset++
		x.pool.sched.RecordProgress(x.ticket.req.ID, int(x.offset), now)
	}
}

// recover continues an answer that was paused or cut, or returns why it can't.
func (x *exchange) recover(ctx context.Context, err error) *refusal.Refusal {
	_ = x.answer.Body.Close()
	if ctx.Err() != nil {
		return x.failed(ctx, err)
	}
	if x.paused.Load() {
		x.awaitPause(ctx)
		x.answer = nil
		_, ref := x.open(ctx)
		return ref
	}
	var cut *target.TruncatedError
	if x.answer.IsEventStream && errors.As(err, &cut) && x.reconnect(ctx, cut.Offset) {
		return nil
	}
	return x.failed(ctx, err)
}

// cancelAtTarget stops the generation, so that nothing is computed for nobody.
func (x *exchange) cancelAtTarget() {
	e, ok := x.backend.(engineBackend)
	if !ok {
		return
	}
	id := x.call.ID
	x.h.metrics.AddWastedPrefill(telemetry.WasteCancelled, x.ticket.req.PromptTokens)
	x.h.tasks.Go(func() { cancelRun(e, id) })
}

const (
	// cancelTries is how often a cancel is sent: it travels on a connection of
	// its own and may arrive before the request that it cancels.
	cancelTries = 5
	// cancelAgain is the wait before the second cancel, doubled each time.
	cancelAgain = 100 * time.Millisecond
)

// cancelRun cancels until the engine has known the request.
func cancelRun(e engineBackend, id string) {
	wait := cancelAgain
	for range cancelTries {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		err := e.Cancel(ctx, id)
		cancel()
		if !errors.Is(err, target.ErrUnknownStream) {
			return
		}
		time.Sleep(wait)
		wait *= 2
	}
}

// complete records a whole answer.
func (x *exchange) complete() {
	result := pool.OK
	if x.answer.Status >= http.StatusInternalServerError {
		result = pool.Failed
	}
	x.pool.done(x.ticket, result)
	if x.empty() {
		// A version that answers without content is as bad as one that is cut.
		x.observe(pool.Truncated)
	} else {
		x.observe(result)
	}
	x.end()
	req := x.ticket.req
	if result != pool.OK {
		return
	}
	if req.Deadline.IsZero() || time.Now().Before(req.Deadline) {
		x.h.metrics.CountAnswered(req.Tier, req.Pool)
	}
}

// empty reports whether a stream had nothing but its terminal event.
func (x *exchange) empty() bool {
	return x.pool.kind == pool.Engine && x.answer.IsEventStream && x.offset <= 1
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
