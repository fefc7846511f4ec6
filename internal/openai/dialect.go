package openai

import (
	"fmt"
	"net/http"
	"strconv"

	"wellgw/internal/core"
	"wellgw/internal/platform"
	"wellgw/internal/upstream"
	"wellgw/routing"
)

// Dialect is the protocol of engines that offer only the chat API. They serve a request in one
// call and have no held state to release. A request that ended in a 5xx status or a broken
// connection may have been executed.
type Dialect struct {
	Key string // sent as the bearer token, if not empty
}

// EngineError is an engine's answer with an error status.
type EngineError struct {
	Status int
	Body   []byte
}

func (e *EngineError) Error() string { return fmt.Sprintf("engine answered %d", e.Status) }

// Attempt returns the call for one attempt of a request.
func (d Dialect) Attempt(a core.Attempt) upstream.Call {
	header := [][2]string{
		{"Content-Type", "application/json"}, {"Accept", "text/event-stream"},
		{"X-Request-Id", a.ClientRequestID}, {"X-Deadline-Ms", strconv.FormatInt(max(1, a.Timeout.Milliseconds()), 10)},
	}
	if d.Key != "" {
		header = append(header, [2]string{"Authorization", "Bearer " + d.Key})
	}
	return upstream.Call{Method: http.MethodPost, Target: a.Payload.Target, Header: header, Body: a.Payload.Body}
}

// ParseResponse maps an error status to a result. Status 429 means that a limit was exceeded before
// the request was executed; the header X-Not-Run: 1 means the same under any status.
func (Dialect) ParseResponse(status int, h http.Header, body []byte) core.Result {
	r := core.Result{Status: routing.StatusError, Cause: &EngineError{Status: status, Body: body}}
	if status == http.StatusTooManyRequests || h.Get("X-Not-Run") == "1" {
		r.Status = routing.StatusRejected
	}
	return r
}

// StartsAnswer reports whether an event starts an answer; see upstream.Opener.
func (Dialect) StartsAnswer(p core.Payload, data []byte) (bool, error) {
	return startsAnswer(data, p.BufferUntilFirstToken)
}

// TwoStage is the protocol of two-stage engines behind a chat gateway: the platform's dialect, with
// this package's rule for the event that starts an answer.
type TwoStage struct{ platform.Dialect }

// StartsAnswer reports whether an event starts an answer; see upstream.Opener.
func (TwoStage) StartsAnswer(p core.Payload, data []byte) (bool, error) {
	return startsAnswer(data, p.BufferUntilFirstToken)
}

// Tail reads the usage from the end of an answer.
func (Dialect) Tail(tail []byte, r *core.Result) {
	r.CachedTokens, r.OutputTokens = upstream.Usage(tail)
}

// Release returns no call: these engines cancel a request when its connection is closed.
func (Dialect) Release(string) (upstream.Call, bool) { return upstream.Call{}, false }

// Probe returns no call: engines of this dialect are not probed.
func (Dialect) Probe() (upstream.Call, bool) { return upstream.Call{}, false }
