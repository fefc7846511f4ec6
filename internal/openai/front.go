package openai

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/intake"
	"wellgw/ringdale"
)

// Bounds towards callers.
const (
	writeLimit = 5 * time.Second // a caller that takes no byte for this long is given up
	busyPause  = time.Second     // after which there may be memory for a body again
	chatPath   = "/v1/chat/completions"
)

// Front answers callers of the chat API.
type Front struct {
	core    *core.Core
	bodies  *intake.Budget
	book    atomic.Pointer[book]
	started time.Time
	closing atomic.Bool
}

// book is what an operator's file says of callers and models.
type book struct {
	teams     map[[sha256.Size]byte]*config.Team // by the hash of a key, so that look-up time tells nothing of keys
	contracts map[string]config.Contract         // by model
	models    []string
}

// NewFront returns a front to a core whose classes are the operator's contracts
// and whose tenants are the teams.
func NewFront(c *core.Core, o *config.Operator, bodies *intake.Budget) *Front {
	f := &Front{core: c, bodies: bodies, started: time.Now()}
	f.Reload(o)
	return f
}

// Reload goes by another file from the next request on. Its contracts and teams
// must be those the module knows; see config.Operator.Takes.
func (f *Front) Reload(o *config.Operator) {
	b := &book{teams: map[[sha256.Size]byte]*config.Team{}, contracts: map[string]config.Contract{}}
	for i := range o.Teams {
		for _, k := range o.Teams[i].Keys {
			b.teams[sha256.Sum256([]byte(k))] = &o.Teams[i]
		}
	}
	for _, m := range o.Models {
		b.models = append(b.models, m.Name)
		for _, c := range o.Contracts {
			if c.Name == m.Contract {
				b.contracts[m.Name] = c
			}
		}
	}
	f.book.Store(b)
}

// Close has every answer from now on end its connection.
func (f *Front) Close() { f.closing.Store(true) }

// apiError is an OpenAI error object with its HTTP status.
type apiError struct {
	status           int
	kind, code, text string
	param            string
	retryAfter       time.Duration
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
	w.Header().Set("Content-Type", "application/json")
	if e.retryAfter > 0 {
		// Whole seconds by the HTTP standard; callers' libraries know the finer one.
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
		w.Header().Set("Retry-After-Ms", strconv.FormatInt(max(1, e.retryAfter.Milliseconds()), 10))
	}
	w.WriteHeader(e.status)
	w.Write(append(e.object(), '\n'))
}

func badRequest(text, param string) apiError {
	return apiError{status: http.StatusBadRequest, kind: "invalid_request_error", text: text, param: param}
}

// ServeHTTP serves the chat API, the list of models and the health check.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.lastOnes(w)
	if r.URL.Path == "/healthz" {
		if !f.core.Ready() || f.closing.Load() {
			http.Error(w, "no engine to send to", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ok\n")
		return
	}
	team := f.team(r)
	if team == nil {
		intake.Reject(w, r)
		w.Header().Set("WWW-Authenticate", "Bearer")
		apiError{status: http.StatusUnauthorized, kind: "invalid_request_error", code: "invalid_api_key", text: "missing or unknown API key"}.send(w)
		return
	}
	model, one := strings.CutPrefix(r.URL.Path, "/v1/models/")
	switch {
	case r.URL.Path == chatPath && r.Method == http.MethodPost:
		f.chat(w, r, team)
	case (r.URL.Path == "/v1/models" || one) && r.Method == http.MethodGet:
		f.list(w, team, model, one)
	case r.URL.Path == chatPath || r.URL.Path == "/v1/models" || one:
		intake.Reject(w, r)
		apiError{status: http.StatusMethodNotAllowed, kind: "invalid_request_error", text: "method not allowed"}.send(w)
	default:
		intake.Reject(w, r)
		apiError{status: http.StatusNotFound, kind: "invalid_request_error", code: "unknown_url", text: "no such path"}.send(w)
	}
}

// lastOnes has the caller close its connection if the gateway is leaving.
func (f *Front) lastOnes(w http.ResponseWriter) {
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
}

func (f *Front) team(r *http.Request) *config.Team {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return nil
	}
	return f.book.Load().teams[sha256.Sum256([]byte(strings.TrimSpace(key)))]
}

func noModel(name string) apiError {
	return apiError{status: http.StatusNotFound, kind: "invalid_request_error", code: "model_not_found", param: "model",
		text: "the model " + name + " does not exist or is not open to this team"}
}

func (f *Front) list(w http.ResponseWriter, team *config.Team, name string, one bool) {
	all := []any{}
	for _, m := range f.book.Load().models {
		if !slices.Contains(team.Models, m) || one && m != name {
			continue
		}
		all = append(all, map[string]any{"id": m, "object": "model", "created": f.started.Unix(), "owned_by": "wellgw"})
	}
	var body any = map[string]any{"object": "list", "data": all}
	if one {
		if len(all) == 0 {
			noModel(name).send(w)
			return
		}
		body = all[0]
	}
	w.Header().Set("Content-Type", "application/json")
	codec.NewEncoder(w).Encode(body)
}

