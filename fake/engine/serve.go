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

// orderName finds the load's own name for what is asked.
var orderName = regexp.MustCompile(`order-id ([0-9A-Za-z-]+)`)

const maxBody = 1 << 20

// ServeHTTP answers one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/role":
		e.role(w, r)
	case r.Method == http.MethodGet && (r.URL.Path == "/healthz" || r.URL.Path == "/load"):
		e.health(w, r.URL.Path == "/load")
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/bootstrap/rooms/"):
		e.fleet.release(strings.TrimPrefix(r.URL.Path, "/bootstrap/rooms/"))
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodPost && (r.URL.Path == chatPath || r.URL.Path == completionPath || r.URL.Path == embeddingPath):
		e.complete(w, r)
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
	fmt.Fprintf(w, `{"util":%.3f,"queue":%d,"x0":%.3f}`, float64(e.running)/float64(e.Slots), len(e.waiting), float64(e.memory)/float64(e.Memory))
}

const charsPerToken = 4

// turn is one request under way at an engine.
type turn struct {
	*Engine
	w       http.ResponseWriter
	r       *http.Request
	raw     []byte
	request request
	id      string
	change  func(func(*Attempt)) // alters the attempt's entry in the account
	tokens  int                  // of the prompt
	out     int                  // of the answer
	role    string
}

// answer ends the request with a status.
func (t *turn) answer(status int, notRun bool, body string) {
	t.change(func(a *Attempt) { a.Status = status })
	if notRun {
		t.w.Header().Set("X-Not-Run", "1")
	}
	t.w.Header().Set("Content-Type", "application/json")
	t.w.WriteHeader(status)
	io.WriteString(t.w, body)
}

// complete serves a request as the engine's role and faults have it.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	now := time.Now()
	a := Attempt{Engine: e.ID, Request: r.Header.Get("X-Request-Id"), ArrivalTime: now}
	if all := orderName.FindAllSubmatch(raw, -1); len(all) > 0 { // the latest turn's
		a.OperationID = string(all[len(all)-1][1])
	}
	t := &turn{Engine: e, w: w, r: r, raw: raw, id: a.Request, change: e.fleet.note(a)}
	if jsoniter.Unmarshal(raw, &t.request) != nil || t.id == "" {
		t.answer(http.StatusBadRequest, true, `{"error":{"message":"not a chat request"}}`)
		return
	}
	t.tokens = max(1, len(raw)/charsPerToken)
	t.out = max(1, e.Tokens-t.request.said())
	if limit := max(t.request.MaxTokens, t.request.MostOut); limit > 0 {
		t.out = min(t.out, limit)
	}
	life := t.admit(now)
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	defer context.AfterFunc(life, stop)()
	if !t.waitForSlot(ctx) {
		return
	}
	defer func() { e.leave(life, t.tokens) }()
	t.run(ctx)
}

// admit takes the role and the process in force. A cold engine that is pushed too hard falls over.
func (t *turn) admit(now time.Time) (life context.Context) {
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
	over := e.pushed(now, work)
	life = e.life
	e.mu.Unlock()
	if over {
		e.fleet.mu.Lock()
		e.fleet.fallen++
		e.fleet.mu.Unlock()
		go e.Crash()
		panic(http.ErrAbortHandler)
	}
	return life
}

// waitForSlot waits for a slot; false if the request has been turned away.
func (t *turn) waitForSlot(ctx context.Context) bool {
	err := t.enter(ctx, t.tokens)
	switch {
	case err == nil:
		return true
	case !errors.Is(err, errFull):
		panic(http.ErrAbortHandler)
	case t.role == OpenAI:
		t.answer(http.StatusTooManyRequests, true, `{"error":{"message":"full"}}`)
	default:
		t.answer(http.StatusServiceUnavailable, true, `{"error":{"message":"full"}}`)
	}
	return false
}

// run reads the prompt, unless its state is fetched, and answers.
func (t *turn) run(ctx context.Context) {
	begun := time.Now()
	t.change(func(a *Attempt) { a.Executed, a.Role = true, t.role })
	had := (t.role == Write || t.role == Both) && t.fleet.fetch(t.id)
	if !had && t.role == Write {
		t.change(func(a *Attempt) { a.Executed = false })
		t.answer(http.StatusGone, true, "")
		return
	}
	kept := t.keptOf(t.request, t.tokens)
	if !had && !t.spend(ctx, time.Duration(float64(t.tokens-kept)/t.PrefillTokensPerSecond*float64(time.Second))) {
		panic(http.ErrAbortHandler)
	}
	if t.role == Read {
		t.account(t.tokens, begun)
		t.fleet.hold(t.id, t.Engine, t.tokens)
		t.answer(http.StatusAccepted, false, fmt.Sprintf(`{"cached_tokens":%d}`, kept))
		return
	}
	t.change(func(a *Attempt) { a.Status = http.StatusOK })
	if t.r.URL.Path == embeddingPath {
		t.w.Header().Set("Content-Type", "application/json")
		t.w.Write(embed(t.request, t.raw))
		t.change(func(a *Attempt) { a.Completed = true })
		t.account(1, begun)
		return
	}
	if !t.stream(ctx, t.w, t.script(t.r.URL.Path, t.request, t.raw, t.tokens, kept, t.out)) {
		panic(http.ErrAbortHandler)
	}
	t.change(func(a *Attempt) { a.Completed = true })
	t.account(t.out, begun)
}

// account notes work that is done.
func (e *Engine) account(tokens int, begun time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens += float64(tokens)
	e.busy += time.Since(begun)
}

// keptOf tells how much of a prompt is found kept, by its first message, and keeps it.
func (e *Engine) keptOf(q request, tokens int) int {
	if len(q.Messages) == 0 {
		return 0
	}
	first := string(q.Messages[0].Content)
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.kept[first]
	e.kept[first] = min(tokens-1, len(first)/charsPerToken)
	return min(kept, tokens-1)
}

// cutAt returns after how many bytes an answer of a size breaks, -1 if it does not.
func (e *Engine) cutAt(size int) int {
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

// stream writes an answer's events, and tells whether it came to its end.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, events []string) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	if e.Quirk == QuirkGzip {
		w.Header().Set("Content-Encoding", "gzip")
	}
	flush := http.NewResponseController(w)
	list := pieces(events, e.Quirk)
	size := 0
	for _, p := range list {
		size += len(p)
	}
	left := e.cutAt(size)
	per := max(1, len(list)/len(events))
	words := len(events) - 2 // what follows them is there at once
	for i, p := range list {
		if i > 0 && i%per == 0 && i/per < words && !e.Burst && !e.spend(ctx, e.TokenInterval) {
			return false
		}
		if left >= 0 && left < len(p) {
			if left > 0 {
				_, _ = w.Write(p[:left])
				_ = flush.Flush()
			}
			return false
		}
		left -= len(p)
		if _, err := w.Write(p); err != nil || flush.Flush() != nil {
			return false
		}
	}
	return true
}
