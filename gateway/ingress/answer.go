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
	maxBufferedResponseBytes = 64 << 10
	// safePatienceGoals bounds the wait of an idempotent request at one target, in
	// goals of its route, while another target may still answer in time.
	idempotentTimeoutGoals = 3
	// leastSafePatience bounds that wait from below.
	minIdempotentTimeout = 200 * time.Millisecond
)

// exchangeOn sends the request on a connection and passes the answer on.
func (x *exchange) roundTrip(ctx context.Context, scheduler *dispatch.Scheduler, conn *upstream.Conn, target directory.Target, reservation string) attempt {
	began := time.Now()
	m := protocol.Request{
		Method: x.r.Method, URI: x.uri, Host: x.r.Host, Body: x.body,
		Header: x.cfg.Codec.RequestHeader(x.r.Header, x.attemptHeader(target, reservation)),
	}
	x.sends++
	x.targetID, x.targetKey, x.queueWait = target.ID, target.Key(), began.Sub(x.arrived)
	x.cfg.Metrics.QueueWait(x.request.Tier, x.queueWait.Seconds())
	event.RequestSent.Log(x.cfg.Log, slog.String("id", x.info.ID), slog.String("target", x.targetID), slog.Int("send", x.sends),
		slog.Int("tries", x.unsentAttempts), slog.Duration("waited", x.queueWait), slog.String("after", x.lastEventID))
	if err := conn.Send(m); err != nil {
		conn.Release(nil, false)
		return x.failedAttempt(ctx, reserve.BrokenResponse, refusal.TargetFailed, err)
	}
	resp, err := conn.ReadResponse(m.Method, x.info.ID, x.firstByteTimeout())
	if err != nil {
		conn.Release(nil, false)
		return x.readFailed(ctx, err)
	}
	scheduler.RecordLoad(target.Key(), resp.Info.Load)
	if resp.Info.NotRun {
		return x.notRun(conn, resp)
	}
	if x.shouldRetryStatus(resp.Status) {
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedResponseBytes))
		conn.Release(resp, err == nil)
		return x.failedAttempt(ctx, reserve.ErrorResponse, refusal.TargetFailed, fmt.Errorf("status %d", resp.Status))
	}
	if isEventStream(resp.Header) && resp.Status == http.StatusOK {
		return x.forwardStream(ctx, scheduler, conn, resp, began)
	}
	if x.headSent {
		// Only events can follow what the caller already has.
		conn.Release(resp, false)
		return x.failedAttempt(ctx, reserve.BrokenResponse, refusal.TargetFailed, fmt.Errorf("status %d for a resumed stream", resp.Status))
	}
	return x.forwardResponse(ctx, conn, resp, began)
}

// firstByteWait bounds the wait for an answer where the request may be sent to
// another target; 0 waits until the deadline.
func (x *exchange) firstByteTimeout() time.Duration {
	if !x.route.Idempotent() || x.sends >= x.route.MaxAttempts || x.route.Goal <= 0 {
		return 0
	}
	if x.route.Kind == routing.Stream {
		return x.eventTimeout(0)
	}
	return max(minIdempotentTimeout, idempotentTimeoutGoals*x.route.Goal)
}

// retryStatus reports whether a failure of the target is worth another try. The answer
// is passed on where no other try is allowed.
func (x *exchange) shouldRetryStatus(status int) bool {
	return status >= 500 && x.route.Idempotent() && !x.headSent && x.sends < x.route.MaxAttempts && x.takeRetryBudget()
}

// fail returns the try of a request that may have run.
func (x *exchange) failedAttempt(ctx context.Context, o reserve.Outcome, reason refusal.Reason, err error) attempt {
	if ctx.Err() != nil {
		o = reserve.Abandoned
		if !x.callerGone() {
			o = reserve.TimedOut
		}
	}
	return attempt{status: failed, outcome: o, sent: true, reason: reason, err: err}
}

func (x *exchange) readFailed(ctx context.Context, err error) attempt {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, upstream.ErrMismatched):
		return x.failedAttempt(ctx, reserve.BrokenResponse, refusal.AnswerMismatched, err)
	case errors.As(err, &timeout) && timeout.Timeout():
		return x.failedAttempt(ctx, reserve.TimedOut, refusal.TargetSilent, err)
	}
	return x.failedAttempt(ctx, reserve.BrokenResponse, refusal.AnswerCut, err)
}

// notRun handles an answer that says that the request did not run.
func (x *exchange) notRun(conn *upstream.Conn, resp *upstream.Response) attempt {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedResponseBytes))
	conn.Release(resp, err == nil && !resp.Info.Misdirected)
	att := attempt{status: unsent, sent: true, outcome: reserve.Abandoned, reason: refusal.TargetFull, err: fmt.Errorf("not run, status %d", resp.Status)}
	if resp.Info.Misdirected {
		att.outcome, att.reason = reserve.Unreachable, refusal.TargetMoved
		return att
	}
	att.targetFull = true
	return att
}

func isEventStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// passAnswer passes on an answer that is not a stream.
func (x *exchange) forwardResponse(ctx context.Context, conn *upstream.Conn, resp *upstream.Response, began time.Time) attempt {
	body, whole, err := readBuffered(resp)
	if err != nil {
		conn.Release(resp, false)
		return x.failedAttempt(ctx, reserve.BrokenResponse, refusal.AnswerCut, err)
	}
	x.writeHead(resp, int64(len(body)), whole)
	_, werr := x.w.Write(body)
	if !whole && werr == nil {
		_, werr = io.Copy(x.w, resp.Body)
	}
	conn.Release(resp, werr == nil)
	if werr != nil {
		x.abortResponse(werr)
	}
	o := reserve.OK
	if resp.Status >= http.StatusInternalServerError {
		o = reserve.ErrorResponse
		event.FailurePassedOn.Log(x.cfg.Log, x.logAttrs(slog.Int("status", resp.Status))...)
	} else {
		x.recordAnswered()
	}
	return attempt{status: answered, sent: true, outcome: o, sample: x.sample(began), firstByte: time.Since(began)}
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
func readBuffered(resp *upstream.Response) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponseBytes))
	return body, len(body) < maxBufferedResponseBytes, err
}

// head passes on the head of an answer. Length counts the body if it is known.
func (x *exchange) writeHead(resp *upstream.Response, length int64, known bool) {
	if x.headSent {
		return
	}
	x.headSent = true
	h := x.w.Header()
	stop := h.Get("Connection")
	maps.Copy(h, x.cfg.Codec.ResponseHeader(resp.Header))
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
	case x.r.Method == http.MethodHead && resp.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	case known:
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	case resp.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.cfg.Metrics.FirstToken(x.request.Tier, time.Since(x.arrived).Seconds())
	x.w.WriteHeader(resp.Status)
}

// done notes that the caller has its whole answer. The line is not left out where
// earlier ones tell of trouble.
func (x *exchange) recordAnswered(details ...slog.Attr) {
	x.cfg.Metrics.Answer(x.request.Tier, x.service)
	line := event.RequestAnswered
	line.Sampled = x.sends <= 1 && !x.failureLogged
	line.Log(x.cfg.Log, x.logAttrs(details...)...)
}
