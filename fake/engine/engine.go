// Package engine is a fake of model engines: those of the platform's two-stage
// protocol and those that offer only the chat API. It has slots, a queue, memory, a
// cold start, a drain and a crash, and it keeps an account of every attempt, from
// which a checker tells what ran twice, and what was sent to an engine that should
// have had no new work. It is a model of times, not of text.
package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Roles of an engine.
const (
	Read   = "read"   // reads prompts, keeps read states
	Write  = "write"  // fetches states, streams answers
	Both   = "both"   // does either
	OpenAI = "openai" // whole requests by the chat API alone
)

// Options are an engine's figures.
type Options struct {
	ID, Role               string
	Slots                  int           // requests at once
	Queue                  int           // that may wait
	Memory                 int           // tokens of prompts and states
	PrefillTokensPerSecond float64       // prompt tokens a second, when warm
	TokenInterval          time.Duration // between events of an answer
	Tokens                 int           // of an answer, unless max_tokens is lower
	WarmUp                 time.Duration // after a start until it is warm
	ColdSpeedFraction      float64       // of its speed at the start
	OverloadWindow         time.Duration // over which a cold engine's work is counted
	Quirk                  string        // one of Odds; "" for none
	CutFraction            float64       // of the answers that break at some byte
	Burst                  bool          // events without pauses
	Seed                   uint64        // of what breaks where
	OverloadFactor         float64       // times what it can do then that makes it fall over; 0 = never
}

func (o *Options) fill() {
	def := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	def(&o.Slots, 8)
	def(&o.Queue, 32)
	def(&o.Memory, 200_000)
	def(&o.Tokens, 8)
	if o.PrefillTokensPerSecond <= 0 {
		o.PrefillTokensPerSecond = 20_000
	}
	if o.TokenInterval <= 0 {
		o.TokenInterval = 5 * time.Millisecond
	}
	if o.ColdSpeedFraction <= 0 {
		o.ColdSpeedFraction = 0.32
	}
	if o.OverloadWindow <= 0 {
		o.OverloadWindow = 3 * time.Second
	}
}

// Engine is one engine on loopback.
type Engine struct {
	Options
	fleet *Fleet

	mu       sync.Mutex
	addr     string
	server   *http.Server
	started  time.Time
	down     bool
	draining bool
	changing bool // drains for a change of role
	fence    uint64
	flipped  time.Time
	tokens   float64 // read or written since it took its role
	busy     time.Duration
	born     string // the role that its own files state
	refuses  bool   // will not change
	lies     string // says that this is its role
	slow     float64
	running  int
	waiting  []chan struct{}
	memory   int
	work     []mark // what has come while it was cold
	kept     map[string]int
	random   *rand.Rand
	cancel   context.CancelFunc // ends all that runs
	life     context.Context
}

type mark struct {
	at   time.Time
	work float64 // seconds at full speed
}

func (e *Engine) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("fake engine: %w", err)
	}
	srv := &http.Server{Handler: e, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 10 * time.Second}
	e.mu.Lock()
	e.addr, e.server, e.started, e.down, e.draining = l.Addr().String(), srv, time.Now(), false, false
	e.Role, e.changing, e.fence, e.flipped = e.born, false, 0, time.Time{}
	e.tokens, e.busy = 0, 0
	e.running, e.waiting, e.memory, e.work, e.kept = 0, nil, 0, nil, map[string]int{}
	e.life, e.cancel = context.WithCancel(context.Background())
	e.mu.Unlock()
	go srv.Serve(l)
	return nil
}

// Addr is where the engine listens, or did.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Started is when its process started.
func (e *Engine) Started() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// Crash ends the process: connections are reset, all that it held is lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	srv := e.server
	was := e.down
	e.down = true
	if e.cancel != nil {
		e.cancel()
	}
	e.mu.Unlock()
	if srv != nil && !was {
		srv.Close()
	}
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	for id, s := range e.fleet.states {
		if s.at == e {
			delete(e.fleet.states, id)
		}
	}
}

// Restart starts the process again, cold, at its old address or, if move is true, at
// another one.
func (e *Engine) Restart(move bool) error {
	e.Crash()
	addr := e.Addr()
	if move {
		addr = "127.0.0.1:0"
	}
	return e.listen(addr)
}

// Drain has the engine turn new work away from now on.
func (e *Engine) Drain(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = on
}

// SetSlowdown makes it so many times slower.
func (e *Engine) SetSlowdown(times float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = max(times, 0.01)
}

var (
	errFull = errors.New("full")
	errDown = errors.New("down")
)

// The paths that an engine serves.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	embeddingPath  = "/v1/embeddings"
)
