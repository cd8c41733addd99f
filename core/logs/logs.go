// Package logs bounds what a process logs: writing never blocks, and under load lines
// about what went well are left out first.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"sardinefront.dev/core/event"
)

const (
	// flushEvery is how often buffered lines are written; a kill loses no more.
	flushEvery = 50 * time.Millisecond
	// bufferBytes bounds the lines that wait. Further ones are left out.
	bufferBytes = 256 << 10
	// sampledPerSecond bounds the lines a second about what went well.
	sampledPerSecond = 40
	// linesPerSecond bounds all other lines a second.
	linesPerSecond = 400
	// reportEvery is how often the number of lines left out is logged.
	reportEvery = 5 * time.Second
)

// Sink buffers lines and writes them in the background. It is safe for concurrent
// use.
type Sink struct {
	out     io.Writer
	mu      sync.Mutex
	buf     []byte
	spare   []byte
	dropped atomic.Int64
}

// NewSink returns a sink in front of a writer.
func NewSink(out io.Writer) *Sink { return &Sink{out: out} }

// Write implements io.Writer. It never blocks on the output and never fails; a line
// for which there is no room is counted.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buf)+len(line) > bufferBytes {
		s.dropped.Add(1)
		return len(line), nil
	}
	s.buf = append(s.buf, line...)
	return len(line), nil
}

// Flush writes what is buffered.
func (s *Sink) Flush() {
	s.mu.Lock()
	out := s.buf
	s.buf = s.spare[:0]
	s.mu.Unlock()
	if len(out) > 0 {
		_, _ = s.out.Write(out) // there is nowhere to report a failure of the log
	}
	s.mu.Lock()
	s.spare = out
	s.mu.Unlock()
}

// rate is a count of lines in the current second.
type rate struct {
	most   int64
	second atomic.Int64
	lines  atomic.Int64
}

// allow counts a line and reports whether it is within the rate.
func (r *rate) allow(now time.Time) bool {
	second := now.Unix()
	if r.second.Swap(second) != second {
		r.lines.Store(0)
	}
	return r.lines.Add(1) <= r.most
}

// Handler is a slog.Handler that keeps within its rates.
type Handler struct {
	slog.Handler
	limits *limits
}

// limits is shared by the handlers that derive from one another.
type limits struct {
	sampled, all rate
	left         atomic.Int64
	level        slog.LevelVar
}

// NewHandler returns a handler that writes JSON lines to the sink.
func NewHandler(s *Sink) *Handler {
	l := &limits{}
	l.sampled.most, l.all.most = sampledPerSecond, linesPerSecond
	return &Handler{Handler: slog.NewJSONHandler(s, &slog.HandlerOptions{Level: &l.level}), limits: l}
}

// SetLevel sets the least level of lines that are written.
func (h *Handler) SetLevel(level slog.Level) { h.limits.level.Set(level) }

// Sample reports whether a line about something that went well is written.
func (h *Handler) AllowSampled() bool {
	if h.limits.sampled.allow(time.Now()) {
		return true
	}
	h.limits.left.Add(1)
	return false
}

// Handle implements slog.Handler. Errors are always written.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelError && !h.limits.all.allow(r.Time) {
		h.limits.left.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), limits: h.limits}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), limits: h.limits}
}

// Run writes buffered lines and reports those left out, until ctx ends.
func Run(ctx context.Context, s *Sink, h *Handler, log *slog.Logger) {
	flush, report := time.NewTicker(flushEvery), time.NewTicker(reportEvery)
	defer flush.Stop()
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			s.Flush()
			return
		case <-flush.C:
			s.Flush()
		case <-report.C:
			if sampled, full := h.limits.left.Swap(0), s.dropped.Swap(0); sampled+full > 0 {
				event.LogLinesDropped.Log(log, slog.Int64("rate", sampled), slog.Int64("buffer", full))
			}
		}
	}
}
