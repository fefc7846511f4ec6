package openai

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"wellgw/decide/deduplication"
	"wellgw/decide/lifecycle"
	"wellgw/internal/clientconn"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/idempotency"
	"wellgw/internal/streambuffer"
)

// Bounds towards callers.
const (
	writeLimit = 5 * time.Second // a caller that takes no byte for this long is given up
	writePart  = 8               // of the limit: how exactly that is kept
	stallLimit = 250 * time.Millisecond
	heldEach   = 256 << 10   // bytes of a stream that are held for a slow caller
	busyPause  = time.Second // after which there may be memory for a body again
	keyPause   = time.Second // after which a request under way may have ended
	roomPause  = 5 * time.Second
	maxKey     = 255 // bytes of an idempotency key
)

// Options are what a front is made of.
type Options struct {
	Core   *core.Core
	File   *config.Operator
	Bodies *clientconn.Budget
	Keys   *idempotency.Store // of requests that must not run twice
	Held   int64              // bytes that are held for all slow callers together, and of answers under way that are to be kept
	// Others tells whether other gateways serve the same clients; nil for none.
	Others func() bool
}

// Front answers callers of the chat API.
type Front struct {
	core    *core.Core
	bodies  *clientconn.Budget
	keys    *idempotency.Store
	others  func() bool
	bounds  *streambuffer.Limits
	book    atomic.Pointer[book]
	started time.Time
	service atomic.Pointer[lifecycle.Service]

	counts   counts
	keeping  atomic.Int64 // bytes of answers under way that are to be kept
	keepMost int64
}

// book is what an operator's file says of callers and models.
type book struct {
	teams     map[[sha256.Size]byte]*config.Team // by the hash of a key, so that look-up time tells nothing of keys
	contracts map[string]config.Contract         // by model
	models    []string
}

