// Package platform implements the protocols of the platform that the gateway runs on: the clients' HTTP
// API, the engines' API, and discovery's list of engines. It makes no routing decisions.
package platform

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"wellgw/internal/core"
	"wellgw/internal/settings"
	"wellgw/internal/upstream"
	"wellgw/routing"
)

// Dialect implements upstream.Dialect for the API of the platform's engines.
type Dialect struct{}

// Attempt returns the call of an attempt: the client's method, target, body, request ID and headers,
// unchanged, and the attempt's timeout as its deadline.
func (Dialect) Attempt(a core.Attempt) upstream.Call {
	gatewayHeaders := [][2]string{
		{"X-Request-Id", a.ClientRequestID},
		{"X-Deadline-Ms", strconv.FormatInt(max(1, a.Timeout.Milliseconds()), 10)},
	}
	return upstream.Call{
		Method: a.Payload.Method, Target: a.Payload.Target, Body: a.Payload.Body,
		Header: append(gatewayHeaders, a.Payload.Header...),
	}
}

// notForwarded are the headers that are not forwarded to engines: hop-by-hop headers, headers that
// the gateway sets itself or that apply only to its own response, and credentials.
var notForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Host": true,
	"Accept-Encoding": true, "Range": true,
	"X-Request-Id": true, "X-Deadline-Ms": true,
	"Authorization": true, "Proxy-Authorization": true, "Cookie": true,
}

// forwardedHeaders returns the headers that are forwarded to an engine. For a deduplicated class, engines
// recognise duplicates by a key in one of them; engines may read other headers too.
func forwardedHeaders(h http.Header) [][2]string {
	hopByHop := map[string]bool{} // by the client's Connection header
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			hopByHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	forwarded := make([][2]string, 0, len(h))
	for name, values := range h {
		if notForwarded[name] || hopByHop[name] {
			continue
		}
		for _, v := range values {
			forwarded = append(forwarded, [2]string{name, v})
		}
	}
	if _, has := h["Content-Type"]; !has {
		forwarded = append(forwarded, [2]string{"Content-Type", "application/json"})
	}
	return forwarded
}

// ParseResponse maps HTTP statuses to results. Only "X-Not-Run: 1" proves that the engine rejected the
// request: after a 503 without it, the engine may have run the request.
func (Dialect) ParseResponse(status int, h http.Header, body []byte) core.Result {
	r := core.Result{Report: parseLoadReport([]byte(h.Get("X-Load")))}
	notRun := h.Get("X-Not-Run") == "1"
	switch {
	case status == http.StatusOK: // response to a probe; the response to an attempt is a stream
		r.Status, r.Report = routing.StatusServed, parseLoadReport(body)
	case status == http.StatusAccepted:
		var usage struct {
			Tokens int `json:"cached_tokens"`
		}
		// Status 202 means that the prefill is complete, even if the body is malformed.
		_ = jsoniter.Unmarshal(body, &usage)
		r.Status, r.CachedTokens = routing.StatusPrefilled, max(0, usage.Tokens)
	case notRun:
		r.Status, r.StateMissing = routing.StatusRejected, status == http.StatusGone
	default:
		r.Status = routing.StatusError
	}
	return r
}

// Tail reads the token usage from a stream's tail, and the load report if the engine sent one as a comment.
func (Dialect) Tail(tail []byte, r *core.Result) {
	r.CachedTokens, r.OutputTokens = upstream.Usage(tail)
	for line := range bytes.Lines(tail) {
		if load, ok := bytes.CutPrefix(line, []byte(": X-Load:")); ok {
			r.Report = parseLoadReport(load)
		}
	}
}

// Release returns the call that releases a request's held state by deleting its bootstrap room.
func (Dialect) Release(id string) (upstream.Call, bool) {
	return upstream.Call{Method: http.MethodDelete, Target: "/bootstrap/rooms/" + id}, true
}

// Probe returns the call that requests a load report.
func (Dialect) Probe() (upstream.Call, bool) {
	return upstream.Call{Method: http.MethodGet, Target: "/load"}, true
}

func parseLoadReport(raw []byte) *routing.LoadReport {
	if len(bytes.TrimSpace(raw)) == 0 {
		return nil
	}
	var values map[string]float64
	if jsoniter.Unmarshal(raw, &values) != nil {
		return nil
	}
	return settings.ParseLoadReport(values)
}
