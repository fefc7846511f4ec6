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

// Limits for clients.
const (
	writeLimit           = 5 * time.Second // a client that accepts no byte for this long is disconnected
	writeDeadlineParts   = 8               // a write deadline is reused until 1/writeDeadlineParts of the limit has passed
	stallLimit           = 250 * time.Millisecond
	maxBufferPerClient   = 256 << 10       // bytes of a stream that are buffered for a slow client
	retryAfterBusy       = time.Second     // estimated time until memory for a body is free
	retryAfterInProgress = time.Second     // estimated time until the request in progress has ended
	retryAfterFull       = 5 * time.Second // estimated time until the table of idempotency keys has free entries
	maxKeyBytes          = 255             // bytes of an idempotency key
)

// Options are the dependencies and limits of a Front.
type Options struct {
	Core             *core.Core
	File             *config.Operator
	Bodies           *clientconn.Budget
	Keys             *idempotency.Store // of requests that must not be executed twice; nil disables idempotency keys
	MaxBufferedBytes int64              // total for all slow clients and, separately, for all answers recorded while they are sent
	MaxAnswerBytes   int64              // memory of all answers that are collected before they are sent; 0: they are collected one at a time
	// HasPeers reports whether other gateways serve the same clients; nil means that none do.
	HasPeers func() bool
}

// Front is the HTTP handler of the chat API. Its methods are safe for concurrent use.
type Front struct {
	core         *core.Core
	bodies       *clientconn.Budget
	keys         *idempotency.Store
	hasPeers     func() bool
	bufferLimits *streambuffer.Limits
	answers      *answerBudget
	catalog      atomic.Pointer[catalog]
	started      time.Time
	service      atomic.Pointer[lifecycle.Service]

	counts           counts
	recordedBytes    atomic.Int64 // total size of the answers that are recorded while they are sent
	maxRecordedBytes int64
}

// catalog holds the teams, models and contracts of one operator's file. It is immutable; a reload
// replaces it.
type catalog struct {
	teams     map[[sha256.Size]byte]*config.Team // by the SHA-256 of an API key, so that lookup times reveal nothing about keys
	contracts map[string]config.Contract         // by model
	models    []string
}

// NewFront returns a front for a core whose classes are the operator's contracts and whose
// tenants are the teams.
func NewFront(o Options) *Front {
	f := &Front{
		core: o.Core, bodies: o.Bodies, keys: o.Keys, hasPeers: o.HasPeers, started: time.Now(),
		bufferLimits: streambuffer.NewLimits(stallLimit, maxBufferPerClient, o.MaxBufferedBytes), maxRecordedBytes: o.MaxBufferedBytes,
		answers: newAnswerBudget(o.MaxAnswerBytes),
	}
	f.SetService(lifecycle.FullService())
	f.Reload(o.File)
	return f
}

// Reload replaces the operator's file for subsequent requests. Its contracts and teams must be
// those that the routing policy was started with; see config.Operator.CheckReload.
func (f *Front) Reload(o *config.Operator) {
	next := &catalog{teams: map[[sha256.Size]byte]*config.Team{}, contracts: map[string]config.Contract{}}
	for i := range o.Teams {
		for _, k := range o.Teams[i].Keys {
			next.teams[sha256.Sum256([]byte(k))] = &o.Teams[i]
		}
	}
	for _, m := range o.Models {
		next.models = append(next.models, m.Name)
		for _, c := range o.Contracts {
			if c.Name == m.Contract {
				next.contracts[m.Name] = c
			}
		}
	}
	f.catalog.Store(next)
}

