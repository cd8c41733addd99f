package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/dispatch"
	"sardinefront.dev/gateway/protocol"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/gateway/upstream"
	"sardinefront.dev/moves/analysis"
	"sardinefront.dev/sched/reserve"
)

const (
	// Callers abandon a stream whose next event does not arrive within the longest of these:
	// a fixed time, a multiple of the route's goal for the first event, and a
	// multiple of its longest tolerated gap between events.
	minCallerWait   = 2 * time.Second
	callerWaitGoals = 4
	callerWaitGaps  = 8
	// firstEventLatency and prefillPerToken estimate the time from the send to the first
	// event at a fast engine. A request that is still queued when less than that is left
	// until its goal misses the goal.
	firstEventLatency = 30 * time.Millisecond
	prefillPerToken   = 25 * time.Microsecond
)

// newWaiter returns the queue entry of a request.
func newWaiter(r *request.Request, route *routing.Route) *reserve.Waiter {
	w := &reserve.Waiter{
		Request: r, FirstByteTimeout: r.Deadline.Sub(r.Arrived), LatencyGoal: route.LatencyGoal,
		PrefillTime: time.Duration(r.PromptTokens) * prefillPerToken,
	}
	if route.Kind == routing.Stream {
		w.FirstByteTimeout = min(w.FirstByteTimeout, callerEventWait(route))
	}
	if route.LatencyGoal > 0 {
		first := firstEventLatency + w.PrefillTime
		w.FreshUntil = r.Arrived.Add(max(route.LatencyGoal/2, route.LatencyGoal-first))
	}
	return w
}

// callerEventWait returns how long the caller of a stream waits for its next event.
func callerEventWait(route *routing.Route) time.Duration {
	return max(minCallerWait, callerWaitGoals*route.LatencyGoal, callerWaitGaps*route.MaxEventGap)
}

// callerUntil returns when a target must begin to respond to a request whose attempt has failed:
// when the caller of a stream gives up, or early enough for the whole response of other routes. It is
// zero for a request that has not run, whose caller can come back if it is refused in time.
func (x *exchange) callerUntil(w *reserve.Waiter) time.Time {
	if !x.mayHaveRun {
		return time.Time{}
	}
	if x.route.Kind != routing.Stream {
		return x.deadline.Add(-x.route.LatencyGoal)
	}
	until := x.arrived.Add(w.FirstByteTimeout)
	if !x.lastEventAt.IsZero() {
		until = x.lastEventAt.Add(callerEventWait(x.route))
	}
	if x.deadline.Before(until) {
		return x.deadline
	}
	return until
}

// attemptStatus determines whether an attempt can be followed by another one.
type attemptStatus uint8

const (
	// answered means that the caller has received the response.
	answered attemptStatus = iota
	// unsent means that the target did not receive the request, or states that it did not
	// run it.
	unsent
	// failed means that the request may have run, and that no complete response was received.
	failed
)

// attempt is the result of one attempt at a target.
type attempt struct {
	status attemptStatus
	// outcome is reported to the scheduler for the health of the target.
	outcome reserve.Outcome
	sample  reserve.Sample
	// firstByte is the time from the send to the first byte, 0 if there was none.
	firstByte  time.Duration
	targetFull bool // the target had no free capacity
	// targetClosed is true if the target was closed to this host between grant and send.
	targetClosed bool
	sent         bool // the request was sent to the target
	reason       refusal.Reason
	err          error
	// replacement is a target that is ready to take over from a silent one; nil if there is none.
	replacement *placement
}

// serve dispatches the request to one target after the other until the caller has the response
// or no retry is allowed.
func (x *exchange) serve(ctx context.Context) {
	x.cfg.RetryBudget.RecordRequest(x.service, x.arrived)
	service := x.table.Service(x.service)
	if service == nil {
		x.refuse(refusal.New(refusal.NoTarget, "service %s is not configured", x.service))
		return
	}
	scheduler := x.cfg.Schedulers.Add(x.table, service)
	d := &dispatcher{scheduler: scheduler, waiter: x.waiter()}
	var next *placement
	for resubmit := false; ; resubmit = true {
		p := next
		x.expectedFirstEvent = 0
		if p == nil {
			target, err := scheduler.Acquire(ctx, d.waiter, resubmit)
			if err != nil {
				x.endUndispatched(err)
				return
			}
			p = &placement{target: target}
			x.expectedFirstEvent = d.waiter.ExpectedFirstEvent()
		}
		if ref := x.checkParts(); ref != nil {
			x.release(scheduler, p)
			x.refuseOrAbort(ref, attempt{})
			return
		}
		att := x.runAttempt(ctx, d, p)
		if att.status == answered {
			return
		}
		if ref := x.prepareRetry(ctx, d.waiter, p.target, att); ref != nil {
			if att.replacement != nil {
				x.release(scheduler, att.replacement)
			}
			x.refuseOrAbort(ref, att)
			return
		}
		next = att.replacement
	}
}

