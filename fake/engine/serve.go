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

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	now := time.Now()
	a := Attempt{Engine: e.ID, Request: r.Header.Get("X-Request-Id"), Came: now}
	if all := orderName.FindAllSubmatch(raw, -1); len(all) > 0 { // the latest turn's
		a.Order = string(all[len(all)-1][1])
	}
	change := e.fleet.note(a)
	answer := func(status int, notRun bool, body string) {
		change(func(a *Attempt) { a.Status = status })
		if notRun {
			w.Header().Set("X-Not-Run", "1")
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
	var q request
	if jsoniter.Unmarshal(raw, &q) != nil || a.Request == "" {
		answer(http.StatusBadRequest, true, `{"error":{"message":"not a chat request"}}`)
		return
	}
	tokens := max(1, len(raw)/charsPerToken)
	out := max(1, e.Tokens-q.said())
	if limit := max(q.MaxTokens, q.MostOut); limit > 0 {
		out = min(out, limit)
	}
	e.mu.Lock()
	role := e.Role
	work := float64(tokens) / e.ReadPerS
	switch role {
	case Write:
		work = float64(out) * e.TokenEvery.Seconds()
	case Both, OpenAI:
		work += float64(out) * e.TokenEvery.Seconds()
	}
	over := e.pushed(now, work)
	life := e.life
	e.mu.Unlock()
	if over {
		e.fleet.mu.Lock()
		e.fleet.fallen++
		e.fleet.mu.Unlock()
		go e.Crash()
		panic(http.ErrAbortHandler)
	}
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	defer context.AfterFunc(life, stop)()
	if err := e.enter(ctx, tokens); err != nil {
		if errors.Is(err, errFull) {
			status := http.StatusServiceUnavailable
			if role == OpenAI {
				status = http.StatusTooManyRequests
			}
			answer(status, true, `{"error":{"message":"full"}}`)
			return
		}
		panic(http.ErrAbortHandler)
	}
	defer func() { e.leave(life, tokens) }()
	begun := time.Now()
	change(func(a *Attempt) { a.Ran, a.Role = true, role })
	had := false
	if role == Write || role == Both {
		if had = e.fleet.fetch(a.Request); !had && role == Write {
			change(func(a *Attempt) { a.Ran = false })
			answer(http.StatusGone, true, "")
			return
		}
	}
	kept := e.keptOf(q, tokens)
	if !had && !e.spend(ctx, time.Duration(float64(tokens-kept)/e.ReadPerS*float64(time.Second))) {
		panic(http.ErrAbortHandler)
	}
	if role == Read {
		e.account(tokens, begun)
		e.fleet.hold(a.Request, e, tokens)
		answer(http.StatusAccepted, false, fmt.Sprintf(`{"cached_tokens":%d}`, kept))
		return
	}
	change(func(a *Attempt) { a.Status = http.StatusOK })
	if r.URL.Path == embeddingPath {
		w.Header().Set("Content-Type", "application/json")
		w.Write(embed(q, raw))
		change(func(a *Attempt) { a.Whole = true })
		e.account(1, begun)
		return
	}
	if e.stream(ctx, w, e.script(r.URL.Path, q, raw, tokens, kept, out)) {
		change(func(a *Attempt) { a.Whole = true })
		e.account(out, begun)
		return
	}
	panic(http.ErrAbortHandler)
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
	if e.CutShare <= 0 {
		return -1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.random == nil {
		e.random = rand.New(rand.NewPCG(e.Seed, 1))
	}
	if e.random.Float64() >= e.CutShare {
		return -1
	}
	return e.random.IntN(size)
}

// stream writes an answer's events, and tells whether it came to its end.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, events []string) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	if e.Odd == OddGzip {
		w.Header().Set("Content-Encoding", "gzip")
	}
	flush := http.NewResponseController(w)
	list := pieces(events, e.Odd)
	size := 0
	for _, p := range list {
		size += len(p)
	}
	left := e.cutAt(size)
	per := max(1, len(list)/len(events))
	words := len(events) - 2 // what follows them is there at once
	for i, p := range list {
		if i > 0 && i%per == 0 && i/per < words && !e.Burst && !e.spend(ctx, e.TokenEvery) {
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
