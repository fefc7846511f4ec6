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

// Dialect is how the platform's engines are spoken with.
type Dialect struct{}

// Attempt passes method, target, body, id and the client's own headers unchanged.
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

// notPassed are the headers that end at a gateway: those of one connection, by the standard,
// those that it words anew or that say how it is to be answered itself, and what a client
// proves itself with.
var notPassed = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Host": true,
	"Accept-Encoding": true, "Range": true,
	"X-Request-Id": true, "X-Deadline-Ms": true,
	"Authorization": true, "Proxy-Authorization": true, "Cookie": true,
}

// passed returns the headers that go on to an engine: engines of a guarded class tell
// repeats by a key that the client has put there, and others may read more.
func passed(h http.Header) [][2]string {
	named := map[string]bool{} // by the client's Connection, as its connection's alone
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	all := make([][2]string, 0, len(h))
	for name, values := range h {
		if notPassed[name] || named[name] {
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

// Judge maps statuses by the protocol's table. Only X-Not-Run proves that the
// request was turned away: a bare 503 may have run.
func (Dialect) Judge(status int, h http.Header, body []byte) core.Result {
	r := core.Result{Report: loadReport([]byte(h.Get("X-Load")))}
	turnedAway := h.Get("X-Not-Run") == "1"
	switch {
	case status == http.StatusOK: // of a probe; an attempt's is a stream
		r.Status, r.Report = routing.StatusServed, loadReport(body)
	case status == http.StatusAccepted:
		var kept struct {
			Tokens int `json:"cached_tokens"`
		}
		// Without a body that makes sense the prompt is read all the same.
		_ = jsoniter.Unmarshal(body, &kept)
		r.Status, r.CachedTokens = routing.StatusPrefilled, max(0, kept.Tokens)
	case turnedAway:
		r.Status, r.StateMissing = routing.StatusRejected, status == http.StatusGone
	default:
		r.Status = routing.StatusError
	}
	return r
}

// Tail reads the usage, and a load report if one came as a comment.
func (Dialect) Tail(tail []byte, r *core.Result) {
	r.CachedTokens, r.OutputTokens = upstream.Usage(tail)
	for line := range bytes.Lines(tail) {
		if load, is := bytes.CutPrefix(line, []byte(": X-Load:")); is {
			r.Report = loadReport(load)
		}
	}
}

// Release names the room of a request.
func (Dialect) Release(id string) (upstream.Call, bool) {
	return upstream.Call{Method: http.MethodDelete, Target: "/bootstrap/rooms/" + id}, true
}

// Probe asks for the load report.
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
	return settings.ReadReport(values)
}
