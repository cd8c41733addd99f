package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"mime"
	"net/http"
	"strconv"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/dispatch"
	"sardinefront.dev/gateway/protocol"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/gateway/upstream"
	"sardinefront.dev/sched/reserve"
)

const (
	// maxHeldAnswer is the largest answer of known length that is read whole before
	// it is passed on, so that a cut one can be asked for again elsewhere.
	maxHeldAnswer = 64 << 10
	// safePatienceGoals bounds the wait of an idempotent request at one target, in
	// goals of its route, while another target may still answer in time.
	safePatienceGoals = 3
	// leastSafePatience bounds that wait from below.
	leastSafePatience = 200 * time.Millisecond
)

// exchangeOn sends the request on a connection and passes the answer on.
func (x *exchange) exchangeOn(ctx context.Context, service *dispatch.Service, conn *upstream.Conn, target directory.Target, reservation string) try {
	began := time.Now()
	m := protocol.Request{
		Method: x.r.Method, URI: x.uri, Host: x.r.Host, Body: x.body,
		Header: x.cfg.Codec.RequestHeader(x.r.Header, x.attempt(target, reservation)),
	}
	x.sends++
	x.target, x.targetKey, x.waited = target.ID, target.Key(), began.Sub(x.arrived)
	x.cfg.Metrics.QueueWait(x.request.Tier, x.waited.Seconds())
	event.RequestSent.Log(x.cfg.Log, slog.String("id", x.call.ID), slog.String("target", x.target), slog.Int("send", x.sends),
		slog.Int("tries", x.tries), slog.Duration("waited", x.waited), slog.String("after", x.lastEvent))
	if err := conn.Send(m); err != nil {
		conn.Finish(nil, false)
		return x.fail(ctx, reserve.BrokenResponse, refusal.TargetFailed, err)
	}
	a, err := conn.Receive(m.Method, x.call.ID, x.firstByteWait())
	if err != nil {
		conn.Finish(nil, false)
		return x.receiveFailed(ctx, err)
	}
	service.Load(target.Key(), a.Info.Load)
	if a.Info.NotRun {
		return x.notRun(conn, a)
	}
	if x.retryStatus(a.Status) {
		_, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxHeldAnswer))
		conn.Finish(a, err == nil)
		return x.fail(ctx, reserve.ErrorResponse, refusal.TargetFailed, fmt.Errorf("status %d", a.Status))
	}
	if isEventStream(a.Header) && a.Status == http.StatusOK {
		return x.passStream(ctx, service, conn, a, began)
	}
	if x.started {
		// Only events can follow what the caller already has.
		conn.Finish(a, false)
		return x.fail(ctx, reserve.BrokenResponse, refusal.TargetFailed, fmt.Errorf("status %d for a resumed stream", a.Status))
	}
	return x.passAnswer(ctx, conn, a, began)
}

// firstByteWait bounds the wait for an answer where the request may be sent to
// another target; 0 waits until the deadline.
func (x *exchange) firstByteWait() time.Duration {
	if !x.route.Idempotent() || x.sends >= x.route.MaxAttempts || x.route.LatencyGoal <= 0 {
		return 0
	}
	if x.route.Kind == routing.Stream {
		return x.eventWait(0)
	}
	return max(leastSafePatience, safePatienceGoals*x.route.LatencyGoal)
}

// retryStatus reports whether a failure of the target is worth another try. The answer
// is passed on where no other try is allowed.
func (x *exchange) retryStatus(status int) bool {
	return status >= 500 && x.route.Idempotent() && !x.started && x.sends < x.route.MaxAttempts && x.budgetAllows()
}

// fail returns the try of a request that may have run.
func (x *exchange) fail(ctx context.Context, o reserve.Outcome, reason refusal.Reason, err error) try {
	if ctx.Err() != nil {
		o = reserve.Abandoned
		if !x.callerLeft() {
			o = reserve.TimedOut
		}
	}
	return try{verdict: failed, outcome: o, sent: true, reason: reason, err: err}
}

