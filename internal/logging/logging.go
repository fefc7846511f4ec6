// Package logging makes the program's log: one JSON object per line, written by zerolog behind the
// standard library's slog. docs/logs.md lists the field names, which mean the same in every line.
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/rs/zerolog"
)

// timeFormat is RFC 3339 with milliseconds, in which lines of several processes can be ordered.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to w; with verbose, lines of level debug too.
func New(w io.Writer, verbose bool) *slog.Logger {
	level := zerolog.InfoLevel
	if verbose {
		level = zerolog.DebugLevel
	}
	return slog.New(handler{zerolog.NewSlogHandler(zerolog.New(w).Level(level))})
}

// handler formats times, errors and values with a String method before zerolog writes them.
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

// asText replaces an error or a Stringer by its text; zerolog would write an object without fields.
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

// WithGroup returns a handler that puts the attributes that follow into a group.
func (h handler) WithGroup(name string) slog.Handler { return handler{h.Handler.WithGroup(name)} }
