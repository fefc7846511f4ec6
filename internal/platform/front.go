package platform

import (
	"context"
	"errors"
	"io"
	"maps"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"wellgw/decide/lifecycle"
	"wellgw/decide/replay"
	"wellgw/internal/clientconn"
	"wellgw/internal/core"
	"wellgw/internal/requestids"
	"wellgw/routing"
)

// Limits of clients' requests and connections.
const (
	maxDuration    = time.Hour       // maximum deadline or duration hint
	maxTokens      = 1 << 30         // maximum length in tokens
	busyRetryAfter = time.Second     // Retry-After while the memory for request bodies is exhausted
	writeTimeout   = 5 * time.Second // of one write, for a client that does not read
)

// Front is the HTTP handler for the platform's clients.
type Front struct {
	core    *core.Core
	bodies  *clientconn.Budget
	ids     *requestids.Store
	classes atomic.Pointer[map[string]routing.Effect] // of the known classes; replaced when settings change
	service atomic.Pointer[lifecycle.Service]
}

// SetService sets the service that clients get in the current state of the process: health, keep-alive
// and whether requests are accepted.
func (f *Front) SetService(s lifecycle.Service) { f.service.Store(&s) }

// NewFront returns a front that submits requests of these classes to c. ids remembers the ids of requests that
// must not run twice.
func NewFront(c *core.Core, classes []routing.Class, bodies *clientconn.Budget, ids *requestids.Store) *Front {
	f := &Front{core: c, bodies: bodies, ids: ids}
	f.SetService(lifecycle.FullService())
	f.classes.Store(&map[string]routing.Effect{})
	f.AddClasses(classes)
	return f
}

// AddClasses adds these classes to those that the front accepts. Classes that the settings no longer have
// are still accepted: clients may already have sent requests of them, and the routing policy keeps the
// last settings of each class.
func (f *Front) AddClasses(classes []routing.Class) {
	known := maps.Clone(*f.classes.Load())
	for _, class := range classes {
		known[class.Name] = class.Effect
	}
	f.classes.Store(&known)
}

