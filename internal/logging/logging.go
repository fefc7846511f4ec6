// Package logging writes the program's log: one JSON object per line, written by zerolog as the
// handler of the standard library's slog. docs/logs.md lists the field names; a name has the same
// meaning in every line.
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/rs/zerolog"
)

// timeFormat is RFC 3339 with milliseconds, fine enough to order the lines of several processes.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to w. With verbose it also writes lines of level debug.
func New(w io.Writer, verbose bool) *slog.Logger {
	level := zerolog.InfoLevel
	if verbose {
		level = zerolog.DebugLevel
	}
	return slog.New(handler{zerolog.NewSlogHandler(zerolog.New(w).Level(level))})
}

// handler converts times, errors and values with a String method to text before zerolog writes them.
type handler struct{ slog.Handler }

// Handle writes one line.
func (h handler) Handle(ctx context.Context, r slog.Record) error {
	line := slog.Record{Level: r.Level, Message: r.Message}
	line.AddAttrs(slog.String("time", r.Time.UTC().Format(timeFormat)))
	r.Attrs(func(a slog.Attr) bool {
		line.AddAttrs(asText(a))
		return true
	})
	return h.Handler.Handle(ctx, line)
}

// asText replaces an error or a Stringer with its text; zerolog would write an object without fields.
func asText(a slog.Attr) slog.Attr {
	switch v := a.Value.Any().(type) {
	case error:
		return slog.String(a.Key, v.Error())
	case fmt.Stringer:
		return slog.String(a.Key, v.String())
	}
	return a
}

// WithAttrs returns a handler that adds attributes to every line.
func (h handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	texts := make([]slog.Attr, len(attrs))
	for i, a := range attrs {
		texts[i] = asText(a)
	}
	return handler{h.Handler.WithAttrs(texts)}
}

// WithGroup returns a handler that adds subsequent attributes to a group.
func (h handler) WithGroup(name string) slog.Handler { return handler{h.Handler.WithGroup(name)} }
