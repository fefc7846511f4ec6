// Package engine is a fake of model engines: those with the platform's two-stage protocol (prefill, decode)
// and those that offer only the chat API. A fake engine has slots, a queue, memory, a cold start, draining
// and crashes. It records every attempt, so that checkers find operations that ran twice and attempts at
// engines that should have had no new work. It models durations, not the contents of answers.
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
	Read   = "read"   // prefill: processes prompts and holds their states
	Write  = "write"  // decode: fetches held states and streams answers
	Both   = "both"   // mixed: prefill and decode
	OpenAI = "openai" // serves complete requests, only through the chat API
)

// Options are the settings of an engine.
type Options struct {
	ID, Role               string
	Slots                  int           // requests that run concurrently
	Queue                  int           // max. number of waiting requests
	Memory                 int           // capacity for prompts and held states, in tokens
	PrefillTokensPerSecond float64       // prompt tokens a second of a warm engine
	TokenInterval          time.Duration // time between the events of an answer
	Tokens                 int           // tokens of an answer, unless max_tokens is lower
	WarmUp                 time.Duration // time from a start or role change until the engine is warm
	ColdSpeedFraction      float64       // fraction of its full speed at the start
	OverloadWindow         time.Duration // window over which a cold engine's work is summed
	Quirk                  string        // one of Quirks; "" = none
	CutFraction            float64       // fraction of answers that are cut off at a random byte
	Burst                  bool          // writes events without pauses
	Seed                   uint64        // seed for which answers are cut off, and where
	OverloadFactor         float64       // work relative to capacity at which a cold engine crashes; 0 = never
}

// setDefaults sets fields that must not be zero to their defaults.
func (o *Options) setDefaults() {
	setDefault := func(v *int, defaultValue int) {
		if *v <= 0 {
			*v = defaultValue
		}
	}
	setDefault(&o.Slots, 8)
	setDefault(&o.Queue, 32)
	setDefault(&o.Memory, 200_000)
	setDefault(&o.Tokens, 8)
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

// Engine is one fake engine that listens on loopback.
type Engine struct {
	Options
	fleet *Fleet

	mu                 sync.Mutex
	addr               string
	server             *http.Server
	started            time.Time
	down               bool
	draining           bool
	roleDraining       bool // draining for a role change
	fencingToken       uint64
	roleChangedAt      time.Time
	processedTokens    float64 // prompt or answer tokens processed since the start or role change
	busyTime           time.Duration
	configuredRole     string // role after a start
	refusesRoleChanges bool   // rejects role changes
	reportedRole       string // role to report instead of the actual one; "" = actual
	slowdown           float64
	running            int
	waiting            []chan struct{}
	memoryUsed         int
	coldWork           []coldArrival // work that arrived while the engine was cold
	prefixCache        map[string]int
	random             *rand.Rand
	cancel             context.CancelFunc // aborts all running requests
	processContext     context.Context
}

// coldArrival is work that arrived while the engine was cold.
type coldArrival struct {
	at   time.Time
	work float64 // duration at full speed, in seconds
}

func (e *Engine) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("fake engine: %w", err)
	}
	srv := &http.Server{Handler: e, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 10 * time.Second}
	e.mu.Lock()
	e.addr, e.server, e.started, e.down, e.draining = l.Addr().String(), srv, time.Now(), false, false
	e.Role, e.roleDraining, e.fencingToken, e.roleChangedAt = e.configuredRole, false, 0, time.Time{}
	e.processedTokens, e.busyTime = 0, 0
	e.running, e.waiting, e.memoryUsed, e.coldWork, e.prefixCache = 0, nil, 0, nil, map[string]int{}
	e.processContext, e.cancel = context.WithCancel(context.Background())
	e.mu.Unlock()
	go srv.Serve(l)
	return nil
}

// Addr returns the address on which the engine listens, or listened before it crashed.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Started returns the start time of the engine's process.
func (e *Engine) Started() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// Crash ends the process: connections are reset, and its held states are lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	srv := e.server
	wasDown := e.down
	e.down = true
	if e.cancel != nil {
		e.cancel()
	}
	e.mu.Unlock()
	if srv != nil && !wasDown {
		srv.Close()
	}
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	for id, s := range e.fleet.states {
		if s.engine == e {
			delete(e.fleet.states, id)
		}
	}
}

// Restart crashes the process and starts it again, cold. It listens on the same address or, if move is
// true, on a new one.
func (e *Engine) Restart(move bool) error {
	e.Crash()
	addr := e.Addr()
	if move {
		addr = "127.0.0.1:0"
	}
	return e.listen(addr)
}

// Drain sets whether the engine rejects new requests.
func (e *Engine) Drain(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = on
}

// SetSlowdown sets the factor by which the engine is slower than normal.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = max(factor, 0.01)
}

var (
	errNoCapacity = errors.New("no capacity for the request")
	errStopped    = errors.New("request canceled or engine stopped")
)

// Paths of the APIs that an engine serves.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	embeddingPath  = "/v1/embeddings"
)