// SetService sets the service offered to clients, which changes as the process starts and shuts
// down.
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
	catalog := f.catalog.Load() // used for the entire request, even if the file is reloaded meanwhile
	team := catalog.team(r)
	if team == nil {
		clientconn.CloseIfBodyUnread(w, r)
		w.Header().Set("WWW-Authenticate", "Bearer")
		apiError{status: http.StatusUnauthorized, errorType: typeRequest, code: codeAPIKey, message: "missing or unknown API key"}.send(w)
		return
	}
	model, single := strings.CutPrefix(r.URL.Path, modelPath+"/")
	post := slices.Contains([]string{chatPath, completionPath, embeddingPath, responsePath}, r.URL.Path)
	switch {
	case post && r.Method == http.MethodPost:
		f.call(w, r, catalog, team, id)
	case (r.URL.Path == modelPath || single) && r.Method == http.MethodGet:
		catalog.writeModels(w, team, model, single, f.started)
	case post || r.URL.Path == modelPath || single:
		clientconn.CloseIfBodyUnread(w, r)
		w.Header().Set("Allow", map[bool]string{true: http.MethodPost, false: http.MethodGet}[post])
		apiError{status: http.StatusMethodNotAllowed, errorType: typeRequest, code: codeMethod, message: "method not allowed"}.send(w)
	default:
		clientconn.CloseIfBodyUnread(w, r)
		apiError{status: http.StatusNotFound, errorType: typeRequest, code: codeURL, message: "no such path"}.send(w)
	}
}

// announceClose sets Connection: close if the connection will be closed after this answer.
func (f *Front) announceClose(w http.ResponseWriter, r *http.Request) {
	if !f.service.Load().KeepAlive && clientconn.NothingReadAhead(r.Context()) {
		w.Header().Set("Connection", "close")
	}
}

// team returns the team of the request's API key, nil if the key is missing or unknown.
func (c *catalog) team(r *http.Request) *config.Team {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return nil
	}
	return c.teams[sha256.Sum256([]byte(strings.TrimSpace(key)))]
}

// writeModels writes the team's models with their contracts or, if single is set, only the model of
// the given name.
func (c *catalog) writeModels(w http.ResponseWriter, team *config.Team, name string, single bool, started time.Time) {
	models := []any{}
	for _, m := range c.models {
		if !slices.Contains(team.Models, m) || single && m != name {
			continue
		}
		contract := c.contracts[m]
		models = append(models, map[string]any{
			"id": m, "object": "model", "created": started.Unix(), "owned_by": "wellgw",
			"contract": map[string]any{"name": contract.Name, "effect": contract.Effect, "aim_ms": contract.AimMS, "deadline_ms": contract.DeadlineMS, "worth": contract.Worth},
		})
	}
	var body any = map[string]any{"object": "list", "data": models}
	if single {
		if len(models) == 0 {
			unknownModel(name).send(w)
			return
		}
		body = models[0]
	}
	w.Header().Set("Content-Type", "application/json")
	codec.NewEncoder(w).Encode(body)
}

// call serves one request to a model.
func (f *Front) call(w http.ResponseWriter, r *http.Request, catalog *catalog, team *config.Team, id string) {
	arrived := time.Now()
	raw, release, ok := f.body(w, r, team)
	if !ok {
		return
	}
	defer release()
	a, responses, contract, err := catalog.accept(r.URL.Path, raw, team)
	if err != nil {
		err.send(w)
		return
	}
	atMostOnce := contract.Effect != config.EffectFree
	h := metadata{id: "chatcmpl-" + id, model: a.model, object: "chat.completion", created: arrived.Unix()}
	if a.path == completionPath {
		h.id, h.object = "cmpl-"+id, "text_completion"
	}
	c := &call{
		Front: f, w: w, r: r, controller: http.NewResponseController(w), request: a, metadata: h, atMostOnce: atMostOnce, contract: contract, team: team, arrived: arrived,
		result: deduplication.Result{MayHaveRun: true}, encoder: newEncoder(a, responses, h, contract),
	}
	if atMostOnce {
		if answered := c.claim(raw); answered {
			return
		}
		defer c.releaseKey()
	}
	if err := c.reserveMemory(); err != nil {
		c.refuseForMemory(err)
		return
	}
	defer c.memory.release()
	c.run()
}

