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

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/gateway/dispatch"
	"sardinefront.dev/gateway/upstream"
	"sardinefront.dev/sched/reserve"
)

const (
	// maxEvent bounds one event of a stream.
	maxEventBytes = 1 << 20
	// silentGaps bounds the pause between events of a resumable stream, in the
	// longest pauses of its route, before it is resumed elsewhere.
	eventTimeoutGaps = 2
	// leastSilence bounds that pause from below.
	minEventTimeout = 500 * time.Millisecond
	// firstWaitFixed and firstWaitPerToken bound the wait for the first event of a
	// resumable stream. The second is six times the prefill time of a fast engine,
	// so that a slow one is not taken for a silent one.
	firstEventTimeoutBase     = 350 * time.Millisecond
	firstEventTimeoutPerToken = 6 * prefillPerToken
)

var errEventTooLong = errors.New("event too long")

// passStream passes events on as they arrive. Only whole events go to the caller,
// so that another target can go on after the last one.
func (x *exchange) forwardStream(ctx context.Context, scheduler *dispatch.Scheduler, conn *upstream.Conn, resp *upstream.Response, began time.Time) attempt {
	s := newEventReader(resp.Body)
	timing := streamTiming{sentAt: began}
	flusher := http.NewResponseController(x.w)
	for {
		conn.SetReadTimeout(x.eventTimeout(timing.events))
		event, err := s.next()
		if err != nil {
			return x.finishStream(ctx, conn, resp, err, timing)
		}
		if !followsEvent(event.id, x.lastEventID) {
			conn.Release(resp, false)
			return x.failedAttempt(ctx, reserve.BrokenResponse, refusal.AnswerCut, fmt.Errorf("event %q after %q", event.id, x.lastEventID))
		}
		x.writeHead(resp, 0, false)
		if _, err := x.w.Write(event.raw); err != nil {
			conn.Release(resp, false)
			return x.failedAttempt(ctx, reserve.Abandoned, refusal.CallerGone, err)
		}
		if err := flusher.Flush(); err != nil {
			conn.Release(resp, false)
			return x.failedAttempt(ctx, reserve.Abandoned, refusal.CallerGone, err)
		}
		if event.id != "" {
			x.lastEventID = event.id
		}
		timing.recordEvent(time.Now())
		if timing.events == minSampleEvents {
			scheduler.RecordSpeed(x.targetKey, timing.meanGap())
		}
	}
}

// after reports whether an event may follow another one: ids that are numbers
// increase.
func followsEvent(id, last string) bool {
	a, err1 := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err1 != nil || err2 != nil || a > b
}

// eventWait bounds the wait for the next event where the stream may go on
// elsewhere; 0 waits until the deadline.
func (x *exchange) eventTimeout(events int) time.Duration {
	if !x.route.Resumable || x.sends >= x.route.MaxAttempts {
		return 0
	}
	if events == 0 && !x.headSent {
		return firstEventTimeoutBase + time.Duration(x.info.PromptTokens)*firstEventTimeoutPerToken
	}
	return max(minEventTimeout, eventTimeoutGaps*x.route.MaxGap)
}

// streamTiming is what a stream says about its target's speed.
type streamTiming struct {
	sentAt, firstAt, lastAt time.Time
	events                  int
	longestGap              time.Duration // longest pause between events
}

// event notes that an event has been passed on.
func (t *streamTiming) recordEvent(now time.Time) {
	if t.events == 0 {
		t.firstAt = now
	} else {
		t.longestGap = max(t.longestGap, now.Sub(t.lastAt))
	}
	t.lastAt = now
	t.events++
}

// firstWait returns the time from the send to the first event, 0 if there was none.
func (t streamTiming) firstEventDelay() time.Duration {
	if t.events == 0 {
		return 0
	}
	return t.firstAt.Sub(t.sentAt)
}

// leastEvents is the number of events from which the pause between them counts.
const minSampleEvents = 4

func (t streamTiming) sample() reserve.Sample {
	if t.events < minSampleEvents {
		return reserve.Sample{}
	}
	return reserve.Sample{Gap: t.meanGap()}
}

// gap returns the mean pause between the events so far without the longest one, which a
// cut, a lost packet or another request's prompt may have made.
func (t streamTiming) meanGap() time.Duration {
	return (t.lastAt.Sub(t.firstAt) - t.longestGap) / time.Duration(t.events-2)
}

func (x *exchange) finishStream(ctx context.Context, conn *upstream.Conn, resp *upstream.Response, err error, timing streamTiming) attempt {
	if errors.Is(err, io.EOF) {
		x.writeHead(resp, 0, false)
		conn.Release(resp, true)
		x.cfg.Metrics.EventPause(x.request.Tier, timing.longestGap.Seconds())
		x.recordAnswered(slog.Duration("first", x.queueWait+timing.firstEventDelay()), slog.Int("events", timing.events), slog.Duration("longestPause", timing.longestGap))
		return attempt{status: answered, sent: true, outcome: reserve.OK, sample: timing.sample(), firstByte: timing.firstEventDelay()}
	}
	conn.Release(resp, false)
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return x.failedAttempt(ctx, reserve.TimedOut, refusal.TargetSilent, err)
	}
	return x.failedAttempt(ctx, reserve.BrokenResponse, refusal.AnswerCut, err)
}

// streamEvent is one event with its closing blank line.
type streamEvent struct {
	raw []byte
	id  string
}

// eventReader cuts a stream into events.
type eventReader struct {
	br  *bufio.Reader
	buf bytes.Buffer
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{br: bufio.NewReaderSize(r, 2<<10)} }

// next returns the next whole event. It returns io.EOF only if the stream ended
// between events; the text is valid until the next call.
func (s *eventReader) next() (streamEvent, error) {
	s.buf.Reset()
	id := ""
	for {
		line, err := s.br.ReadSlice('\n')
		s.buf.Write(line)
		if s.buf.Len() > maxEventBytes {
			return streamEvent{}, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
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
			return streamEvent{s.buf.Bytes(), id}, nil
		}
		if v, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = strings.TrimSpace(string(v))
		}
	}
}
