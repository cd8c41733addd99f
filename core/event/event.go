// Package event declares every numbered log event once. docs/events.md is its
// catalogue.
package event

import (
	"context"
	"log/slog"
)

// Event is one kind of log record. Number never changes meaning once released.
type Event struct {
	Number  int
	Name    string
	Level   slog.Level
	Meaning string
	// Sampled events tell what went well; a handler may leave some out under load.
	Sampled bool
}

// sampler is a slog.Handler that leaves out some sampled events.
type sampler interface{ AllowSampled() bool }

// Log writes the event with its number and the given attributes.
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
