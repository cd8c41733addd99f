package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sardinefront.dev/core/membudget"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/gateway/dispatch"
	"sardinefront.dev/gateway/upstream"
	"sardinefront.dev/sched/reserve"
)

const (
	// eventTimeoutGaps is the time without an event after which another target is sought
	// for a resumable stream, as a multiple of the route's longest tolerated gap.
	eventTimeoutGaps = 2
	// minEventTimeout is the lower bound of that time.
	minEventTimeout = 500 * time.Millisecond
	// firstEventTimeoutBase plus firstEventTimeoutPerToken for each prompt token is the
	// timeout for the first event of a resumable stream. Six times the prefill time of a
	// fast engine keeps a slow engine from being treated as unresponsive.
	firstEventTimeoutBase     = 350 * time.Millisecond
	firstEventTimeoutPerToken = 6 * prefillPerToken
)

var (
	errEventTooLong = fmt.Errorf("stream event exceeds %d bytes", membudget.MaxEventBytes)
	errEventMemory  = fmt.Errorf("stream event exceeds %d bytes while other streams use up the memory for larger ones", membudget.OwnEventBytes)
	// errNoEvent is the error of a stream, or of its resumption, without a length or chunks that
	// ended before its first event. A target that crashes ends it in the same way as one that has
	// no events.
	errNoEvent = fmt.Errorf("the stream ended before its first event: %w", io.ErrUnexpectedEOF)
)

// forwardStream forwards events as they arrive. Only complete events are written, so that
// another target can resume the stream after the last one.
func (x *exchange) forwardStream(ctx context.Context, scheduler *dispatch.Scheduler, watch *silenceWatch, conn *upstream.Conn, resp *upstream.Response, sentAt time.Time) attempt {
	s := newEventReader(resp.Body, x.eventMemory)
	defer s.close()
	timing := streamTiming{sentAt: sentAt}
	watch.reset(x.eventTimeout(0))
	for {
		event, err := s.next()
		if err != nil {
			found := watch.end()
			return watch.settle(found, x.finishStream(ctx, conn, resp, err, timing))
		}
		if !x.continuesStream(event, timing.events == 0) {
			conn.Release(resp, false)
			return x.failedAttempt(ctx, reserve.BrokenResponse, refusal.ResponseTruncated, fmt.Errorf("event id %q does not follow the last forwarded id %q", event.id, x.lastEventID))
		}
		if !event.comment {
			watch.stop() // the time until the caller has read the event is no silence of the target
			x.progress.lastAt = time.Now()
			x.recordFirstByte(scheduler)
		}
		if err := x.writeEvent(resp, event); err != nil {
			conn.Release(resp, false)
			att := x.failedAttempt(ctx, reserve.Abandoned, refusal.CallerDisconnected, err)
			att.outcome = reserve.Abandoned // also if the deadline was reached before
			return att
		}
		x.progress.bytes += int64(len(event.raw))
		if event.comment {
			continue
		}
		now := time.Now()
		timing.recordEvent(now)
		x.progress.recordEvent(now)
		x.recordBegun(resp.Status)
		watch.reset(x.eventTimeout(timing.events))
		if timing.events == minSampleEvents {
			scheduler.RecordSpeed(x.targetKey, timing.meanGap())
			x.cfg.Rollouts.ObserveSpeed(x.service, x.targetVersion, x.targetID, timing.meanGap())
		}
	}
}

// writeEvent sends an event to the caller and records where another target can resume the stream.
func (x *exchange) writeEvent(resp *upstream.Response, event streamEvent) error {
	x.writeHead(resp, 0, false)
	if _, err := x.w.Write(event.raw); err != nil {
		return err
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return err
	}
	if event.comment {
		return nil
	}
	x.lastEventAt = time.Now()
	if event.id == "" {
		x.notResumable = true
		return nil
	}
	x.lastEventID = event.id
	return nil
}

// continuesStream reports whether the event may be forwarded after those before it. The first event
// of a resumed stream must have an id, which shows that it is no error message of the target.
func (x *exchange) continuesStream(e streamEvent, first bool) bool {
	if first && x.lastEventID != "" && e.id == "" && !e.comment {
		return false
	}
	return followsEvent(e.id, x.lastEventID)
}

// followsEvent reports whether the event id may follow last: numeric ids must increase.
func followsEvent(id, last string) bool {
	a, err1 := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err1 != nil || err2 != nil || a > b
}

// eventTimeout returns the time to wait for the next event before another target is sought to
// resume the stream; 0 means until the deadline. events is the number received so far in this
// attempt.
func (x *exchange) eventTimeout(events int) time.Duration {
	if !x.route.Resumable || x.notResumable || !x.attemptsLeft() {
		return 0
	}
	if events == 0 && !x.headSent {
		return firstEventTimeoutBase + time.Duration(x.info.PromptTokens)*firstEventTimeoutPerToken
	}
	return x.toleratedSilence()
}

// streamTiming records the times of the events of one attempt.
type streamTiming struct {
	sentAt, firstAt, lastAt time.Time
	events                  int
	longestGap              time.Duration // longest gap between events
}

