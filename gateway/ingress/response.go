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
	"sardinefront.dev/gateway/protocol"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/gateway/upstream"
	"sardinefront.dev/sched/reserve"
)

const (
	// maxBufferedResponseBytes is the size below which a response is read completely before
	// it is forwarded, so that a truncated one can still be retried at another target.
	maxBufferedResponseBytes = 64 << 10
	// idempotentTimeoutGoals is the time without a response after which another target is
	// sought for an idempotent request, as a multiple of its route's goal.
	idempotentTimeoutGoals = 3
	// minIdempotentTimeout is the lower bound of that timeout.
	minIdempotentTimeout = 200 * time.Millisecond
	// defaultIdempotentTimeout is that timeout for routes without a goal.
	defaultIdempotentTimeout = 1500 * time.Millisecond
)

// roundTrip sends the request to a target and forwards the response to the caller.
func (x *exchange) roundTrip(ctx context.Context, d *dispatcher, p *placement) attempt {
	conn, sentAt := p.conn, time.Now()
	m := x.targetRequest(p)
	x.recordSend(p.target, sentAt)
	x.logSend(p.target, x.sends, sentAt)
	if err := conn.Send(m); err != nil {
		conn.Release(nil, false)
		return x.failedAttempt(ctx, reserve.BrokenResponse, refusal.TargetFailed, err)
	}
	watch := x.watchSilence(ctx, d, p)
	defer watch.stop()
	watch.reset(x.firstByteTimeout())
	resp, err := conn.Receive(m.Method, x.info.ID, 0)
	if err != nil {
		found := watch.end()
		conn.Release(nil, false)
		return watch.settle(found, x.readFailed(ctx, err))
	}
	watch.stop()
	return x.forward(ctx, d, watch, p, resp, sentAt)
}

// targetRequest returns the request for a placement.
func (x *exchange) targetRequest(p *placement) protocol.Request {
	return protocol.Request{
		Method: x.r.Method, URI: x.uri, Host: x.r.Host, Body: x.body,
		Header: x.cfg.Codec.RequestHeader(x.r.Header, x.attemptHeader(p.target, p.reservation)),
	}
}

// recordSend records that the request is sent to a target.
func (x *exchange) recordSend(target directory.Target, sentAt time.Time) {
	x.sends++
	x.sentAt, x.began, x.progress = sentAt, false, progress{lastAt: sentAt}
	x.targetID, x.targetKey, x.targetVersion, x.queueWait = target.ID, target.Key(), target.Version, sentAt.Sub(x.arrived)
	x.cfg.Metrics.RecordQueueWait(x.request.Tier, x.queueWait.Seconds())
}

// logSend logs that the request is sent to a target for the given time, counted from 1.
func (x *exchange) logSend(target directory.Target, send int, sentAt time.Time) {
	event.RequestSent.Log(x.cfg.Log, slog.String("id", x.info.ID), slog.String("target", target.ID), slog.Int("send", send),
		slog.Int("tries", x.unsentAttempts), slog.Duration("waited", sentAt.Sub(x.arrived)), slog.String("after", x.lastEventID))
}

// forward forwards a response to the caller, or returns why the attempt has failed.
func (x *exchange) forward(ctx context.Context, d *dispatcher, watch *silenceWatch, p *placement, resp *upstream.Response, sentAt time.Time) attempt {
	conn := p.conn
	x.progress.lastAt = time.Now()
	if resp.Info.NotRun {
		return x.handleNotRun(conn, resp)
	}
	stream := isEventStream(resp.Header) && resp.Status == http.StatusOK
	if !stream {
		x.recordFirstByte(d.scheduler)
	}
	// The target did not state that it had not run the request, so the caller must not be
	// told so by the status.
	if refusal.StatusImpliesNotRun(resp.Status) || x.shouldRetryStatus(resp.Status) {
		return x.handleErrorStatus(ctx, p, resp)
	}
	if stream {
		return x.forwardStream(ctx, d.scheduler, watch, conn, resp, sentAt)
	}
	if x.headSent {
		// The caller has received events, so only an event stream can continue the response.
		conn.Release(resp, false)
		return x.failedAttempt(ctx, reserve.BrokenResponse, refusal.TargetFailed, fmt.Errorf("status %d instead of an event stream for a resumed stream", resp.Status))
	}
	return x.forwardResponse(ctx, watch, conn, resp, sentAt)
}

// firstByteTimeout returns the time to wait for the response headers, and for each part of the body
// that is buffered, before another target is sought; 0 means until the deadline.
func (x *exchange) firstByteTimeout() time.Duration {
	if !x.route.Idempotent() || !x.attemptsLeft() {
		return 0
	}
	if x.route.Kind == routing.Stream {
		return x.eventTimeout(0)
	}
	return x.toleratedSilence()
}

// toleratedSilence returns how long a target may be silent before its response or between parts of
// it, without the time to the first event of a stream.
func (x *exchange) toleratedSilence() time.Duration {
	switch {
	case x.route.Kind == routing.Stream:
		return max(minEventTimeout, eventTimeoutGaps*x.route.MaxEventGap)
	case x.route.LatencyGoal <= 0:
		return defaultIdempotentTimeout
	}
	return max(minIdempotentTimeout, idempotentTimeoutGoals*x.route.LatencyGoal)
}

