// Package event declares all numbered log events. docs/events.md lists them.
package event

import (
	"context"
	"log/slog"
)

// Event is one kind of log record. Name is the record's message. The meaning of a Number
// never changes once it is released.
type Event struct {
	Number  int
	Name    string
	Level   slog.Level
	Meaning string
	// Sampled events report normal operation; a handler may drop some of them under load.
	Sampled bool
}

// sampler is implemented by a slog.Handler that drops sampled events above a rate.
type sampler interface{ AllowSampled() bool }

// Log writes the event with its number and the given attributes, unless its level is disabled
// or the handler drops it. It is safe for concurrent use.
func (e Event) Log(l *slog.Logger, attrs ...slog.Attr) {
	if !l.Enabled(context.Background(), e.Level) {
		return
	}
	if e.Sampled {
		if s, ok := l.Handler().(sampler); ok && !s.AllowSampled() {
			return
		}
	}
	all := make([]slog.Attr, 0, len(attrs)+1)
	all = append(all, slog.Int("event", e.Number))
	all = append(all, attrs...)
	l.LogAttrs(context.Background(), e.Level, e.Name, all...)
}
