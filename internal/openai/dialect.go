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

// Dialect is how engines that offer only the chat API are spoken with. They read
// and answer whole requests, hold nothing that could be let go, and prove nothing
// by their errors: what ended in a 5xx or a break may have run.
type Dialect struct {
	Key string // sent as the bearer, if not empty
}

// EngineError is an engine's own word on a request that it did not serve.
type EngineError struct {
	Status int
	Body   []byte
}

func (e *EngineError) Error() string { return fmt.Sprintf("engine answered %d", e.Status) }

// Attempt is one chat completion.
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

// Judge maps an error. 429 says that a limit was met before any work began;
// X-Not-Run says so outright.
func (Dialect) Judge(status int, h http.Header, body []byte) core.Result {
	r := core.Result{Status: routing.StatusError, Cause: &EngineError{Status: status, Body: body}}
	if status == http.StatusTooManyRequests || h.Get("X-Not-Run") == "1" {
		r.Status = routing.StatusRejected
	}
	return r
}

// Opens tells whether an event begins an answer; see upstream.Opener.
func (Dialect) Opens(p core.Payload, data []byte) (bool, error) {
	return startsAnswer(data, p.BufferUntilFirstToken)
}

// TwoStage is how a chat gateway speaks with two-stage engines: by the platform's protocol,
// and with the same eye for where an answer begins.
type TwoStage struct{ platform.Dialect }

// Opens tells whether an event begins an answer; see upstream.Opener.
func (TwoStage) Opens(p core.Payload, data []byte) (bool, error) {
	return startsAnswer(data, p.BufferUntilFirstToken)
}

// Tail reads the usage.
func (Dialect) Tail(tail []byte, r *core.Result) {
	r.CachedTokens, r.OutputTokens = upstream.Usage(tail)
}

// Release has nothing to call: such an engine ends its work with the connection.
func (Dialect) Release(string) (upstream.Call, bool) { return upstream.Call{}, false }

// Probe has nothing to call.
func (Dialect) Probe() (upstream.Call, bool) { return upstream.Call{}, false }