// ServeHTTP serves chat completions and health checks.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.announceClose(w, r)
	switch r.URL.Path {
	case "/healthz":
		if !f.core.Ready() || !f.service.Load().Healthy {
			http.Error(w, "no engine to send to", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ok\n")
	case "/v1/chat/completions":
		f.chat(w, r)
	default:
		clientconn.CloseIfBodyUnread(w, r)
		http.NotFound(w, r)
	}
}

// announceClose sets Connection: close if the connection will be closed after this response.
func (f *Front) announceClose(w http.ResponseWriter, r *http.Request) {
	if !f.service.Load().KeepAlive && clientconn.NothingReadAhead(r.Context()) {
		w.Header().Set("Connection", "close")
	}
}

// chat serves a chat completion.
func (f *Front) chat(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if r.Method != http.MethodPost {
		clientconn.CloseIfBodyUnread(w, r)
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "POST only", http.StatusMethodNotAllowed)
		return
	}
	q, err := f.parse(r)
	if err != nil {
		clientconn.CloseIfBodyUnread(w, r)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	q.Arrived = arrived
	q.Payload = core.Payload{Method: r.Method, Target: r.URL.RequestURI(), Header: forwardedHeaders(r.Header)}
	body, releaseBody, err := f.bodies.Read(w, r)
	if err != nil {
		rejectBody(w, r, err)
		return
	}
	defer releaseBody()
	if !f.service.Load().AcceptsRequest(time.Now()) {
		f.announceClose(w, r)
		writeAnswer(w, core.Answer{Verdict: core.Rejected})
		return
	}
	q.Payload.Body = body
	q.ClientLeft = func() bool { return clientconn.Disconnected(r.Context()) }
	if refusal, refused := f.claimID(q); refused {
		writeAnswer(w, refusal)
		return
	}
	answer, ticket, connected := core.SubmitAndWait(r.Context(), f.core, q)
	if !connected {
		f.releaseID(q, ticket.Sent(context.WithoutCancel(r.Context())))
		panic(http.ErrAbortHandler) // the client has disconnected
	}
	f.releaseID(q, answer.Sent || answer.Verdict == core.Duplicate)
	f.announceClose(w, r) // the state of the process may have changed while the request waited
	if answer.Verdict == core.Streaming {
		f.stream(r.Context(), w, answer.Stream, ticket)
		return
	}
	writeAnswer(w, answer)
}

// claimID records the id of a request that must not run twice. It returns the answer to one that is refused.
func (f *Front) claimID(q core.Request) (refusal core.Answer, refused bool) {
	if (*f.classes.Load())[q.Class] == routing.EffectIdempotent {
		return core.Answer{}, false
	}
	switch f.ids.Claim(q.ClientRequestID) {
	case replay.Replay:
		return core.Answer{Verdict: core.Duplicate}, true
	case replay.Full:
		return core.Answer{Verdict: core.Rejected, RetryAfter: busyRetryAfter}, true
	}
	return core.Answer{}, false
}

// releaseID forgets the id of a request of which nothing was sent to an engine.
func (f *Front) releaseID(q core.Request, sent bool) {
	if !sent && (*f.classes.Load())[q.Class] != routing.EffectIdempotent {
		f.ids.Release(q.ClientRequestID)
	}
}

// rejectBody responds to a request whose body could not be read; err is the cause.
func rejectBody(w http.ResponseWriter, r *http.Request, err error) {
	clientconn.CloseIfBodyUnread(w, r)
	switch {
	case errors.Is(err, clientconn.ErrBodyBudgetExceeded):
		writeAnswer(w, core.Answer{Verdict: core.Rejected, RetryAfter: busyRetryAfter})
	case errors.Is(err, clientconn.ErrBodyTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, clientconn.ErrRequestExpired):
		writeAnswer(w, core.Answer{Verdict: core.Rejected})
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// writeAnswer writes a response that is not a stream. Statuses 429 and 503, and no others, promise the
// client that a retry is safe, so a failed request must never get either.
func writeAnswer(w http.ResponseWriter, a core.Answer) {
	switch a.Verdict {
	case core.Rejected:
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", formatRetryAfter(a.RetryAfter))
		}
		http.Error(w, "no server can take this in time", http.StatusServiceUnavailable)
	case core.Duplicate:
		http.Error(w, "a request of this id is in hand, or has run", http.StatusConflict)
	case core.DeadlineExceeded:
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
	default:
		if a.Status == routing.StatusTimeout {
			http.Error(w, "no answer in time", http.StatusGatewayTimeout)
			return
		}
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

// formatRetryAfter formats a Retry-After in seconds with up to three decimals, rounded up so that a
// positive duration never becomes 0.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*1000)/1000, 'f', -1, 64)
}

// stream forwards an attempt's events, unchanged and as they arrive. If the stream breaks, the connection
// is closed without the last chunk, the only sign for the client that the response is incomplete.
func (f *Front) stream(ctx context.Context, w http.ResponseWriter, s core.Stream, t *core.Ticket) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	controller := http.NewResponseController(w)
	err := t.Relay(ctx, s, func(p []byte) error {
		if err := controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := w.Write(p); err != nil {
			return err
		}
		return controller.Flush()
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	// The connection may be reused, so the stream's write deadline must not remain set.
	_ = controller.SetWriteDeadline(time.Time{})
}

// validID reports whether an id can be used in a header and in a URL path without escaping.
func validID(id string) bool {
	invalid := func(r rune) bool {
		return !(r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || strings.ContainsRune("_.:-", r))
	}
	return id != "" && len(id) <= 64 && !strings.ContainsFunc(id, invalid)
}

// headerError is an invalid header of a request.
type headerError struct{ header, problem string }

func (e headerError) Error() string { return e.header + ": " + e.problem }

// parse reads a request's headers. An error names the header that is missing or malformed.
func (f *Front) parse(r *http.Request) (core.Request, error) {
	h := r.Header
	q := core.Request{ClientRequestID: h.Get("X-Request-Id")}
	q.Class, q.Tenant, q.Session = h.Get("X-Class"), h.Get("X-Tenant"), h.Get("X-Key")
	if !validID(q.ClientRequestID) {
		return q, headerError{"X-Request-Id", "missing or malformed"}
	}
	if _, known := (*f.classes.Load())[q.Class]; !known {
		return q, headerError{"X-Class", "missing or unknown"}
	}
	if len(q.Session) > 256 {
		return q, headerError{"X-Key", "too long"}
	}
	ms, err := strconv.ParseInt(h.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > maxDuration.Milliseconds() {
		return q, headerError{"X-Deadline-Ms", "missing or malformed"}
	}
	q.TTL = time.Duration(ms) * time.Millisecond
	if v := h.Get("X-Cost-Hint"); v != "" {
		us, err := strconv.ParseFloat(v, 64)
		if err != nil || !(us >= 0 && us <= float64(maxDuration.Microseconds())) {
			return q, headerError{"X-Cost-Hint", "malformed"}
		}
		q.DurationHint = time.Duration(us * float64(time.Microsecond))
	}
	switch v := h.Get("X-Retry"); v {
	case "":
	case "again":
		q.Reconnect = true
	default:
		q.Retry = true
	}
	return q, parseExtras(h.Get("X-Extras"), &q)
}

// parseExtras reads the prefix's name and the lengths in tokens from X-Extras.
func parseExtras(text string, q *core.Request) error {
	lengths := map[string]*int{"prompt_len": &q.PromptTokens, "prefix_len": &q.PrefixLen, "max_out": &q.MaxTokens}
	given := map[string]bool{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name == "prefix" && value != "0" {
			q.Prefix = value
		}
		if length := lengths[name]; length != nil {
			n, err := strconv.ParseFloat(value, 64)
			if err != nil || !(n >= 0 && n <= maxTokens) {
				return headerError{"X-Extras", name + " is malformed"}
			}
			*length, given[name] = int(n), true
		}
	}
	if !given["prompt_len"] {
		return headerError{"X-Extras", "prompt_len is missing"}
	}
	return nil
}