// NewFront returns a front to a core whose classes are the operator's contracts
// and whose tenants are the teams.
func NewFront(o Options) *Front {
	f := &Front{
		core: o.Core, bodies: o.Bodies, keys: o.Keys, others: o.Others, started: time.Now(),
		bounds: streambuffer.NewLimits(stallLimit, heldEach, o.Held), keepMost: o.Held,
	}
	f.SetService(lifecycle.FullService())
	f.Reload(o.File)
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

// SetService goes by what clients get from now on.
func (f *Front) SetService(s lifecycle.Service) { f.service.Store(&s) }

// ServeHTTP serves the chat API, the list of models and the health check.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.announceClose(w, r)
	if r.URL.Path == "/healthz" {
		if !f.core.Ready() || !f.service.Load().Healthy {
			http.Error(w, "no engine to send to", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ok\n")
		return
	}
	var raw [12]byte
	rand.Read(raw[:])
	id := hex.EncodeToString(raw[:])
	w.Header()["X-Request-Id"] = []string{id}
	b := f.book.Load() // one for the whole request, whatever is read anew meanwhile
	team := b.team(r)
	if team == nil {
		clientconn.Reject(w, r)
		w.Header().Set("WWW-Authenticate", "Bearer")
		apiError{status: http.StatusUnauthorized, kind: typeRequest, code: codeKey, text: "missing or unknown API key"}.send(w)
		return
	}
	model, one := strings.CutPrefix(r.URL.Path, modelPath+"/")
	post := slices.Contains([]string{chatPath, completionPath, embeddingPath, responsePath}, r.URL.Path)
	switch {
	case post && r.Method == http.MethodPost:
		f.call(w, r, b, team, id)
	case (r.URL.Path == modelPath || one) && r.Method == http.MethodGet:
		b.list(w, team, model, one, f.started)
	case post || r.URL.Path == modelPath || one:
		clientconn.Reject(w, r)
		w.Header().Set("Allow", map[bool]string{true: http.MethodPost, false: http.MethodGet}[post])
		apiError{status: http.StatusMethodNotAllowed, kind: typeRequest, code: codeMethod, text: "method not allowed"}.send(w)
	default:
		clientconn.Reject(w, r)
		apiError{status: http.StatusNotFound, kind: typeRequest, code: codeURL, text: "no such path"}.send(w)
	}
}

// announceClose tells the caller that its connection ends with this answer, if that is so.
func (f *Front) announceClose(w http.ResponseWriter, r *http.Request) {
	if !f.service.Load().Reusable && clientconn.NothingAhead(r.Context()) {
		w.Header().Set("Connection", "close")
	}
}

// team is the caller's by its key, nil for none.
func (b *book) team(r *http.Request) *config.Team {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return nil
	}
	return b.teams[sha256.Sum256([]byte(strings.TrimSpace(key)))]
}

// list tells of models, and of the contract that each is served under.
func (b *book) list(w http.ResponseWriter, team *config.Team, name string, one bool, started time.Time) {
	all := []any{}
	for _, m := range b.models {
		if !slices.Contains(team.Models, m) || one && m != name {
			continue
		}
		c := b.contracts[m]
		all = append(all, map[string]any{
			"id": m, "object": "model", "created": started.Unix(), "owned_by": "wellgw",
			"contract": map[string]any{"name": c.Name, "effect": c.Effect, "aim_ms": c.AimMS, "deadline_ms": c.DeadlineMS, "worth": c.Worth},
		})
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

// call serves one request to a model.
func (f *Front) call(w http.ResponseWriter, r *http.Request, b *book, team *config.Team, id string) {
	arrived := time.Now()
	raw, free, ok := f.body(w, r, team)
	if !ok {
		return
	}
	defer free()
	a, typed, contract, err := b.accept(r.URL.Path, raw, team)
	if err != nil {
		err.send(w)
		return
	}
	once := contract.Effect != config.EffectFree
	h := head{id: "chatcmpl-" + id, model: a.model, object: "chat.completion", created: arrived.Unix()}
	if a.path == completionPath {
		h.id, h.object = "cmpl-"+id, "text_completion"
	}
	c := &call{
		Front: f, w: w, r: r, out: http.NewResponseController(w), ask: a, head: h, once: once, contract: contract, team: team, arrived: arrived,
		ending: deduplication.Result{MayHaveRun: true}, form: formOf(a, typed, h, contract),
	}
	if once {
		if answered := c.claim(raw); answered {
			return
		}
		defer c.settle()
	}
	c.carry()
}

// body reads a request's body; false if there is none to go on with, and the client has been told.
func (f *Front) body(w http.ResponseWriter, r *http.Request, team *config.Team) (raw []byte, free func(), ok bool) {
	raw, free, err := f.bodies.Read(w, r)
	switch {
	case errors.Is(err, clientconn.ErrTooBig):
		clientconn.Reject(w, r)
		apiError{status: http.StatusRequestEntityTooLarge, kind: typeRequest, code: codeTooBig, text: err.Error()}.send(w)
	case err == nil && !f.service.Load().AcceptsRequest(time.Now()), errors.Is(err, clientconn.ErrLate):
		if err == nil {
			free()
		}
		clientconn.Reject(w, r)
		f.announceClose(w, r)
		f.spareKey(r, team)
		refusal(core.Answer{Verdict: core.Rejected, RetryAfter: busyPause}, false).send(w)
	case errors.Is(err, clientconn.ErrBusy):
		f.spareKey(r, team)
		refusal(core.Answer{Verdict: core.Rejected, RetryAfter: busyPause}, false).send(w)
	case err != nil:
		clientconn.Reject(w, r)
		badRequest(err.Error(), "").send(w)
	default:
		return raw, free, true
	}
	return nil, nil, false
}

// spareKey notes that a request was turned away before it was read: its key has not run.
func (f *Front) spareKey(r *http.Request, team *config.Team) {
	if name := r.Header.Get(keyHeader); name != "" && len(name) <= maxKey && f.keys != nil {
		f.keys.RecordRefusal(deduplication.Key{Team: team.Name, Name: name})
	}
}

// accept parses a request and finds its contract. The error is what its client is told.
func (b *book) accept(path string, raw []byte, team *config.Team) (*apiRequest, *typedAnswer, config.Contract, *apiError) {
	var a *apiRequest
	var typed *typedAnswer // of /v1/responses
	var err error
	if path == responsePath {
		a, typed, err = parseResponses(raw, team.Name)
	} else {
		a, err = parse(path, raw, team.Name)
	}
	if err != nil {
		var p paramError
		errors.As(err, &p)
		wrong := badRequest(err.Error(), p.param)
		return nil, nil, config.Contract{}, &wrong
	}
	contract, known := b.contracts[a.model]
	if !known || !slices.Contains(team.Models, a.model) {
		wrong := noModel(a.model)
		return nil, nil, config.Contract{}, &wrong
	}
	if a.path == embeddingPath && contract.Effect != config.EffectFree {
		wrong := badRequest("model: embeddings need a model under a free contract", "model")
		return nil, nil, config.Contract{}, &wrong
	}
	return a, typed, contract, nil
}

// carry submits the request and gives its client the answer.
func (c *call) carry() {
	answer, ticket, here := c.submit(c.ask, c.head.id)
	c.announceClose(c.w, c.r) // the request may have waited since before the gateway began to leave
	if !here {
		c.ending.MayHaveRun = !c.once || ticket.MayHaveRun(context.WithoutCancel(c.r.Context()))
		panic(http.ErrAbortHandler) // the caller has gone: there is nobody to answer
	}
	rates(c.w.Header(), answer)
	if answer.Verdict != core.Streaming {
		c.ending = deduplication.Result{
			Refused: answer.Verdict == core.Rejected || answer.Verdict == core.Duplicate, RejectedByEngine: rejected(answer) != nil, MayHaveRun: answer.MayHaveRun,
		}
		refusal(answer, c.once && c.ending.Outcome() == deduplication.OutcomeIndeterminate).send(c.w)
		return
	}
	c.serve(answer.Stream, ticket)
}

// formOf is the way in which a call's client gets its answer.
func formOf(a *apiRequest, typed *typedAnswer, h head, contract config.Contract) form {
	switch {
	case typed != nil:
		typed.head, typed.streams = h, a.stream
		return typed
	case a.path == embeddingPath:
		return &plain{head: h}
	case !a.stream:
		return &whole{head: h}
	}
	if a.path == chatPath {
		h.object = "chat.completion.chunk"
	}
	return newRewriter(h, a.usage, contract.Continue > 0)
}

// rates tells a team with a budget how it stands, at this gateway.
func rates(h http.Header, a core.Answer) {
	if a.Quota == nil {
		return
	}
	full := a.Quota.ResetIn
	if a.OverQuota {
		full = max(full, a.RetryAfter)
	}
	h["X-Ratelimit-Limit-Requests"] = []string{strconv.Itoa(int(a.Quota.Burst))}
	h["X-Ratelimit-Remaining-Requests"] = []string{strconv.Itoa(int(a.Quota.Remaining))}
	h["X-Ratelimit-Reset-Requests"] = []string{full.Round(time.Millisecond).String()}
}
