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
	"sardinefront.dev/moves/judge"
	"sardinefront.dev/sched/reserve"
)

const (
	// A caller leaves a stream whose first event does not come within the longest of
	// these: a fixed time, a number of goals, and a number of longest pauses.
	streamPatience      = 2 * time.Second
	streamPatienceGoals = 4
	streamPatienceGaps  = 8
	// firstEventFixed and prefillPerToken estimate the time from the send to the
	// first event at a fast engine. A request that is sent later than that before
	// its goal is late.
	firstEventFixed = 30 * time.Millisecond
	prefillPerToken = 25 * time.Microsecond
)

// newWaiter returns the entry of a request for the queue of its service.
func newWaiter(r *request.Request, route *routing.Route) *reserve.Waiter {
	w := &reserve.Waiter{Request: r, FirstByteTimeout: r.Deadline.Sub(r.Arrived)}
	if route.Kind == routing.Stream {
		w.FirstByteTimeout = min(w.FirstByteTimeout, max(streamPatience, streamPatienceGoals*route.LatencyGoal, streamPatienceGaps*route.MaxEventGap))
	}
	if route.LatencyGoal > 0 {
		first := firstEventFixed + time.Duration(r.PromptTokens)*prefillPerToken
		w.FreshUntil = r.Arrived.Add(max(route.LatencyGoal/2, route.LatencyGoal-first))
	}
	return w
}

// verdict says what follows from one try at a target.
type verdict uint8

const (
	// answered: the caller has its answer.
	answered verdict = iota
	// unsent: the target was not sent the request, or says that it did not run it.
	unsent
	// failed: the request may have run and gave no whole answer.
	failed
)

// try is the result of one try at a target.
type try struct {
	verdict verdict
	// outcome is what the try says about the target.
	outcome reserve.Outcome
	sample  reserve.Sample
	// first is the time from the send to the first byte, 0 if there was none.
	first  time.Duration
	full   bool // the target had no room
	sent   bool
	reason refusal.Reason
	err    error
}

// run finds targets for the request until it is answered or given up.
func (x *exchange) run(ctx context.Context) {
	x.cfg.Budget.RecordRequest(x.service, x.arrived)
	service := x.cfg.Services.Get(x.service)
	if service == nil || x.table.Service(x.service) == nil {
		x.refuse(refusal.New(refusal.NoTarget, "service %s is not configured", x.service))
		return
	}
	w := x.waiter()
	for again := false; ; again = true {
		target, err := service.Acquire(ctx, w, again)
		if err != nil {
			x.giveUp(err)
			return
		}
		t := x.attemptAt(ctx, service, target)
		x.finishTry(service, target, t)
		if t.verdict == answered {
			return
		}
		if f := x.mayGoOn(ctx, w, target, t); f != nil {
			x.end(f, t)
			return
		}
	}
}

// giveUp ends a request that got no target.
func (x *exchange) giveUp(err error) {
	var f *refusal.Refusal
	switch {
	case errors.As(err, &f) && (f.Reason == refusal.DeadlinePassed || f.Reason == refusal.Overloaded):
		f = x.overloaded("%s", f.Detail)
	case errors.As(err, &f):
	case x.callerLeft():
		f = refusal.New(refusal.CallerGone, "after %s in the queue", time.Since(x.arrived).Round(time.Millisecond))
	default:
		f = x.overloaded("no target within %s", time.Since(x.arrived).Round(time.Millisecond))
	}
	x.end(f, try{})
}

// Callers wait for a Retry-After of up to a third of the time they have left; the
// random part keeps those that were refused together from returning together.
const (
	retryAfterMost  = 1.0 / 3
	retryAfterLeast = 0.6 * retryAfterMost
)

// overloaded returns a refusal that brings the caller back when a burst is likely
// to be over.
func (x *exchange) overloaded(format string, args ...any) *refusal.Refusal {
	f := refusal.New(refusal.Overloaded, format, args...)
	part := retryAfterLeast + (retryAfterMost-retryAfterLeast)*rand.Float64()
	f.RetryAfter = max(0, time.Duration(part*float64(time.Until(x.deadline))))
	return f
}

