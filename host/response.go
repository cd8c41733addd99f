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

// next implements responseReader. After any error the exchange has ended.
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

// recordProgress reports a received part of the response to the scheduler, and the first one
// also to the metrics.
func (x *exchange) recordProgress() {
	now := time.Now()
	if x.firstByteAt.IsZero() {
		x.firstByteAt = now
		x.runner.scheduler.RecordFirstByte(x.pending.req.ID, now)
		x.host.metrics.RecordFirstToken(x.pending.req.Tier, now.Sub(x.pending.req.Arrived).Seconds())
	}
	if x.runner.kind == pool.Engine {
		x.offset++
		x.runner.scheduler.RecordProgress(x.pending.req.ID, int(x.offset), now)
	}
}

// recoverResponse resumes a response that was paused or truncated. It returns a refusal if the
// response cannot be resumed.
func (x *exchange) recoverResponse(ctx context.Context, err error) *refusal.Refusal {
	_ = x.response.Body.Close()
	if ctx.Err() != nil {
		return x.handleFailure(ctx, err)
	}
	if x.paused.Load() {
		x.awaitCancelSent(ctx)
		x.response = nil
		_, ref := x.open(ctx)
		return ref
	}
	var truncated *target.TruncatedError
	if x.response.IsEventStream && errors.As(err, &truncated) && x.reconnect(ctx, truncated.Offset) {
		return nil
	}
	return x.handleFailure(ctx, err)
}

// cancelAtTarget stops a generation that nobody waits for, in the background.
func (x *exchange) cancelAtTarget() {
	e, ok := x.backend.(engineBackend)
	if !ok {
		return
	}
	id := x.call.ID
	x.host.metrics.AddWastedPrefill(telemetry.WasteCancelled, x.pending.req.PromptTokens)
	x.host.tasks.Go(func() { cancelGeneration(e, id) })
}

const (
	// maxCancelAttempts bounds how often a cancel is sent while the engine does not know the
	// request. A cancel uses its own connection and may arrive before the request.
	maxCancelAttempts = 5
	// cancelBackoff is the wait after the first cancel. It doubles with each further one.
	cancelBackoff = 100 * time.Millisecond
)

// cancelGeneration sends cancels until the engine knows the request, at most
// maxCancelAttempts. None is sent during the engine's back-off.
func cancelGeneration(e engineBackend, id string) {
	wait := cancelBackoff
	for range maxCancelAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		err := e.Cancel(ctx, id)
		cancel()
		if !errors.Is(err, target.ErrUnknownStream) && !errors.Is(err, target.ErrClosed) {
			return
		}
		time.Sleep(wait)
		wait *= 2
	}
}

// complete records that the whole response was received, and ends the exchange.
func (x *exchange) complete() {
	result := pool.OK
	switch {
	case x.isBackOff():
		result = pool.Cancelled
	case x.response.Status >= http.StatusInternalServerError:
		result = pool.Failed
	}
	x.runner.recordResult(x.pending, result)
	if x.isEmptyStream() {
		// An empty response counts against the version like a truncated one.
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
		x.host.metrics.CountAnswered(req.Tier, req.Pool)
	}
}

// isEmptyStream reports whether an engine's stream had no event except its terminal one.
func (x *exchange) isEmptyStream() bool {
	return x.runner.kind == pool.Engine && x.response.IsEventStream && x.offset <= 1
}

// abandon implements responseReader.
func (x *exchange) abandon() {
	if x.response != nil {
		_ = x.response.Body.Close()
	}
	x.cancelAtTarget()
	x.runner.cancel(x.pending)
	x.release()
}

// fail ends the exchange and returns ref.
func (x *exchange) fail(ref *refusal.Refusal) *refusal.Refusal {
	x.release()
	return ref
}

// release frees the resources of the exchange. It may be called more than once.
func (x *exchange) release() {
	if x.cancelAttempt != nil {
		x.cancelAttempt(nil)
	}
	x.runner.unregister(x.pending)
}