func (f *Front) chat(w http.ResponseWriter, r *http.Request, team *config.Team) {
	arrived := time.Now()
	raw, free, err := f.bodies.Read(w, r)
	switch {
	case errors.Is(err, intake.ErrTooBig):
		intake.Reject(w, r)
		apiError{status: http.StatusRequestEntityTooLarge, kind: "invalid_request_error", text: err.Error()}.send(w)
		return
	case errors.Is(err, intake.ErrBusy):
		refusal(core.Answer{Verdict: core.Refused, RetryAfter: busyPause}).send(w)
		return
	case err != nil:
		intake.Reject(w, r)
		badRequest(err.Error(), "").send(w)
		return
	}
	defer free()
	chat, body, err := parseChat(raw)
	if err != nil {
		var p paramError
		errors.As(err, &p)
		badRequest(err.Error(), p.param).send(w)
		return
	}
	contract, known := f.book.Load().contracts[chat.Model]
	if !known || !slices.Contains(team.Models, chat.Model) {
		noModel(chat.Model).send(w)
		return
	}
	var id [12]byte
	rand.Read(id[:])
	h := head{id: "chatcmpl-" + hex.EncodeToString(id[:]), model: chat.Model, created: arrived.Unix()}
	s := chat.derive(team.Name)
	q := core.Request{
		Wire: h.id, Arrived: arrived,
		Payload: core.Payload{Method: http.MethodPost, Target: chatPath, Body: body},
	}
	q.Request = ringdale.Request{
		Class: contract.Name, Tenant: team.Name, Session: s.session, Prefix: s.opening, PrefixLen: s.openingLen,
		Prompt: s.prompt, MaxTokens: s.maxOut, TTL: contract.Deadline(),
	}
	answer, ticket, here := core.Await(r.Context(), f.core, q)
	f.lastOnes(w) // the request may have waited since before the gateway began to leave
	switch {
	case !here:
		panic(http.ErrAbortHandler) // the caller has gone: there is nobody to answer
	case answer.Verdict != core.Serving:
		refusal(answer).send(w)
	case chat.Stream:
		f.stream(r.Context(), w, answer.Stream, ticket, h, chat.StreamOptions.IncludeUsage)
	default:
		f.collect(r.Context(), w, answer.Stream, ticket, h)
	}
}

// refusal words a final answer that is no stream. Only 429 and 503 say that trying
// again is harmless; 502 and 504 promise nothing.
func refusal(a core.Answer) apiError {
	var e *EngineError
	if errors.As(a.Cause, &e) && slices.Contains([]int{http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity}, e.Status) {
		return badRequest("the engine did not accept the request: "+firstLine(string(e.Body)), "")
	}
	switch {
	case a.Verdict == core.Refused && a.OverQuota:
		return apiError{status: http.StatusTooManyRequests, kind: "rate_limit_error", code: "rate_limit_exceeded",
			text: "the team's budget is spent for now", retryAfter: a.RetryAfter}
	case a.Verdict == core.Refused:
		return apiError{status: http.StatusServiceUnavailable, kind: "server_error", code: "overloaded",
			text: "no engine can take this in time; nothing was done", retryAfter: a.RetryAfter}
	case a.Verdict == core.Overdue || a.Status == ringdale.StatusTimeout:
		return apiError{status: http.StatusGatewayTimeout, kind: "server_error", code: "timeout",
			text: "no engine answered in time; the request may have been carried out"}
	}
	return apiError{status: http.StatusBadGateway, kind: "server_error", code: "engine_failed",
		text: "an engine failed; the request may have been carried out"}
}

// stream passes an attempt's events on as they come. If they break, an error event
// tells the caller and the connection ends without the last chunk: the request has
// had its one final answer and is not sent again.
func (f *Front) stream(ctx context.Context, w http.ResponseWriter, s core.Stream, t *core.Ticket, h head, usage bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	out := http.NewResponseController(w)
	send := func(data []byte) error {
		if err := out.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
			return err
		}
		if _, err := w.Write(slices.Concat([]byte("data: "), data, []byte("\n\n"))); err != nil {
			return err
		}
		return out.Flush()
	}
	split := &events{each: func(data []byte) error {
		if string(data) == done {
			return send(data)
		}
		var c chunk
		if err := codec.Unmarshal(data, &c); err != nil {
			return errors.New("an event that is not a chunk")
		}
		if len(c.Choices) == 0 && c.Usage != nil && !usage {
			return nil // asked for by the gateway, not by the caller
		}
		if c.Error != nil {
			return send(data)
		}
		full, err := h.fill(data)
		if err != nil {
			return err
		}
		return send(full)
	}}
	if err := t.Relay(ctx, s, split.write); err != nil {
		if ctx.Err() == nil {
			_ = send(apiError{kind: "server_error", code: "stream_broken",
				text: "the stream broke; the request may have been carried out"}.object())
		}
		panic(http.ErrAbortHandler)
	}
	_ = out.SetWriteDeadline(time.Time{})
}

// collect answers a caller that does not stream, once the stream is whole.
func (f *Front) collect(ctx context.Context, w http.ResponseWriter, s core.Stream, t *core.Ticket, h head) {
	answer := &whole{}
	split := &events{each: answer.add}
	err := t.Relay(ctx, s, split.write)
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if err == nil && answer.ended {
		if body, err := answer.completion(h); err == nil {
			w.Header().Set("Content-Type", "application/json")
			w.Write(append(body, '\n'))
			return
		}
	}
	refusal(core.Answer{Verdict: core.Failed, Status: ringdale.StatusReset}).send(w)
}
