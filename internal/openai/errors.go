package openai

import (
	"errors"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"wellgw/internal/core"
	"wellgw/internal/streambuffer"
	"wellgw/routing"
)

// The codes of errors, as docs/chat-errors.md lists them. They do not change.
const (
	codeKey        = "invalid_api_key"
	codeURL        = "unknown_url"
	codeMethod     = "method_not_allowed"
	codeModel      = "model_not_found"
	codeBody       = "invalid_body"
	codeParam      = "invalid_parameter"
	codeTooBig     = "request_too_large"
	codeRejected   = "rejected_by_engine"
	codeQuota      = "rate_limit_exceeded"
	codeOverloaded = "overloaded"
	codeTimeout    = "timeout"
	codeFailed     = "engine_failed"
	codeBroken     = "stream_broken"
	codeReported   = "engine_error"
	codeSlow       = "client_too_slow"
	codeUnderWay   = "idempotency_in_progress"
	codeReused     = "idempotency_key_reused"
	codeUnknown    = "idempotency_fate_unknown"
	codeNotKept    = "idempotency_answer_not_kept"
	codeKeyLength  = "idempotency_key_invalid"
)

// The types of errors, as the API has them.
const (
	typeRequest = "invalid_request_error"
	typeRate    = "rate_limit_error"
	typeServer  = "server_error"
)

// apiError is an OpenAI error object with its HTTP status.
type apiError struct {
	status           int
	kind, code, text string
	param            string
	retryAfter       time.Duration
	final            bool // clients' libraries are told not to try again by themselves
}

func (e apiError) object() []byte {
	optional := func(s string) any {
		if s == "" {
			return nil
		}
		return s
	}
	b, err := codec.Marshal(map[string]any{"error": map[string]any{
		"message": e.text, "type": e.kind, "param": optional(e.param), "code": optional(e.code),
	}})
	if err != nil { // only plain strings
		return []byte(`{"error":{"message":"failed","type":"server_error","param":null,"code":null}}`)
	}
	return b
}

func (e apiError) send(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.retryAfter > 0 {
		// Whole seconds by the HTTP standard; clients' libraries know the finer one.
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
		h.Set("Retry-After-Ms", strconv.FormatInt(max(1, e.retryAfter.Milliseconds()), 10))
	}
	if e.final {
		// Libraries try 408, 409, 429 and 5xx again by themselves; this header, which they
		// know, has them not: what may have run must not be sent again unasked.
		h.Set("X-Should-Retry", "false")
	}
	w.WriteHeader(e.status)
	w.Write(append(e.object(), '\n'))
}

func badRequest(text, param string) apiError {
	e := apiError{status: http.StatusBadRequest, kind: typeRequest, code: codeBody, text: text, param: param}
	if param != "" {
		e.code = codeParam
	}
	return e
}

func noModel(name string) apiError {
	return apiError{status: http.StatusNotFound, kind: typeRequest, code: codeModel, param: "model",
		text: "the model " + name + " does not exist or is not open to this team"}
}

// rejected returns the engine's word that it does not accept a request, nil if it is none.
func rejected(a core.Answer) *EngineError {
	var e *EngineError
	if errors.As(a.Cause, &e) && slices.Contains([]int{http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity}, e.Status) {
		return e
	}
	return nil
}

// refusal words a final answer that is no stream. Only 429 and 503 say that trying again
// is harmless; 502 and 504 promise nothing, so that where an order may have run its
// client's library is told not to.
func refusal(a core.Answer, once bool) apiError {
	if e := rejected(a); e != nil {
		r := badRequest("the engine did not accept the request: "+firstLine(string(e.Body)), "")
		r.code = codeRejected
		return r
	}
	switch {
	case a.Verdict == core.Rejected && a.OverQuota:
		return apiError{status: http.StatusTooManyRequests, kind: typeRate, code: codeQuota,
			text: "the team's budget is spent for now", retryAfter: a.RetryAfter}
	case a.Verdict == core.Rejected:
		return apiError{status: http.StatusServiceUnavailable, kind: typeServer, code: codeOverloaded,
			text: "no engine can take this in time; nothing was done", retryAfter: a.RetryAfter}
	case a.Verdict == core.DeadlineExceeded || a.Status == routing.StatusTimeout:
		return apiError{status: http.StatusGatewayTimeout, kind: typeServer, code: codeTimeout, final: once,
			text: "no engine answered in time; the request may have been carried out"}
	}
	return apiError{status: http.StatusBadGateway, kind: typeServer, code: codeFailed, final: once,
		text: "an engine failed; the request may have been carried out"}
}

// broken words the error event that ends a stream.
func broken(err error) apiError {
	if errors.Is(err, streambuffer.ErrSlowClient) {
		return apiError{kind: typeServer, code: codeSlow, text: "the client read too slowly; the request may have been carried out"}
	}
	var told reportedError
	if errors.As(err, &told) {
		return apiError{kind: typeServer, code: codeReported, text: told.Error() + "; the request may have been carried out"}
	}
	return apiError{kind: typeServer, code: codeBroken, text: "the stream broke; the request may have been carried out"}
}
