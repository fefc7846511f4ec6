// Package platform is the gateway's front towards the platform it runs on: its
// clients' and engines' protocol and its discovery. It decides nothing.
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

// Dialect is the API of the platform's engines.
type Dialect struct{}

// Attempt forwards method, target, body, id and the client's headers unchanged.
func (Dialect) Attempt(a core.Attempt) upstream.Call {
	own := [][2]string{
		{"X-Request-Id", a.ClientRequestID},
		{"X-Deadline-Ms", strconv.FormatInt(max(1, a.Timeout.Milliseconds()), 10)},
	}
	return upstream.Call{
		Method: a.Payload.Method, Target: a.Payload.Target, Body: a.Payload.Body,
		Header: append(own, a.Payload.Header...),
	}
}

// notForwarded are the headers that are not forwarded to engines: hop-by-hop headers, those that the
// gateway sets itself or that concern its own response, and credentials.
var notForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Host": true,
	"Accept-Encoding": true, "Range": true,
	"X-Request-Id": true, "X-Deadline-Ms": true,
	"Authorization": true, "Proxy-Authorization": true, "Cookie": true,
}

// forwardedHeaders returns the headers that are forwarded to an engine: engines of a deduplicated class
// recognise duplicates by a key in them, and engines may read others.
func forwardedHeaders(h http.Header) [][2]string {
	named := map[string]bool{} // hop-by-hop headers, by the client's Connection header
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	all := make([][2]string, 0, len(h))
	for name, values := range h {
		if notForwarded[name] || named[name] {
			continue
		}
		for _, v := range values {
			all = append(all, [2]string{name, v})
		}
	}
	if _, has := h["Content-Type"]; !has {
		all = append(all, [2]string{"Content-Type", "application/json"})
	}
	return all
}

// ParseResponse maps statuses by the protocol's table. Only X-Not-Run proves that the engine rejected the
// request: after a bare 503 it may have run.
func (Dialect) ParseResponse(status int, h http.Header, body []byte) core.Result {
	r := core.Result{Report: loadReport([]byte(h.Get("X-Load")))}
	notRun := h.Get("X-Not-Run") == "1"
	switch {
	case status == http.StatusOK: // of a probe; an attempt's is a stream
		r.Status, r.Report = routing.StatusServed, loadReport(body)
	case status == http.StatusAccepted:
		var usage struct {
			Tokens int `json:"cached_tokens"`
		}
		// The prompt has been read even if the body is malformed.
		_ = jsoniter.Unmarshal(body, &usage)
		r.Status, r.CachedTokens = routing.StatusPrefilled, max(0, usage.Tokens)
	case notRun:
		r.Status, r.StateMissing = routing.StatusRejected, status == http.StatusGone
	default:
		r.Status = routing.StatusError
	}
	return r
}

// Tail reads the usage, and a load report if the engine sent one as a comment.
func (Dialect) Tail(tail []byte, r *core.Result) {
	r.CachedTokens, r.OutputTokens = upstream.Usage(tail)
	for line := range bytes.Lines(tail) {
		if load, is := bytes.CutPrefix(line, []byte(": X-Load:")); is {
			r.Report = loadReport(load)
		}
	}
}

// Release deletes the bootstrap room of a request.
func (Dialect) Release(id string) (upstream.Call, bool) {
	return upstream.Call{Method: http.MethodDelete, Target: "/bootstrap/rooms/" + id}, true
}

// Probe requests the load report.
func (Dialect) Probe() (upstream.Call, bool) {
	return upstream.Call{Method: http.MethodGet, Target: "/load"}, true
}

func loadReport(raw []byte) *routing.LoadReport {
	if len(bytes.TrimSpace(raw)) == 0 {
		return nil
	}
	var values map[string]float64
	if jsoniter.Unmarshal(raw, &values) != nil {
		return nil
	}
	return settings.ParseLoadReport(values)
}