// dispatcher is the scheduler of a request's service and the request's entry in its queue.
type dispatcher struct {
	scheduler *dispatch.Scheduler
	waiter    *reserve.Waiter
}

// runAttempt makes one attempt and ends its grant, also if the attempt panics.
func (x *exchange) runAttempt(ctx context.Context, d *dispatcher, p *placement) attempt {
	ended := false
	defer func() {
		if !ended {
			d.scheduler.EndGrant(p.target.Key(), reserve.Abandoned, reserve.Sample{})
		}
	}()
	att := x.attemptTarget(ctx, d, p)
	ended = true
	x.finishAttempt(d.scheduler, p.target, att)
	return att
}

// endUndispatched ends a request for which Acquire failed.
func (x *exchange) endUndispatched(err error) {
	var ref *refusal.Refusal
	switch {
	case errors.As(err, &ref) && (ref.Reason == refusal.DeadlineExceeded || ref.Reason == refusal.Overloaded):
		ref = x.overloaded("%s", ref.Detail)
	case errors.As(err, &ref):
	case x.callerDisconnected():
		ref = x.callerGone("after %s in the queue", time.Since(x.arrived).Round(time.Millisecond))
	case x.endedByStop():
		ref = shutdownRefusal("after %s in the queue", time.Since(x.arrived).Round(time.Millisecond))
	default:
		ref = x.overloaded("no target within %s", time.Since(x.arrived).Round(time.Millisecond))
	}
	x.refuseOrAbort(ref, attempt{})
}

// Callers honour a Retry-After of up to a third of the time left until their deadline. The
// value is drawn from the range between these shares of that time, so that requests which
// were refused together are not retried together.
const (
	maxRetryAfterShare = 1.0 / 3
	minRetryAfterShare = 0.6 * maxRetryAfterShare
)

// overloaded returns a refusal with a jittered Retry-After that leaves time for a burst to
// pass.
func (x *exchange) overloaded(format string, args ...any) *refusal.Refusal {
	ref := refusal.New(refusal.Overloaded, format, args...)
	part := minRetryAfterShare + (maxRetryAfterShare-minRetryAfterShare)*rand.Float64()
	ref.RetryAfter = max(0, time.Duration(part*float64(time.Until(x.deadline))))
	return ref
}

// refuseOrAbort sends the refusal, or the error response of a target if one was kept, or aborts
// the response if it has begun.
func (x *exchange) refuseOrAbort(ref *refusal.Refusal, att attempt) {
	if x.headSent {
		x.abortResponse(ref.Reason, fmt.Errorf("%s: %w", ref.Reason, errors.Join(att.err, ref)))
	}
	if x.forwardFailure(ref) {
		return
	}
	if x.mayHaveRun && ref.Reason.StatusImpliesNotRun() {
		ref = refusal.New(refusal.TargetFailed, "%s after %d sends", ref.Reason, x.sends)
	}
	x.refuse(ref)
}

// finishAttempt reports the result of an attempt to the scheduler, the rollout and the log.
func (x *exchange) finishAttempt(scheduler *dispatch.Scheduler, target directory.Target, att attempt) {
	x.progress.end(time.Now())
	if att.sent && att.status != unsent && x.progress.firstAt.IsZero() {
		att.sample.Route, att.sample.Unanswered = x.route.Name, time.Since(x.sentAt)
	}
	endGrant(scheduler, target, att)
	x.recordForRollout(target, att)
	x.recordCrash(scheduler, target, att)
	if att.status == answered {
		return
	}
	if att.sent && att.status == failed {
		x.mayHaveRun = true
	}
	if att.sent && att.reason == refusal.TargetAddressReused {
		x.misdirectedSends++
	}
	if !att.sent {
		x.unsentAttempts++
	}
	if (att.targetFull || att.targetClosed) && !att.sent {
		// A busy host sees hundreds of refused reservations a second. Metrics count them, and
		// the closure of a target has an event of its own.
		return
	}
	x.failureLogged = true
	event.TargetFailure.Log(x.cfg.Log, append(x.endAttrs(), slog.String("id", x.info.ID), slog.String("target", target.ID),
		slog.String("service", x.service), slog.Bool("sent", att.sent), slog.Bool("began", x.began),
		slog.Any("parts", x.sharedParts()), slog.String("reason", att.reason.String()), slog.Any("error", att.err))...)
}

