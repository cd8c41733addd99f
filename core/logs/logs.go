// Package logs limits the log volume of a process. Writing a line never blocks, and under load
// lines about normal operation are dropped first.
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
	// flushInterval also bounds the log that is lost when the process is killed.
	flushInterval = 50 * time.Millisecond
	// maxBufferedBytes bounds the lines waiting to be written. Lines above it are dropped.
	maxBufferedBytes = 256 << 10
	// maxSampledLinesPerSecond limits the lines of sampled events.
	maxSampledLinesPerSecond = 40
	// maxLinesPerSecond limits all lines below the error level.
	maxLinesPerSecond = 400
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = 5 * time.Second
)

// Sink buffers lines until Flush writes them. It is safe for concurrent use.
type Sink struct {
	out io.Writer
	// flushing is held during a Flush, so that the lines of concurrent calls stay in order and
	// spare is used by one of them only.
	flushing sync.Mutex
	mu       sync.Mutex
	buf      []byte
	// spare is the buffer of the previous Flush, kept for reuse.
	spare []byte
	// dropped counts lines that found the buffer full.
	dropped atomic.Int64
}

// NewSink returns a Sink that writes to out.
func NewSink(out io.Writer) *Sink { return &Sink{out: out} }

// Write implements io.Writer. It never blocks on the output and never fails. A line that
// exceeds the buffer is dropped and counted.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buf)+len(line) > maxBufferedBytes {
		s.dropped.Add(1)
		return len(line), nil
	}
	s.buf = append(s.buf, line...)
	return len(line), nil
}

// Flush writes the buffered lines to the output.
func (s *Sink) Flush() {
	s.flushing.Lock()
	defer s.flushing.Unlock()
	s.mu.Lock()
	out := s.buf
	s.buf = s.spare[:0]
	s.mu.Unlock()
	if len(out) > 0 {
		_, _ = s.out.Write(out) // a failure to write the log cannot be logged
	}
	s.mu.Lock()
	s.spare = out
	s.mu.Unlock()
}

// rateLimiter counts the lines of the current second.
type rateLimiter struct {
	maxPerSecond int64
	second       atomic.Int64
	lines        atomic.Int64
}

// allow counts a line and reports whether it is within the limit.
func (r *rateLimiter) allow(now time.Time) bool {
	second := now.Unix()
	if r.second.Swap(second) != second {
		r.lines.Store(0)
	}
	return r.lines.Add(1) <= r.maxPerSecond
}

// Handler is a slog.Handler that writes JSON lines within rate limits.
type Handler struct {
	slog.Handler
	limits *limits
}

// limits holds the state shared by a handler and those derived by WithAttrs and WithGroup.
type limits struct {
	sampled, unsampled rateLimiter
	dropped            atomic.Int64
	level              slog.LevelVar
}

// NewHandler returns a Handler that writes JSON lines to the sink, from level info up.
func NewHandler(s *Sink) *Handler {
	l := &limits{}
	l.sampled.maxPerSecond, l.unsampled.maxPerSecond = maxSampledLinesPerSecond, maxLinesPerSecond
	return &Handler{Handler: slog.NewJSONHandler(s, &slog.HandlerOptions{Level: &l.level}), limits: l}
}

// SetLevel sets the minimum level of the lines that are written.
func (h *Handler) SetLevel(level slog.Level) { h.limits.level.Set(level) }

// AllowSampled counts a line of a sampled event and reports whether it is within the rate limit.
func (h *Handler) AllowSampled() bool {
	if h.limits.sampled.allow(time.Now()) {
		return true
	}
	h.limits.dropped.Add(1)
	return false
}

// Handle implements slog.Handler. Lines at the error level are not rate limited.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelError && !h.limits.unsampled.allow(r.Time) {
		h.limits.dropped.Add(1)
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

// Run flushes the sink periodically and logs how many lines were dropped, until ctx ends.
func Run(ctx context.Context, s *Sink, h *Handler, log *slog.Logger) {
	flush, report := time.NewTicker(flushInterval), time.NewTicker(dropReportInterval)
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
			if byRate, byBuffer := h.limits.dropped.Swap(0), s.dropped.Swap(0); byRate+byBuffer > 0 {
				event.LogLinesDropped.Log(log, slog.Int64("rate", byRate), slog.Int64("buffer", byBuffer))
			}
		}
	}
}
