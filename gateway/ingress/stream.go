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
	maxEvent = 1 << 20
	// silentGaps bounds the pause between events of a resumable stream, in the
	// longest pauses of its route, before it is resumed elsewhere.
	silentGaps = 2
	// leastSilence bounds that pause from below.
	leastSilence = 500 * time.Millisecond
	// firstWaitFixed and firstWaitPerToken bound the wait for the first event of a
	// resumable stream. The second is six times the prefill time of a fast engine,
	// so that a slow one is not taken for a silent one.
	firstWaitFixed    = 350 * time.Millisecond
	firstWaitPerToken = 6 * prefillPerToken
)

var errEventTooLong = errors.New("event too long")

// passStream passes events on as they arrive. Only whole events go to the caller,
// so that another target can go on after the last one.
func (x *exchange) passStream(ctx context.Context, service *dispatch.Service, conn *upstream.Conn, a *upstream.Answer, began time.Time) try {
	s := newEventReader(a.Body)
	timing := streamTiming{began: began}
	flusher := http.NewResponseController(x.w)
	for {
		conn.SetReadTimeout(x.eventWait(timing.events))
		event, err := s.next()
		if err != nil {
			return x.streamEnded(ctx, conn, a, err, timing)
		}
		if !after(event.id, x.lastEvent) {
			conn.Finish(a, false)
			return x.fail(ctx, reserve.BrokenResponse, refusal.AnswerCut, fmt.Errorf("event %q after %q", event.id, x.lastEvent))
		}
		x.head(a, 0, false)
		if _, err := x.w.Write(event.text); err != nil {
			conn.Finish(a, false)
			return x.fail(ctx, reserve.Abandoned, refusal.CallerGone, err)
		}
		if err := flusher.Flush(); err != nil {
			conn.Finish(a, false)
			return x.fail(ctx, reserve.Abandoned, refusal.CallerGone, err)
		}
		if event.id != "" {
			x.lastEvent = event.id
		}
		timing.event(time.Now())
		if timing.events == leastEvents {
			service.Observe(x.targetKey, timing.gap())
		}
	}
}

// after reports whether an event may follow another one: ids that are numbers
// increase.
func after(id, last string) bool {
	a, err1 := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err1 != nil || err2 != nil || a > b
}

// eventWait bounds the wait for the next event where the stream may go on
// elsewhere; 0 waits until the deadline.
func (x *exchange) eventWait(events int) time.Duration {
	if !x.route.Resumable || x.sends >= x.route.MaxAttempts {
		return 0
	}
	if events == 0 && !x.started {
		return firstWaitFixed + time.Duration(x.call.PromptTokens)*firstWaitPerToken
	}
	return max(leastSilence, silentGaps*x.route.MaxEventGap)
}

// streamTiming is what a stream says about its target's speed.
type streamTiming struct {
	began, first, last time.Time
	events             int
	longest            time.Duration // longest pause between events
}

// event notes that an event has been passed on.
func (t *streamTiming) event(now time.Time) {
	if t.events == 0 {
		t.first = now
	} else {
		t.longest = max(t.longest, now.Sub(t.last))
	}
	t.last = now
	t.events++
}

// firstWait returns the time from the send to the first event, 0 if there was none.
func (t streamTiming) firstWait() time.Duration {
	if t.events == 0 {
		return 0
	}
	return t.first.Sub(t.began)
}

// leastEvents is the number of events from which the pause between them counts.
const leastEvents = 4

func (t streamTiming) sample() reserve.Sample {
	if t.events < leastEvents {
		return reserve.Sample{}
	}
	return reserve.Sample{Gap: t.gap()}
}

// gap returns the mean pause between the events so far without the longest one, which a
// cut, a lost packet or another request's prompt may have made.
func (t streamTiming) gap() time.Duration {
	return (t.last.Sub(t.first) - t.longest) / time.Duration(t.events-2)
}

func (x *exchange) streamEnded(ctx context.Context, conn *upstream.Conn, a *upstream.Answer, err error, timing streamTiming) try {
	if errors.Is(err, io.EOF) {
		x.head(a, 0, false)
		conn.Finish(a, true)
		x.cfg.Metrics.EventPause(x.request.Tier, timing.longest.Seconds())
		x.done(slog.Duration("first", x.waited+timing.firstWait()), slog.Int("events", timing.events), slog.Duration("longestPause", timing.longest))
		return try{verdict: answered, sent: true, outcome: reserve.OK, sample: timing.sample(), first: timing.firstWait()}
	}
	conn.Finish(a, false)
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return x.fail(ctx, reserve.TimedOut, refusal.TargetSilent, err)
	}
	return x.fail(ctx, reserve.BrokenResponse, refusal.AnswerCut, err)
}

// streamEvent is one event with its closing blank line.
type streamEvent struct {
	text []byte
	id   string
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
		if s.buf.Len() > maxEvent {
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
