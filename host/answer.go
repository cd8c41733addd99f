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
		part, err := x.response.Body.Next()
		if err == nil {
			x.recordProgress()
			return part, nil
		}
		if errors.Is(err, io.EOF) {
			x.complete()
			return nil, io.EOF
		}
		if ref := x.recoverResponse(ctx, err); ref != nil {
			return nil, x.fail(ref)
		}
	}
}

func (x *exchange) recordProgress() {
	now := time.Now()
	if x.firstByteAt.IsZero() {
		x.firstByteAt = now
		x.pool.sched.RecordFirstByte(x.pending.req.ID, now)
		x.h.metrics.FirstToken(x.pending.req.Tier, now.Sub(x.pending.req.Arrived).Seconds())
	}
	if x.pool.kind == pool.Engine {
		x.offset++
		x.pool.sched.RecordProgress(x.pending.req.ID, int(x.offset), now)
	}
}

// recover continues an answer that was paused or cut, or returns why it can't.
func (x *exchange) recoverResponse(ctx context.Context, err error) *refusal.Refusal {
	_ = x.response.Body.Close()
	if ctx.Err() != nil {
		return x.handleFailure(ctx, err)
	}
	if x.paused.Load() {
		x.awaitPauseCancelled(ctx)
		x.response = nil
		_, ref := x.open(ctx)
		return ref
	}
	var cut *target.CutError
	if x.response.Streamed && errors.As(err, &cut) && x.reconnect(ctx, cut.Offset) {
		return nil
	}
	return x.handleFailure(ctx, err)
}

// cancelAtTarget stops the generation, so that nothing is computed for nobody.
func (x *exchange) cancelAtTarget() {
	e, ok := x.backend.(engineBackend)
	if !ok {
		return
	}
	id := x.call.ID
	x.h.metrics.WastedPrefill(telemetry.WasteCancelled, x.pending.req.PromptTokens)
	x.h.tasks.Go(func() { cancelGeneration(e, id) })
}

const (
	// cancelTries is how often a cancel is sent: it travels on a connection of
	// its own and may arrive before the request that it cancels.
	maxCancelAttempts = 5
	// cancelAgain is the wait before the second cancel, doubled each time.
	cancelBackoff = 100 * time.Millisecond
)

// cancelRun cancels until the engine has known the request.
func cancelGeneration(e engineBackend, id string) {
	wait := cancelBackoff
	for range maxCancelAttempts {
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
	if x.response.Status >= http.StatusInternalServerError {
		result = pool.Failed
	}
	x.pool.recordResult(x.pending, result)
	if x.isEmptyStream() {
		// A version that answers without content is as bad as one that is cut.
		x.recordObservation(pool.Truncated)
	} else {
		x.recordObservation(result)
	}
	x.release()
	req := x.pending.req
	if result != pool.OK {
		return
	}
	if req.Deadline.IsZero() || time.Now().Before(req.Deadline) {
		x.h.metrics.Answer(req.Tier, req.Pool)
	}
}

// empty reports whether a stream had nothing but its terminal event.
func (x *exchange) isEmptyStream() bool {
	return x.pool.kind == pool.Engine && x.response.Streamed && x.offset <= 1
}

// abandon ends an exchange whose caller no longer reads the answer.
func (x *exchange) abandon() {
	if x.response != nil {
		_ = x.response.Body.Close()
	}
	x.cancelAtTarget()
	x.pool.cancel(x.pending)
	x.release()
}

func (x *exchange) fail(ref *refusal.Refusal) *refusal.Refusal {
	x.release()
	return ref
}

func (x *exchange) release() {
	if x.cancelAttempt != nil {
		x.cancelAttempt(nil)
	}
	x.pool.unregister(x.pending)
}
