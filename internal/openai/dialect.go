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
// call, hold no state that could be released, and prove nothing by their errors: what ended in a
// 5xx or a broken connection may have run.
type Dialect struct {
	Key string // sent as the bearer, if not empty
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

// ParseResponse maps an error status to a result. 429 means that a limit was exceeded before any work
// began; the header X-Not-Run says that outright.
func (Dialect) ParseResponse(status int, h http.Header, body []byte) core.Result {
	r := core.Result{Status: routing.StatusError, Cause: &EngineError{Status: status, Body: body}}
	if status == http.StatusTooManyRequests || h.Get("X-Not-Run") == "1" {
		r.Status = routing.StatusRejected
	}
	return r
}

// StartsAnswer tells whether an event begins an answer; see upstream.Opener.
func (Dialect) StartsAnswer(p core.Payload, data []byte) (bool, error) {
	return startsAnswer(data, p.BufferUntilFirstToken)
}

// TwoStage is the protocol of two-stage engines behind a chat gateway: the platform's, with the
// same rule for where an answer begins.
type TwoStage struct{ platform.Dialect }

// StartsAnswer tells whether an event begins an answer; see upstream.Opener.
func (TwoStage) StartsAnswer(p core.Payload, data []byte) (bool, error) {
	return startsAnswer(data, p.BufferUntilFirstToken)
}

// Tail reads the usage from the end of an answer.
func (Dialect) Tail(tail []byte, r *core.Result) {
	r.CachedTokens, r.OutputTokens = upstream.Usage(tail)
}

// Release returns no call: such an engine stops its work when the connection is closed.
func (Dialect) Release(string) (upstream.Call, bool) { return upstream.Call{}, false }

// Probe returns no call.
func (Dialect) Probe() (upstream.Call, bool) { return upstream.Call{}, false }
