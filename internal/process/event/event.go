// Package event is the catalogue of numbered log events. Every log line of the system is one of these events, so that
// operators can look up its number in docs/events.md.
package event

import (
	"context"
	"log/slog"
)

// Event is one kind of log line. Its number never changes and is never reused for another kind.
type Event struct {
	Number int
	Level  slog.Level
	Text   string // what happened, as logged
	Action string // what an operator should do; empty if nothing
}

// Log writes the event with its number as attribute "event".
func Log(l *slog.Logger, e Event, attrs ...slog.Attr) {
	ctx := context.Background()
	if !l.Enabled(ctx, e.Level) {
		return
	}
	all := make([]slog.Attr, 0, len(attrs)+1)
	all = append(all, slog.Int("event", e.Number))
	all = append(all, attrs...)
	l.LogAttrs(ctx, e.Level, e.Text, all...)
}
