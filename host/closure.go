package host

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/sched/drain"
	"sardinefront.dev/sched/pool"
	"sardinefront.dev/target"
)

// recordNotice passes what a response of a target states to the scheduler. run is the id of the
// target's run to which the client connects.
func (p *poolRunner) recordNotice(name, run string, n target.Notice) {
	notice := pool.Notice{
		Incarnation: drain.Incarnation{ID: run, StartedUnixMs: n.StartedUnixMs},
		Leaving:     n.Leaving,
		SentAt:      n.SentAt,
	}
	if n.RetryAfter != "" {
		// A date is on the target's clock, which may differ from this host's.
		reference := n.Date
		if reference.IsZero() {
			reference = n.ReadAt
		}
		d, err := drain.ParseRetryAfter(n.RetryAfter, reference)
		if err != nil {
			p.onRetryAfterRejected(p.name, name, n.RetryAfter, err)
		}
		notice.BackOff = d
	}
	p.decide(func(now time.Time) []pool.Action { return p.scheduler.RecordNotice(name, notice, now) })
}

// admits reports whether a target accepts a request now; see pool.Pool.Admits.
func (p *poolRunner) admits(name string, newWork bool) bool {
	return p.scheduler.Admits(name, newWork, time.Now())
}

// logClosureChange logs and counts that a target receives no new requests any more, or that it
// receives them again.
func (h *Host) logClosureChange(poolName string, a pool.Action) {
	attrs := []slog.Attr{
		slog.String("pool", poolName), slog.String("target", a.Target), slog.String("instance", a.Instance),
		slog.String("source", a.Source.String()), slog.Duration("age", a.Age), slog.String("why", a.Why),
	}
	if a.Kind == pool.Reopen {
		event.TargetReopened.Log(h.log, attrs...)
		return
	}
	h.metrics.CountTargetClosed(poolName, a.Closure.String())
	event.TargetClosed.Log(h.log, append(attrs, slog.String("reason", a.Closure.String()))...)
}

func (h *Host) logRetryAfterRejected(poolName, targetName, value string, err error) {
	h.metrics.CountRetryAfterRejected(poolName)
	event.RetryAfterRejected.Log(h.log, slog.String("pool", poolName), slog.String("target", targetName), slog.String("value", value), slog.String("error", err.Error()))
}

// recordDeclined reports to the pool that the target is closed and did not run the request.
func (x *exchange) recordDeclined() {
	x.dispatched = false
	x.retryReason = refusal.RetryTargetClosed
	x.runner.recordResult(x.pending, pool.Declined)
}

// maxDeclinedBytes bounds the body of a response to a request that did not run.
const maxDeclinedBytes = 64 << 10

// handleNotRun handles the response to a request that the target did not run. The pool picks a
// target again: without use of the retry budget if the target has closed, and like a failure
// otherwise. It reports false for all other responses.
func (x *exchange) handleNotRun(resp *target.Response) bool {
	if resp.Status != http.StatusServiceUnavailable || !resp.NotRun {
		return false
	}
	_, _ = target.ReadAll(resp.Body, maxDeclinedBytes) // keeps the connection usable if complete
	if !x.runner.admits(x.target, true) {
		x.recordDeclined()
		return true
	}
	x.dispatched = false
	x.recordNotSent(refusal.RetryTargetFull)
	return true
}

// isBackOff reports whether the response turned the request away and asked for a back-off. Such
// a response shows no fault of the target or of its version.
func (x *exchange) isBackOff() bool {
	return x.response.Status == http.StatusServiceUnavailable && !x.runner.admits(x.target, false)
}

// admissionPollInterval is how often a waiting request checks whether a back-off has ended.
const admissionPollInterval = 50 * time.Millisecond

// awaitAdmission waits for the end of the target's back-off. It reports false if ctx or the time
// for the request ends first.
func (x *exchange) awaitAdmission(ctx context.Context) bool {
	tick := time.NewTicker(admissionPollInterval)
	defer tick.Stop()
	for !x.runner.admits(x.target, false) {
		select {
		case <-ctx.Done():
			return false
		case now := <-tick.C:
			if deadline := x.pending.req.Deadline; !deadline.IsZero() && now.After(deadline) {
				return false
			}
		}
	}
	return true
}

// resumeAt resumes the stream from the event offset. It waits for the end of the target's back-off
// and returns target.ErrClosed if that wait fails; see awaitAdmission.
func (x *exchange) resumeAt(ctx context.Context, e engineBackend, offset int64) (*target.Response, error) {
	for {
		if !x.awaitAdmission(ctx) {
			return nil, target.ErrClosed
		}
		resp, err := e.Resume(x.attemptContext(ctx), x.call.ID, offset)
		if !errors.Is(err, target.ErrClosed) {
			return resp, err
		}
	}
}