// body reads a request's body. If ok is false, the request has been answered with an error;
// otherwise the caller must call release to return the body's memory to the budget.
func (f *Front) body(w http.ResponseWriter, r *http.Request, team *config.Team) (raw []byte, release func(), ok bool) {
	raw, release, err := f.bodies.Read(w, r)
	switch {
	case errors.Is(err, clientconn.ErrBodyTooLarge):
		clientconn.CloseIfBodyUnread(w, r)
		apiError{status: http.StatusRequestEntityTooLarge, errorType: typeRequest, code: codeTooBig, message: err.Error()}.send(w)
	case err == nil && !f.service.Load().AcceptsRequest(time.Now()), errors.Is(err, clientconn.ErrRequestExpired):
		if err == nil {
			release()
		}
		clientconn.CloseIfBodyUnread(w, r)
		f.announceClose(w, r)
		f.forgetKey(r, team)
		answerError(core.Answer{Verdict: core.Rejected, RetryAfter: retryAfterBusy}, false).send(w)
	case errors.Is(err, clientconn.ErrBodyBudgetExceeded):
		clientconn.CloseIfBodyUnread(w, r)
		f.forgetKey(r, team)
		answerError(core.Answer{Verdict: core.Rejected, RetryAfter: retryAfterBusy}, false).send(w)
	case err != nil:
		clientconn.CloseIfBodyUnread(w, r)
		badRequest(err.Error(), "").send(w)
	default:
		return raw, release, true
	}
	return nil, nil, false
}

// accept parses a request and looks up its contract. The error is the response to the client.
func (c *catalog) accept(path string, raw []byte, team *config.Team) (*apiRequest, *responsesEncoder, config.Contract, *apiError) {
	var a *apiRequest
	var responses *responsesEncoder // nil except for /v1/responses
	var err error
	if path == responsePath {
		a, responses, err = parseResponses(raw, team.Name)
	} else {
		a, err = parse(path, raw, team.Name)
	}
	if err != nil {
		var p paramError
		errors.As(err, &p)
		invalid := badRequest(err.Error(), p.param)
		return nil, nil, config.Contract{}, &invalid
	}
	contract, known := c.contracts[a.model]
	if !known || !slices.Contains(team.Models, a.model) {
		invalid := unknownModel(a.model)
		return nil, nil, config.Contract{}, &invalid
	}
	if a.path == embeddingPath && contract.Effect != config.EffectFree {
		invalid := badRequest("model: embeddings need a model under a free contract", "model")
		return nil, nil, config.Contract{}, &invalid
	}
	return a, responses, contract, nil
}

// run submits the request to the core and writes the answer to the client.
func (c *call) run() {
	answer, ticket, answered := c.submit(c.request, c.metadata.id)
	c.announceClose(c.w, c.r) // the process may have begun to shut down while the request was queued
	if !answered {
		c.result.MayHaveRun = !c.atMostOnce || ticket.MayHaveRun(context.WithoutCancel(c.r.Context()))
		panic(http.ErrAbortHandler) // the client has disconnected
	}
	setRateLimitHeaders(c.w.Header(), answer)
	if answer.Verdict != core.Streaming {
		c.result = deduplication.Result{
			Refused: answer.Verdict == core.Rejected || answer.Verdict == core.Duplicate, RejectedByEngine: engineRejection(answer) != nil, MayHaveRun: answer.MayHaveRun,
		}
		answerError(answer, c.atMostOnce && c.result.Outcome() == deduplication.OutcomeIndeterminate).send(c.w)
		return
	}
	c.stream(answer.Stream, ticket)
}

// newEncoder returns the encoder for a call's answer.
func newEncoder(a *apiRequest, responses *responsesEncoder, h metadata, contract config.Contract) encoder {
	e := encoderOf(a, responses, h, contract)
	e.progress().ExpectChoices(a.choices)
	return e
}

func encoderOf(a *apiRequest, responses *responsesEncoder, h metadata, contract config.Contract) encoder {
	switch {
	case responses != nil:
		responses.metadata, responses.streaming = h, a.stream
		return responses
	case a.path == embeddingPath:
		return &passthrough{metadata: h}
	case !a.stream:
		return newCollector(h)
	}
	if a.path == chatPath {
		h.object = "chat.completion.chunk"
	}
	return newRewriter(h, a.includeUsage, contract.Continue > 0)
}

// setRateLimitHeaders sets the rate limit headers from the team's quota, if this gateway has it.
func setRateLimitHeaders(h http.Header, a core.Answer) {
	if a.Quota == nil {
		return
	}
	reset := a.Quota.ResetIn
	if a.OverQuota {
		reset = max(reset, a.RetryAfter)
	}
	h["X-Ratelimit-Limit-Requests"] = []string{strconv.Itoa(int(a.Quota.Burst))}
	h["X-Ratelimit-Remaining-Requests"] = []string{strconv.Itoa(int(a.Quota.Remaining))}
	h["X-Ratelimit-Reset-Requests"] = []string{reset.Round(time.Millisecond).String()}
}
