package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"
)

// operationIDPattern matches the operation id that the load generator puts into a message.
var operationIDPattern = regexp.MustCompile(`order-id ([0-9A-Za-z-]+)`)

const maxBodyBytes = 1 << 20

// ServeHTTP answers one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/role":
		e.role(w, r)
	case r.Method == http.MethodGet && (r.URL.Path == "/healthz" || r.URL.Path == "/load"):
		e.health(w, r.URL.Path == "/load")
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/bootstrap/rooms/"):
		e.fleet.releaseState(strings.TrimPrefix(r.URL.Path, "/bootstrap/rooms/"))
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodPost && (r.URL.Path == chatPath || r.URL.Path == completionPath || r.URL.Path == embeddingPath):
		e.serveCompletion(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) health(w http.ResponseWriter, load bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining && !load {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"util":%.3f,"queue":%d,"x0":%.3f}`, float64(e.running)/float64(e.Slots), len(e.waiting), float64(e.memoryUsed)/float64(e.Memory))
}

const charsPerToken = 4

// activeRequest is a request that an engine is serving.
type activeRequest struct {
	*Engine
	w       http.ResponseWriter
	r       *http.Request
	raw     []byte
	request request
	id      string
	change  func(func(*Attempt)) // updates the attempt's record
	tokens  int                  // prompt tokens
	out     int                  // answer tokens of each choice
	role    string
}

// respond writes a complete response without a stream.
func (t *activeRequest) respond(status int, notRun bool, body string) {
	t.change(func(a *Attempt) { a.Status = status })
	if notRun {
		t.w.Header().Set("X-Not-Run", "1")
	}
	t.w.Header().Set("Content-Type", "application/json")
	t.w.WriteHeader(status)
	io.WriteString(t.w, body)
}

// serveCompletion serves a completion or embedding request according to the engine's role and faults.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	now := time.Now()
	a := Attempt{Engine: e.ID, Request: r.Header.Get("X-Request-Id"), ArrivalTime: now}
	if all := operationIDPattern.FindAllSubmatch(raw, -1); len(all) > 0 { // the id in the latest message applies
		a.OperationID = string(all[len(all)-1][1])
	}
	t := &activeRequest{Engine: e, w: w, r: r, raw: raw, id: a.Request, change: e.fleet.record(a)}
	if jsoniter.Unmarshal(raw, &t.request) != nil || t.id == "" {
		t.respond(http.StatusBadRequest, true, `{"error":{"message":"not a chat request"}}`)
		return
	}
	t.tokens = max(1, len(raw)/charsPerToken)
	t.out = max(1, e.Tokens-t.request.continuedTokens())
	if limit := max(t.request.MaxTokens, t.request.MaxCompletionTokens); limit > 0 {
		t.out = min(t.out, limit)
	}
	process := t.admit(now)
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	defer context.AfterFunc(process, stop)()
	if !t.waitForSlot(ctx) {
		return
	}
	defer func() { e.finish(process, t.tokens) }()
	t.run(ctx)
}

// admit sets the request's role and returns the context of the engine's process. A cold engine that
// receives too much work crashes.
func (t *activeRequest) admit(now time.Time) (process context.Context) {
	e := t.Engine
	e.mu.Lock()
	t.role = e.Role
	work := float64(t.tokens) / e.PrefillTokensPerSecond
	switch t.role {
	case Write:
		work = float64(t.out) * e.TokenInterval.Seconds()
	case Both, OpenAI:
		work += float64(t.out) * e.TokenInterval.Seconds()
	}
	overloaded := e.overloadedBy(now, work)
	process = e.processContext
	e.mu.Unlock()
	if overloaded {
		e.fleet.mu.Lock()
		e.fleet.overloadCrashes++
		e.fleet.mu.Unlock()
		go e.Crash()
		panic(http.ErrAbortHandler)
	}
	return process
}

// waitForSlot waits for a slot. It returns false if the request was rejected.
func (t *activeRequest) waitForSlot(ctx context.Context) bool {
	err := t.acquireSlot(ctx, t.tokens)
	switch {
	case err == nil:
		return true
	case !errors.Is(err, errNoCapacity):
		panic(http.ErrAbortHandler)
	case t.role == OpenAI:
		t.respond(http.StatusTooManyRequests, true, `{"error":{"message":"full"}}`)
	default:
		t.respond(http.StatusServiceUnavailable, true, `{"error":{"message":"full"}}`)
	}
	return false
}

// run processes the prompt, unless its held state was fetched, and answers the request.
func (t *activeRequest) run(ctx context.Context) {
	start := time.Now()
	t.change(func(a *Attempt) { a.Executed, a.Role = true, t.role })
	stateFetched := (t.role == Write || t.role == Both) && t.fleet.fetchState(t.id)
	if !stateFetched && t.role == Write {
		t.change(func(a *Attempt) { a.Executed = false })
		t.respond(http.StatusGone, true, "")
		return
	}
	cached := t.useCachedPrefix(t.request, t.tokens)
	if !stateFetched && !t.work(ctx, time.Duration(float64(t.tokens-cached)/t.PrefillTokensPerSecond*float64(time.Second))) {
		panic(http.ErrAbortHandler)
	}
	if t.role == Read {
		t.recordWork(t.tokens, start)
		t.fleet.storeState(t.id, t.Engine, t.tokens)
		t.respond(http.StatusAccepted, false, fmt.Sprintf(`{"cached_tokens":%d}`, cached))
		return
	}
	t.change(func(a *Attempt) { a.Status = http.StatusOK })
	if t.r.URL.Path == embeddingPath {
		t.w.Header().Set("Content-Type", "application/json")
		t.w.Write(embed(t.request, t.raw))
		t.change(func(a *Attempt) { a.Completed = true })
		t.recordWork(1, start)
		return
	}
	if !t.stream(ctx, t.w, t.script(t.r.URL.Path, t.request, t.raw, t.tokens, cached, t.out)) {
		panic(http.ErrAbortHandler)
	}
	t.change(func(a *Attempt) { a.Completed = true })
	t.recordWork(t.out, start)
}

// recordWork adds completed work to the engine's counters.
func (e *Engine) recordWork(tokens int, start time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.processedTokens += float64(tokens)
	e.busyTime += time.Since(start)
}

// useCachedPrefix returns the number of the prompt's tokens in the prefix cache, and adds the prompt to the
// cache. The key is the first message.
func (e *Engine) useCachedPrefix(q request, tokens int) int {
	if len(q.Messages) == 0 {
		return 0
	}
	first := string(q.Messages[0].Content)
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := e.prefixCache[first]
	e.prefixCache[first] = min(tokens-1, len(first)/charsPerToken)
	return min(cached, tokens-1)
}

// cutOffset returns the number of bytes after which an answer of the given size is cut off, or -1 if it is
// not cut off.
func (e *Engine) cutOffset(size int) int {
	if e.CutFraction <= 0 {
		return -1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.random == nil {
		e.random = rand.New(rand.NewPCG(e.Seed, 1))
	}
	if e.random.Float64() >= e.CutFraction {
		return -1
	}
	return e.random.IntN(size)
}

// stream writes an answer's events. It returns false if the answer is incomplete.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, events []string) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	if e.Quirk == QuirkGzip {
		w.Header().Set("Content-Encoding", "gzip")
	}
	flush := http.NewResponseController(w)
	writes := encodeEvents(events, e.Quirk)
	size := 0
	for _, p := range writes {
		size += len(p)
	}
	cutAfter := e.cutOffset(size)
	perEvent := max(1, len(writes)/len(events))
	contentEvents := len(events) - 2 // the last two events follow without a pause
	for i, p := range writes {
		if i > 0 && i%perEvent == 0 && i/perEvent < contentEvents && !e.Burst && !e.work(ctx, e.TokenInterval) {
			return false
		}
		if cutAfter >= 0 && cutAfter < len(p) {
			if cutAfter > 0 {
				_, _ = w.Write(p[:cutAfter])
				_ = flush.Flush()
			}
			return false
		}
		cutAfter -= len(p)
		if _, err := w.Write(p); err != nil || flush.Flush() != nil {
			return false
		}
	}
	return true
}