func (x *exchange) receiveFailed(ctx context.Context, err error) try {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, upstream.ErrMismatched):
		return x.fail(ctx, reserve.BrokenResponse, refusal.AnswerMismatched, err)
	case errors.As(err, &timeout) && timeout.Timeout():
		return x.fail(ctx, reserve.TimedOut, refusal.TargetSilent, err)
	}
	return x.fail(ctx, reserve.BrokenResponse, refusal.AnswerCut, err)
}

// notRun handles an answer that says that the request did not run.
func (x *exchange) notRun(conn *upstream.Conn, a *upstream.Answer) try {
	_, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxHeldAnswer))
	conn.Finish(a, err == nil && !a.Info.Misdirected)
	t := try{verdict: unsent, sent: true, outcome: reserve.Abandoned, reason: refusal.TargetFull, err: fmt.Errorf("not run, status %d", a.Status)}
	if a.Info.Misdirected {
		t.outcome, t.reason = reserve.Unreachable, refusal.TargetMoved
		return t
	}
	t.full = true
	return t
}

func isEventStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// passAnswer passes on an answer that is not a stream.
func (x *exchange) passAnswer(ctx context.Context, conn *upstream.Conn, a *upstream.Answer, began time.Time) try {
	body, whole, err := held(a)
	if err != nil {
		conn.Finish(a, false)
		return x.fail(ctx, reserve.BrokenResponse, refusal.AnswerCut, err)
	}
	x.head(a, int64(len(body)), whole)
	_, werr := x.w.Write(body)
	if !whole && werr == nil {
		_, werr = io.Copy(x.w, a.Body)
	}
	conn.Finish(a, werr == nil)
	if werr != nil {
		x.broken(werr)
	}
	o := reserve.OK
	if a.Status >= http.StatusInternalServerError {
		o = reserve.ErrorResponse
		event.FailurePassedOn.Log(x.cfg.Log, x.story(slog.Int("status", a.Status))...)
	} else {
		x.done()
	}
	return try{verdict: answered, sent: true, outcome: o, sample: x.sample(began), first: time.Since(began)}
}

// sample is empty for engines, whose answers of other kinds say nothing of speed.
func (x *exchange) sample(began time.Time) reserve.Sample {
	if x.route.Kind == routing.Stream {
		return reserve.Sample{}
	}
	return reserve.Sample{Latency: time.Since(began)}
}

// held reads an answer that is small enough to be checked before it is passed on.
// Whole says that nothing of the body is left.
func held(a *upstream.Answer) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(a.Body, maxHeldAnswer))
	return body, len(body) < maxHeldAnswer, err
}

// head passes on the head of an answer. Length counts the body if it is known.
func (x *exchange) head(a *upstream.Answer, length int64, known bool) {
	if x.started {
		return
	}
	x.started = true
	h := x.w.Header()
	stop := h.Get("Connection")
	maps.Copy(h, x.cfg.Codec.ResponseHeader(a.Header))
	if stop != "" {
		h.Set("Connection", stop)
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // the server of net/http would guess one
	}
	if h["Date"] == nil {
		h["Date"] = nil
	}
	switch {
	case x.r.Method == http.MethodHead && a.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	case known:
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	case a.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.cfg.Metrics.FirstToken(x.request.Tier, time.Since(x.arrived).Seconds())
	x.w.WriteHeader(a.Status)
}

// done notes that the caller has its whole answer. The line is not left out where
// earlier ones tell of trouble.
func (x *exchange) done(details ...slog.Attr) {
	x.cfg.Metrics.Answer(x.request.Tier, x.service)
	line := event.RequestAnswered
	line.Sampled = x.sends <= 1 && !x.troubled
	line.Log(x.cfg.Log, x.story(details...)...)
}