// recordEvent records that an event was forwarded.
func (t *streamTiming) recordEvent(now time.Time) {
	if t.events == 0 {
		t.firstAt = now
	} else {
		t.longestGap = max(t.longestGap, now.Sub(t.lastAt))
	}
	t.lastAt = now
	t.events++
}

// firstEventDelay returns the time from the send to the first event, 0 if there was none.
func (t streamTiming) firstEventDelay() time.Duration {
	if t.events == 0 {
		return 0
	}
	return t.firstAt.Sub(t.sentAt)
}

// minSampleEvents is the smallest number of events for which a mean gap is reported.
const minSampleEvents = 4

// sample returns the mean gap as a sample, empty for fewer than minSampleEvents events.
func (t streamTiming) sample() reserve.Sample {
	if t.events < minSampleEvents {
		return reserve.Sample{}
	}
	return reserve.Sample{Gap: t.meanGap()}
}

// meanGap returns the mean gap between the events so far, without the longest gap, which
// may be due to a lost packet, a network partition or the prefill of another request. It
// needs at least three events.
func (t streamTiming) meanGap() time.Duration {
	return (t.lastAt.Sub(t.firstAt) - t.longestGap) / time.Duration(t.events-2)
}

// recordEstimate records the error of the expected time to the first event.
func (x *exchange) recordEstimate(timing streamTiming) {
	if x.expectedFirstEvent > 0 && timing.events > 0 {
		x.cfg.Metrics.RecordFirstEventError(x.request.Tier, (timing.firstEventDelay() - x.expectedFirstEvent).Abs().Seconds())
	}
}

// finishStream returns the attempt of a stream whose next event could not be read; err is
// io.EOF at the regular end.
func (x *exchange) finishStream(ctx context.Context, conn *upstream.Conn, resp *upstream.Response, err error, timing streamTiming) attempt {
	if errors.Is(err, io.EOF) && resp.EndsWithConnection() && timing.events == 0 {
		err = errNoEvent
	}
	if errors.Is(err, io.EOF) {
		x.writeHead(resp, 0, false)
		conn.Release(resp, true)
		x.cfg.Metrics.RecordEventPause(x.request.Tier, timing.longestGap.Seconds())
		x.recordEstimate(timing)
		x.recordAnswered(slog.Duration("first", x.queueWait+timing.firstEventDelay()), slog.Int("events", timing.events), slog.Duration("longestPause", timing.longestGap))
		return attempt{status: answered, sent: true, outcome: reserve.OK, sample: timing.sample(), firstByte: timing.firstEventDelay()}
	}
	conn.Release(resp, false)
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return x.failedAttempt(ctx, reserve.TimedOut, refusal.TargetTimedOut, err)
	}
	return x.failedAttempt(ctx, reserve.BrokenResponse, refusal.ResponseTruncated, err)
}

// streamEvent is one server-sent event.
type streamEvent struct {
	raw []byte // with the closing blank line
	id  string
	// comment is true for a block of comments. It is forwarded, but is no progress: a target
	// may send comments while its stream stalls.
	comment bool
}

// eventReader splits a stream into server-sent events.
type eventReader struct {
	br     *bufio.Reader
	buf    bytes.Buffer
	memory *membudget.Budget
	usage  membudget.Usage
}

// newEventReader returns a reader whose buffer draws on the memory budget until close.
func newEventReader(r io.Reader, memory *membudget.Budget) *eventReader {
	return &eventReader{br: bufio.NewReaderSize(r, 2<<10), memory: memory}
}

// close drops the buffer and returns its memory to the budget.
func (s *eventReader) close() {
	s.buf = bytes.Buffer{}
	s.memory.Resize(&s.usage, 0)
}

// reserve makes room for n more bytes in the buffer. It returns false if the budget has too few left.
func (s *eventReader) reserve(n int) bool {
	if n <= s.buf.Available() {
		return true
	}
	larger := 2*s.buf.Cap() + n
	if !s.memory.Resize(&s.usage, larger) {
		return false
	}
	s.buf.Grow(larger - s.buf.Len())
	return true
}

// next returns the next complete event. It returns io.EOF only if the stream ended between
// events. The raw bytes are valid until the next call.
func (s *eventReader) next() (streamEvent, error) {
	s.buf.Reset()
	event := streamEvent{comment: true}
	lineBegins := true
	for {
		line, err := s.br.ReadSlice('\n')
		if s.buf.Len()+len(line) > membudget.MaxEventBytes {
			return streamEvent{}, errEventTooLong
		}
		if !s.reserve(len(line)) {
			return streamEvent{}, errEventMemory
		}
		s.buf.Write(line)
		event.comment = event.comment && (!lineBegins || isComment(line))
		lineBegins = !errors.Is(err, bufio.ErrBufferFull)
		if !lineBegins {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && s.buf.Len() > 0 {
				err = io.ErrUnexpectedEOF
			}
			return streamEvent{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && s.buf.Len() > 0 {
			event.raw = s.buf.Bytes()
			return event, nil
		}
		if v, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			event.id = strings.TrimSpace(string(v))
		}
	}
}

// isComment reports whether a line of a stream is a comment or blank.
func isComment(line []byte) bool {
	return bytes.HasPrefix(line, []byte(":")) || len(bytes.TrimRight(line, "\r\n")) == 0
}