// end gives the caller its final answer: a refusal, or a cut stream.
func (x *exchange) end(f *refusal.Refusal, t try) {
	if x.started {
		x.broken(fmt.Errorf("%s: %w", f.Reason, errors.Join(t.err, f)))
	}
	if x.mayHaveRun && f.Reason.PromisesNotRun() {
		f = refusal.New(refusal.TargetFailed, "%s after %d sends", f.Reason, x.sends)
	}
	x.refuse(f)
}

// finishTry tells the scheduler and the log how a try ended.
func (x *exchange) finishTry(service *dispatch.Service, target directory.Target, t try) {
	if t.full {
		service.Full(target.Key())
	} else {
		service.End(target.Key(), t.outcome, t.sample)
	}
	x.observe(target, t)
	if t.verdict == answered {
		return
	}
	if t.sent && t.verdict == failed {
		x.mayHaveRun = true
	}
	if !t.sent {
		x.tries++
	}
	if t.full && !t.sent {
		return // the metrics count refused reservations; a busy host sees hundreds a second
	}
	x.troubled = true
	event.TargetDoubted.Log(x.cfg.Log, slog.String("id", x.call.ID), slog.String("target", target.ID),
		slog.String("service", x.service), slog.Bool("sent", t.sent), slog.String("reason", t.reason.String()), slog.Any("error", t.err))
}

// observe counts the try for a rollout of the service.
func (x *exchange) observe(target directory.Target, t try) {
	if !t.sent || t.outcome == reserve.Abandoned {
		return
	}
	result := judge.Answered
	switch {
	case t.outcome == reserve.OK:
	case t.reason == refusal.AnswerCut:
		result = judge.Truncated
	default:
		result = judge.Failed
	}
	x.cfg.Rollouts.Observe(x.service, target.Version, target.ID, x.route.Name, result, t.first, t.sample.Gap, time.Now())
}

// mayGoOn decides whether the request is tried at another target, and prepares
// that. A refusal ends it.
func (x *exchange) mayGoOn(ctx context.Context, w *reserve.Waiter, target directory.Target, t try) *refusal.Refusal {
	if x.callerLeft() {
		return refusal.New(refusal.CallerGone, "after %d sends", x.sends)
	}
	if ctx.Err() != nil {
		if x.mayHaveRun {
			return refusal.New(refusal.TargetSilent, "no whole answer within %s", time.Since(x.arrived).Round(time.Millisecond))
		}
		return x.overloaded("not run within %s", time.Since(x.arrived).Round(time.Millisecond))
	}
	if x.mayHaveRun && !x.route.Idempotent() {
		return refusal.New(t.reason, "target %s: %v", target.ID, t.err)
	}
	if !t.sent {
		return nil
	}
	if f := x.mayRepeat(target, t); f != nil {
		return f
	}
	w.Exclude(target.Key())
	w.ExtendWait(time.Now())
	w.AvoidRolloutVersion = w.AvoidRolloutVersion || x.cfg.Rollouts.Split(x.service, time.Now()).Share < 1 // a repeat goes to the proven version
	x.cfg.Metrics.Retry(retryReason(t.reason))
	event.RequestRetried.Log(x.cfg.Log, slog.String("id", x.call.ID), slog.String("target", target.ID), slog.String("reason", t.reason.String()))
	return nil
}

// mayRepeat returns a refusal unless the route and the retry budget allow another send.
func (x *exchange) mayRepeat(target directory.Target, t try) *refusal.Refusal {
	reason, left := refusal.TargetFull, x.sends < x.route.MaxAttempts
	if left && x.budgetAllows() {
		return nil
	}
	if left {
		reason = refusal.RetryBudget
	}
	if x.mayHaveRun {
		reason = t.reason
	}
	return refusal.New(reason, "target %s: %v; %d sends, retry budget used up: %t", target.ID, t.err, x.sends, left)
}

