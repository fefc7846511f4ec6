package core

import (
	"context"
	"log/slog"
	"time"
)

// stateEndReason is the reason why an engine no longer has to hold state for a request.
type stateEndReason string

// The reasons as they are logged.
const (
	stateFetched  stateEndReason = "fetched"  // a decode engine's answer has started
	stateReleased stateEndReason = "released" // a release was delivered
	stateExpired  stateEndReason = "expired"  // the limit was reached; an attempt may be in flight
)

// logWritten logs which connection an attempt was written to.
func (c *Core) logWritten(request *requestState, attempt *attemptState) {
	if !c.debugLogging {
		return
	}
	c.log.LogAttrs(context.Background(), slog.LevelDebug, "attempt written",
		slog.String("id", request.ClientRequestID),
		slog.Int("attempt", attempt.number),
		slog.String("engine", attempt.endpoint.Name),
		slog.Uint64("connection", uint64(attempt.write.Connection)),
		slog.Duration("age", time.Since(attempt.startedAt).Round(time.Microsecond)))
}

// logStateHeld logs that an engine has begun to hold state for a request.
func (c *Core) logStateHeld(request *requestState, attempt *attemptState) {
	if !c.debugLogging {
		return
	}
	c.log.LogAttrs(context.Background(), slog.LevelDebug, "state held",
		slog.String("id", request.ClientRequestID),
		slog.String("engine", attempt.endpoint.Name),
		slog.Uint64("connection", uint64(attempt.write.Connection)),
		slog.Duration("limit", c.limits.HeldStateLimit))
}

// logStateEnd logs why an engine no longer has to hold state for a request.
func (c *Core) logStateEnd(request *requestState, engine string, end stateEndReason) {
	if !c.debugLogging {
		return
	}
	c.log.LogAttrs(context.Background(), slog.LevelDebug, "state ended",
		slog.String("id", request.ClientRequestID),
		slog.String("engine", engine),
		slog.String("reason", string(end)))
}

// logExpired logs that a state has reached its limit. The line at level info is for operators: it lists the
// attempts in flight or not ended, their connections and the evidence of their arrival.
func (c *Core) logExpired(request *requestState) {
	holder := request.held.ledger.StateHolder()
	c.logStateEnd(request, holder, stateExpired)
	attrs := []slog.Attr{
		slog.String("id", request.ClientRequestID),
		slog.String("engine", holder),
		slog.Duration("limit", c.limits.HeldStateLimit),
	}
	for _, attempt := range request.attempts {
		if request.inFlight(attempt) || !attempt.ended {
			attrs = append(attrs, attempt.waitingAttr())
		}
	}
	c.log.LogAttrs(context.Background(), slog.LevelInfo, "held state at its limit", attrs...)
}

// waitingAttr describes an attempt that may have been waiting for the state: its connection, and the evidence
// that it has arrived at its engine.
func (a *attemptState) waitingAttr() slog.Attr {
	evidence := "none"
	if first, arrived := a.handle.FirstByte(); arrived {
		evidence = "answer after " + first.At.Sub(a.write.At).Round(time.Millisecond).String()
	}
	return slog.Group("cover",
		slog.Int("attempt", a.number),
		slog.String("engine", a.endpoint.Name),
		slog.Bool("written", a.written),
		slog.Bool("ended", a.ended),
		slog.Uint64("connection", uint64(a.write.Connection)),
		slog.Duration("age", time.Since(a.startedAt).Round(time.Millisecond)),
		slog.String("evidence", evidence))
}