// endGrant ends the grant of an attempt with its outcome.
func endGrant(scheduler *dispatch.Scheduler, target directory.Target, att attempt) {
	if att.targetFull {
		scheduler.RecordFull(target.Key())
		return
	}
	scheduler.EndGrant(target.Key(), att.outcome, att.sample)
}

// recordForRollout records the attempt as a sample for a rollout of the service.
func (x *exchange) recordForRollout(target directory.Target, att attempt) {
	if !att.sent || att.outcome == reserve.Abandoned {
		return
	}
	result := analysis.Answered
	switch {
	case att.outcome == reserve.OK:
	case att.reason == refusal.ResponseTruncated:
		result = analysis.Truncated
	default:
		result = analysis.Failed
	}
	x.cfg.Rollouts.Observe(x.service, target.Version, target.ID, x.route.Name, result, att.firstByte, att.sample.Gap, time.Now())
}

// prepareRetry decides whether the request may be tried at another target and updates the
// waiter for that. A refusal means that the request ends.
func (x *exchange) prepareRetry(ctx context.Context, w *reserve.Waiter, target directory.Target, att attempt) *refusal.Refusal {
	if ctx.Err() != nil {
		return x.endedRefusal(ctx)
	}
	if x.mayHaveRun && (!x.route.Idempotent() || x.notResumable) {
		return refusal.New(att.reason, "target %s: %v", target.ID, att.err)
	}
	if !att.sent {
		return nil
	}
	if ref := x.checkResend(target, att); ref != nil {
		return ref
	}
	w.Exclude(target.Key())
	w.ExtendWait(time.Now(), x.callerUntil(w))
	x.avoidUnprovenVersion(w)
	x.cfg.Metrics.CountRetry(retryReason(att.reason))
	event.RequestRetried.Log(x.cfg.Log, slog.String("id", x.info.ID), slog.String("target", target.ID), slog.String("reason", att.reason.String()))
	return nil
}

// endedRefusal returns the refusal of a request whose context has ended after an attempt.
func (x *exchange) endedRefusal(ctx context.Context) *refusal.Refusal {
	after := time.Since(x.arrived).Round(time.Millisecond)
	reason := endReason(ctx)
	switch {
	case reason == refusal.CallerDisconnected:
		return x.callerGone("after %d sends", x.sends)
	case x.mayHaveRun:
		return refusal.New(reason, "no complete response within %s", after)
	case reason == refusal.StoppedAfterSend:
		return shutdownRefusal("not run within %s", after)
	}
	return x.overloaded("not run within %s", after)
}

// avoidUnprovenVersion makes retries use the old version during a rollout.
func (x *exchange) avoidUnprovenVersion(w *reserve.Waiter) {
	w.AvoidRolloutVersion = w.AvoidRolloutVersion || x.cfg.Rollouts.Split(x.service, time.Now()).Share < 1
}

// checkResend returns a refusal unless the route and the retry budget allow another send.
func (x *exchange) checkResend(target directory.Target, att attempt) *refusal.Refusal {
	reason, attemptsLeft := refusal.TargetFull, x.attemptsLeft()
	if attemptsLeft && x.chargeRetryBudget() {
		return nil
	}
	if attemptsLeft {
		reason = refusal.RetryBudgetExhausted
	}
	if x.mayHaveRun {
		reason = att.reason
	}
	return refusal.New(reason, "target %s: %v; %d sends of %d allowed, retry budget used up: %t", target.ID, att.err, x.sends, x.allowedSends(), attemptsLeft)
}

// maxMisdirectedSends bounds the sends to reused addresses that a request may make beside those that
// its route allows. A list of targets that is further out of date has to be read again first.
const maxMisdirectedSends = 3

// allowedSends returns how often the request may be sent. Sends that reached another incarnation than
// the target's don't count, up to maxMisdirectedSends.
func (x *exchange) allowedSends() int {
	return x.route.MaxAttempts + min(maxMisdirectedSends, x.misdirectedSends)
}

// attemptsLeft reports whether the route allows another send.
func (x *exchange) attemptsLeft() bool { return x.sends < x.allowedSends() }

// chargeRetryBudget reports whether the retry budget allows another send. It charges the
// budget once for each further send.
func (x *exchange) chargeRetryBudget() bool {
	if x.grantedSends < x.sends {
		if !x.cfg.RetryBudget.AllowRetry(x.service, time.Now()) {
			return false
		}
		x.grantedSends = x.sends
	}
	return true
}