// budgetAllows draws on the retry budget, once for each further send.
func (x *exchange) budgetAllows() bool {
	if x.granted < x.sends {
		if !x.cfg.Budget.AllowRetry(x.service, time.Now()) {
			return false
		}
		x.granted = x.sends
	}
	return true
}

// attemptAt tries one target.
func (x *exchange) attemptAt(ctx context.Context, service *dispatch.Service, target directory.Target) try {
	conn, err := x.cfg.Upstream.Get(ctx, target.Key(), target.Address)
	if err != nil {
		return x.unreachable(ctx, err)
	}
	conn.Bind(ctx)
	engine := x.table.Service(x.service).Engine
	reservation := ""
	if engine != nil && engine.MaxReservationLifetime > 0 {
		var t *try
		if reservation, t = x.reserve(ctx, conn, target, engine); t != nil {
			return *t
		}
		service.Reserved(target.Key())
	}
	return x.exchangeOn(ctx, service, conn, target, reservation)
}

// unreachable returns the try of a request whose target took no connection.
func (x *exchange) unreachable(ctx context.Context, err error) try {
	t := try{verdict: unsent, outcome: reserve.Unreachable, reason: refusal.TargetUnreachable, err: err}
	if ctx.Err() != nil {
		t.outcome = reserve.Abandoned
	}
	return t
}

const (
	// reserveTimeout bounds the answer to a reservation, which targets give at once.
	reserveTimeout = 400 * time.Millisecond
	// holdLife is how long a reservation lives; the request follows at once.
	holdLife = 500 * time.Millisecond
	// maxSmallAnswer bounds the answer to a reservation.
	maxSmallAnswer = 4 << 10
)

// reserve takes a slot and memory at an engine. A try is returned if that failed;
// the connection is then finished.
func (x *exchange) reserve(ctx context.Context, conn *upstream.Conn, target directory.Target, engine *routing.Engine) (string, *try) {
	tokens := max(1, x.call.PromptTokens+x.call.MaxTokens)
	if engine.KVTokens > 0 {
		tokens = min(tokens, engine.KVTokens)
	}
	reservation, a, err := x.askReservation(conn, x.cfg.Codec.ReserveRequest(target.ID, tokens, min(holdLife, engine.MaxReservationLifetime)))
	if err == nil && reservation != "" {
		x.cfg.Metrics.Reservation(x.service, "granted")
		return reservation, nil
	}
	conn.Finish(a, err == nil)
	t := &try{verdict: unsent, outcome: reserve.TimedOut, reason: refusal.TargetUnreachable, err: err}
	result := "failed"
	switch {
	case err == nil:
		result = "refused"
		t.full, t.reason, t.err = true, refusal.TargetFull, errors.New("reservation refused")
	case ctx.Err() != nil:
		t.outcome = reserve.Abandoned
	}
	x.cfg.Metrics.Reservation(x.service, result)
	return "", t
}

// askReservation performs the exchange of a reservation; the id is empty if the target
// is full.
func (x *exchange) askReservation(conn *upstream.Conn, m protocol.Request) (string, *upstream.Answer, error) {
	if err := conn.Send(m); err != nil {
		return "", nil, err
	}
	a, err := conn.Receive(m.Method, "", reserveTimeout)
	if err != nil {
		return "", nil, err
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxSmallAnswer))
	if err != nil {
		return "", a, err
	}
	id, err := x.cfg.Codec.ParseReservation(a.Status, body)
	return id, a, err
}

// retryReason maps the reason of a failed try to the label of the retry counter.
func retryReason(r refusal.Reason) refusal.Retry {
	switch r {
	case refusal.TargetFull:
		return refusal.RetryTargetFull
	case refusal.TargetMoved:
		return refusal.RetryTargetLeft
	case refusal.TargetSilent:
		return refusal.RetryTargetSilent
	case refusal.AnswerCut:
		return refusal.RetryAnswerCut
	case refusal.AnswerMismatched:
		return refusal.RetryAnswerMismatched
	}
	return refusal.RetryTargetFailed
}
