package ingress

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/gateway/dispatch"
	"sardinefront.dev/sched/reserve"
)

// errGraceEnded is the cause with which a planned stop ends the context of a request.
var errGraceEnded = errors.New("the grace period of the planned stop has ended")

// endReason returns the reason for which the ended context of a request that has been sent ended.
func endReason(ctx context.Context) refusal.Reason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errGraceEnded):
		return refusal.StoppedAfterSend
	case errors.Is(cause, context.DeadlineExceeded):
		return refusal.DeadlineAfterSend
	}
	return refusal.CallerDisconnected
}

// progress is what a target has sent of its response in one attempt.
type progress struct {
	events int   // of a stream
	bytes  int64 // of the body
	// unbounded is set for a body that is no event stream and has no stated length, which a broken
	// target may send without end.
	unbounded bool
	// firstAt is the time of the first event of a stream, or of the headers of another response;
	// zero before.
	firstAt time.Time
	// lastAt is when the host began to wait for the next event of a stream or byte of another
	// response. The time in which the caller reads is no silence of the target.
	lastAt time.Time
	// silence is the time from lastAt until the end of the attempt.
	silence time.Duration
}

// recordEvent counts an event of a stream that the caller has read.
func (p *progress) recordEvent(now time.Time) {
	p.events++
	p.lastAt = now
}

// end records the end of the attempt.
func (p *progress) end(now time.Time) { p.silence = now.Sub(p.lastAt) }

// endOutcome returns the outcome of a sent attempt whose context has ended for the reason.
func (x *exchange) endOutcome(reason refusal.Reason) reserve.Outcome {
	switch {
	case reason != refusal.DeadlineAfterSend:
		return reserve.Abandoned
	case x.progress.firstAt.IsZero():
		return reserve.DeadlineReached
	case x.callerDisconnected():
		return reserve.Abandoned // it may have stopped reading
	case x.progress.unbounded || time.Since(x.progress.lastAt) >= x.toleratedSilence():
		return reserve.TimedOut
	}
	return reserve.Abandoned
}

// recordFirstByte records that the response of the target has begun.
func (x *exchange) recordFirstByte(s *dispatch.Scheduler) {
	if x.progress.firstAt.IsZero() {
		x.progress.firstAt = x.progress.lastAt
		s.RecordFirstByte(x.targetKey, x.route.Name, x.progress.firstAt.Sub(x.sentAt))
	}
}

// progressReader reads the body of a response that is not an event stream and records its progress.
type progressReader struct {
	io.Reader
	progress *progress
}

func (r *progressReader) Read(b []byte) (int, error) {
	r.progress.lastAt = time.Now()
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.progress.bytes += int64(n)
		r.progress.lastAt = time.Now()
	}
	return n, err
}

// endAttrs returns the attributes that tell why an attempt or a request ended: the time left until
// its deadline and, if it was sent, the progress of the last attempt.
func (x *exchange) endAttrs() []slog.Attr {
	if x.deadline.IsZero() {
		return nil
	}
	attrs := []slog.Attr{slog.Duration("deadlineIn", time.Until(x.deadline))}
	if x.sends == 0 {
		return attrs
	}
	return append(attrs, slog.Int("events", x.progress.events), slog.Int64("bytes", x.progress.bytes), slog.Duration("silent", x.progress.silence))
}