// shouldRetryStatus reports whether the request is retried after a 5xx response. It charges the
// retry budget. If no retry is allowed, the response is forwarded.
func (x *exchange) shouldRetryStatus(status int) bool {
	return status >= 500 && x.route.Idempotent() && !x.headSent && x.attemptsLeft() && x.chargeRetryBudget()
}

// failedAttempt returns the attempt of a request that may have run. If ctx has ended, the
// outcome and the reason are those of the end.
func (x *exchange) failedAttempt(ctx context.Context, o reserve.Outcome, reason refusal.Reason, err error) attempt {
	if ctx.Err() != nil {
		reason = endReason(ctx)
		o = x.endOutcome(reason)
	}
	return attempt{status: failed, outcome: o, sent: true, reason: reason, err: err}
}

// readFailed returns the attempt for a failed read of the response headers.
func (x *exchange) readFailed(ctx context.Context, err error) attempt {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, upstream.ErrMismatched):
		return x.failedAttempt(ctx, reserve.BrokenResponse, refusal.ResponseMismatched, err)
	case errors.As(err, &timeout) && timeout.Timeout():
		return x.failedAttempt(ctx, reserve.TimedOut, refusal.TargetTimedOut, err)
	}
	return x.failedAttempt(ctx, reserve.BrokenResponse, refusal.ResponseTruncated, err)
}

// handleNotRun handles a response which states that the request did not run.
func (x *exchange) handleNotRun(conn *upstream.Conn, resp *upstream.Response) attempt {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedResponseBytes))
	conn.Release(resp, err == nil && !resp.Info.Misdirected)
	att := attempt{status: unsent, sent: true, outcome: reserve.Abandoned, reason: refusal.TargetFull, err: fmt.Errorf("the target did not run the request, status %d", resp.Status)}
	if resp.Info.Misdirected {
		att.outcome, att.reason = reserve.Unreachable, refusal.TargetAddressReused
		return att
	}
	att.targetFull = true
	return att
}

func isEventStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// forwardResponse forwards a response that is not an event stream.
func (x *exchange) forwardResponse(ctx context.Context, watch *silenceWatch, conn *upstream.Conn, resp *upstream.Response, sentAt time.Time) attempt {
	x.progress.unbounded = resp.Length < 0
	source := &progressReader{resp.Body, &x.progress}
	// Another target can take over until the first byte is forwarded.
	body, complete, err := readBuffered(watch.reader(source, x.firstByteTimeout()))
	if err != nil {
		found := watch.end()
		conn.Release(resp, false)
		return watch.settle(found, x.readFailed(ctx, err))
	}
	watch.stop()
	x.recordBegun(resp.Status)
	x.writeHead(resp, int64(len(body)), complete)
	x.notResumable = true
	_, werr := x.w.Write(body)
	if !complete && werr == nil {
		_, werr = io.Copy(x.w, source)
	}
	conn.Release(resp, werr == nil)
	if werr != nil {
		return x.failedAttempt(ctx, reserve.BrokenResponse, refusal.ResponseTruncated, werr)
	}
	o := reserve.OK
	if resp.Status >= http.StatusInternalServerError {
		o = reserve.ErrorResponse
		x.logForwardedError(resp.Status)
	} else {
		x.recordAnswered()
	}
	return attempt{status: answered, sent: true, outcome: o, sample: x.sample(sentAt), firstByte: time.Since(sentAt)}
}

// sample returns the latency of a plain service. It is empty on stream routes, where other
// responses than streams do not indicate the speed of the engine.
func (x *exchange) sample(sentAt time.Time) reserve.Sample {
	if x.route.Kind == routing.Stream {
		return reserve.Sample{}
	}
	return reserve.Sample{Latency: time.Since(sentAt)}
}

// readBuffered reads up to maxBufferedResponseBytes of the body. complete is true if the
// body is shorter.
func readBuffered(r io.Reader) (body []byte, complete bool, err error) {
	body, err = io.ReadAll(io.LimitReader(r, maxBufferedResponseBytes))
	return body, len(body) < maxBufferedResponseBytes, err
}

// writeHead sends the status and headers of a response, unless they have been sent. length
// is the body's length in bytes if lengthKnown is set.
func (x *exchange) writeHead(resp *upstream.Response, length int64, lengthKnown bool) {
	if x.headSent {
		return
	}
	x.headSent = true
	h := x.w.Header()
	connection := h.Get("Connection") // "close" while the host is stopping
	maps.Copy(h, x.cfg.Codec.ResponseHeader(resp.Header))
	if connection != "" {
		h.Set("Connection", connection)
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // keeps net/http from sniffing one
	}
	if h["Date"] == nil {
		h["Date"] = nil // keeps net/http from adding one
	}
	switch {
	case x.r.Method == http.MethodHead && resp.Length < 0:
		// The length of the resource is not known.
	case x.r.Method == http.MethodHead:
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	case lengthKnown:
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	case resp.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.cfg.Metrics.RecordFirstToken(x.request.Tier, time.Since(x.arrived).Seconds())
	x.w.WriteHeader(resp.Status)
}

// recordAnswered counts and logs that the caller received the complete response. The log
// line is exempt from sampling after a retry or a logged failure.
func (x *exchange) recordAnswered(details ...slog.Attr) {
	x.cfg.Metrics.CountAnswered(x.request.Tier, x.service)
	line := event.RequestAnswered
	line.Sampled = x.sends <= 1 && !x.failureLogged
	line.Log(x.cfg.Log, x.logAttrs(details...)...)
}