// attemptTarget sends the request to a target, after connecting to it and reserving capacity
// if that was not done yet.
func (x *exchange) attemptTarget(ctx context.Context, d *dispatcher, p *placement) attempt {
	if p.conn == nil {
		var att *attempt
		if p, att = x.place(ctx, d.scheduler, p.target); att != nil {
			return *att
		}
	}
	defer p.conn.CloseOnPanic()
	if p.response != nil {
		watch := x.watchSilence(ctx, d, p)
		defer watch.stop()
		x.recordSend(p.target, p.sentAt)
		return x.forward(ctx, d, watch, p, p.response, p.sentAt)
	}
	if !d.scheduler.StartSend(p.target) {
		return *closedAttempt(p.conn) // a reservation expires shortly
	}
	return x.roundTrip(ctx, d, p)
}

// closedAttempt closes the unused connection to a target that was closed to this host after
// the grant, and returns the attempt.
func closedAttempt(conn *upstream.Conn) *attempt {
	conn.Release(nil, false)
	return &attempt{status: unsent, outcome: reserve.Abandoned, targetClosed: true, reason: refusal.TargetFull, err: errTargetClosed}
}

var errTargetClosed = errors.New("the target is leaving, cold, evacuated or in a back-off")

// unreachable returns the attempt for a failed connect.
func (x *exchange) unreachable(ctx context.Context, err error) attempt {
	att := attempt{status: unsent, outcome: reserve.Unreachable, reason: refusal.TargetUnreachable, err: err}
	if ctx.Err() != nil {
		att.outcome = reserve.Abandoned
	}
	return att
}

const (
	// reserveTimeout bounds a reservation request, to which targets respond immediately.
	reserveTimeout = 400 * time.Millisecond
	// reservationTTL is the lifetime of a reservation; the request follows immediately.
	reservationTTL = 500 * time.Millisecond
	// maxReservationResponseBytes bounds the response to a reservation request.
	maxReservationResponseBytes = 4 << 10
)

// reserve reserves a slot and KV cache memory at an engine and returns the reservation id.
// If that fails, it releases the connection and returns the attempt.
func (x *exchange) reserve(ctx context.Context, conn *upstream.Conn, target directory.Target, engine *routing.Engine) (string, *attempt) {
	tokens := max(1, x.info.PromptTokens+x.info.MaxTokens)
	if engine.KVTokens > 0 {
		tokens = min(tokens, engine.KVTokens)
	}
	reservation, resp, err := x.requestReservation(conn, x.cfg.Codec.ReserveRequest(target.ID, tokens, min(reservationTTL, engine.MaxReservationLifetime)))
	if err == nil && reservation != "" {
		x.cfg.Metrics.CountReservation(x.service, "granted")
		return reservation, nil
	}
	conn.Release(resp, err == nil)
	att := &attempt{status: unsent, outcome: reserve.TimedOut, reason: refusal.TargetUnreachable, err: err}
	result := "failed"
	switch {
	case err == nil:
		result = "refused"
		att.targetFull, att.reason, att.err = true, refusal.TargetFull, errors.New("the target is full and refused the reservation")
	case ctx.Err() != nil:
		att.outcome = reserve.Abandoned
	}
	x.cfg.Metrics.CountReservation(x.service, result)
	return "", att
}

// requestReservation sends a reservation request and returns the reservation id, empty if
// the target is full. The response is nil if none was read.
func (x *exchange) requestReservation(conn *upstream.Conn, m protocol.Request) (string, *upstream.Response, error) {
	body, resp, err := exchangeShort(conn, m, reserveTimeout)
	if err != nil {
		return "", resp, err
	}
	id, err := x.cfg.Codec.ParseReservation(resp.Status, body)
	return id, resp, err
}

// exchangeShort sends a request to which the target responds without an id and with at most
// maxReservationResponseBytes, and reads the response. The headers must arrive within timeout if that
// is positive. The response is nil if none was read.
func exchangeShort(conn *upstream.Conn, m protocol.Request, timeout time.Duration) ([]byte, *upstream.Response, error) {
	if err := conn.Send(m); err != nil {
		return nil, nil, err
	}
	resp, err := conn.Receive(m.Method, "", timeout)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReservationResponseBytes))
	return body, resp, err
}

// retryReason maps the reason of a failed attempt to the label of the retry counter.
func retryReason(r refusal.Reason) refusal.RetryReason {
	switch r {
	case refusal.TargetFull:
		return refusal.RetryTargetFull
	case refusal.TargetAddressReused:
		return refusal.RetryTargetRemoved
	case refusal.TargetTimedOut:
		return refusal.RetryTargetTimedOut
	case refusal.ResponseTruncated:
		return refusal.RetryResponseTruncated
	case refusal.ResponseMismatched:
		return refusal.RetryResponseMismatched
	}
	return refusal.RetryTargetFailed
}
