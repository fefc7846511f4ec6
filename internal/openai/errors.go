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

// Error codes, listed in docs/chat-errors.md. Clients depend on them, so they must not change.
const (
	codeAPIKey            = "invalid_api_key"
	codeURL               = "unknown_url"
	codeMethod            = "method_not_allowed"
	codeModel             = "model_not_found"
	codeBody              = "invalid_body"
	codeParam             = "invalid_parameter"
	codeTooBig            = "request_too_large"
	codeRejected          = "rejected_by_engine"
	codeQuota             = "rate_limit_exceeded"
	codeOverloaded        = "overloaded"
	codeTimeout           = "timeout"
	codeEngineFailed      = "engine_failed"
	codeStreamBroken      = "stream_broken"
	codeEngineError       = "engine_error"
	codeSlowClient        = "client_too_slow"
	codeInProgress        = "idempotency_in_progress"
	codeKeyReused         = "idempotency_key_reused"
	codeOutcomeUnknown    = "idempotency_fate_unknown"
	codeAnswerUnavailable = "idempotency_answer_not_kept"
	codeKeyInvalid        = "idempotency_key_invalid"
)

// Error types of the OpenAI API.
const (
	typeRequest   = "invalid_request_error"
	typeRateLimit = "rate_limit_error"
	typeServer    = "server_error"
)

// apiError is an OpenAI error object with its HTTP status.
type apiError struct {
	status                   int
	errorType, code, message string
	param                    string
	retryAfter               time.Duration
	noRetry                  bool // tells client libraries not to retry automatically
}

// object returns the error object.
func (e apiError) object() []byte {
	optional := func(s string) any {
		if s == "" {
			return nil
		}
		return s
	}
	b, err := codec.Marshal(map[string]any{"error": map[string]any{
		"message": e.message, "type": e.errorType, "param": optional(e.param), "code": optional(e.code),
	}})
	if err != nil { // can't happen: all values are strings
		return []byte(`{"error":{"message":"failed","type":"server_error","param":null,"code":null}}`)
	}
	return b
}

// send writes the error as the response.
func (e apiError) send(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.retryAfter > 0 {
		// Retry-After has a resolution of one second; client libraries also read Retry-After-Ms.
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
		h.Set("Retry-After-Ms", strconv.FormatInt(max(1, e.retryAfter.Milliseconds()), 10))
	}
	if e.noRetry {
		// Client libraries retry 408, 409, 429 and 5xx automatically unless this header is false. A
		// request that may have been executed must not be retried without the caller's decision.
		h.Set("X-Should-Retry", "false")
	}
	w.WriteHeader(e.status)
	w.Write(append(e.object(), '\n'))
}

// badRequest returns the error for an invalid parameter or, if param is empty, an invalid body.
func badRequest(text, param string) apiError {
	e := apiError{status: http.StatusBadRequest, errorType: typeRequest, code: codeBody, message: text, param: param}
	if param != "" {
		e.code = codeParam
	}
	return e
}

// unknownModel returns the error for a model that does not exist or that the team may not use.
func unknownModel(name string) apiError {
	return apiError{status: http.StatusNotFound, errorType: typeRequest, code: codeModel, param: "model",
		message: "the model " + name + " does not exist or is not open to this team"}
}

// engineRejection returns the engine's error if its status marks the request as invalid, nil
// otherwise.
func engineRejection(a core.Answer) *EngineError {
	var e *EngineError
	if errors.As(a.Cause, &e) && slices.Contains([]int{http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity}, e.Status) {
		return e
	}
	return nil
}

// answerError returns the error for an answer without a stream. Only 429 and 503 guarantee that a
// retry is safe. After 502 and 504 the request may have been executed, so if it must not be executed
// twice (atMostOnce), the error tells client libraries not to retry.
func answerError(a core.Answer, atMostOnce bool) apiError {
	if e := engineRejection(a); e != nil {
		r := badRequest("the engine did not accept the request: "+firstLine(string(e.Body)), "")
		r.code = codeRejected
		return r
	}
	switch {
	case a.Verdict == core.Rejected && a.OverQuota:
		return apiError{status: http.StatusTooManyRequests, errorType: typeRateLimit, code: codeQuota,
			message: "the team's budget is spent for now", retryAfter: a.RetryAfter}
	case a.Verdict == core.Rejected:
		return apiError{status: http.StatusServiceUnavailable, errorType: typeServer, code: codeOverloaded,
			message: "no engine can take this in time; nothing was done", retryAfter: a.RetryAfter}
	case a.Verdict == core.DeadlineExceeded || a.Status == routing.StatusTimeout:
		return apiError{status: http.StatusGatewayTimeout, errorType: typeServer, code: codeTimeout, noRetry: atMostOnce,
			message: "no engine answered in time; the request may have been carried out"}
	}
	return apiError{status: http.StatusBadGateway, errorType: typeServer, code: codeEngineFailed, noRetry: atMostOnce,
		message: "an engine failed; the request may have been carried out"}
}

// streamError returns the error for the event that ends a broken stream.
func streamError(err error) apiError {
	if errors.Is(err, streambuffer.ErrSlowClient) {
		return apiError{errorType: typeServer, code: codeSlowClient, message: "the client read too slowly; the request may have been carried out"}
	}
	var reported reportedError
	if errors.As(err, &reported) {
		return apiError{errorType: typeServer, code: codeEngineError, message: reported.Error() + "; the request may have been carried out"}
	}
	return apiError{errorType: typeServer, code: codeStreamBroken, message: "the stream broke; the request may have been carried out"}
}
