package engine

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Attempt is one attempt as an engine has seen it.
type Attempt struct {
	Engine      string
	Request     string // X-Request-Id
	OperationID string // the load's own name for what is asked, so that a client's retry is known
	ArrivalTime time.Time
	Role        string // as which it was taken; "" if it was turned away
	Executed    bool
	Status      int
	Completed   bool // the answer went out to its end
}

// Fleet is what engines of one experiment share: the read states and the account.
type Fleet struct {
	mu       sync.Mutex
	states   map[string]state // by request
	attempts []Attempt
	engines  []*Engine
	fallen   int
}

type state struct {
	at     *Engine
	tokens int
	since  time.Time
}

// NewFleet returns a fleet without engines.
func NewFleet() *Fleet { return &Fleet{states: map[string]state{}} }

// Attempts returns all attempts so far, in order of arrival.
func (f *Fleet) Attempts() []Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.attempts)
}

// OverloadCrashes returns how many engines were pushed over while they were cold.
func (f *Fleet) OverloadCrashes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fallen
}

// Close ends all engines.
func (f *Fleet) Close() {
	f.mu.Lock()
	list := slices.Clone(f.engines)
	f.mu.Unlock()
	for _, e := range list {
		e.Crash()
	}
}

// Start starts an engine in a fleet. warm says that it has run for long.
func (f *Fleet) Start(o Options, warm bool) (*Engine, error) {
	o.fill()
	e := &Engine{Options: o, fleet: f, slow: 1, down: true, born: o.Role}
	if err := e.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	if warm {
		e.mu.Lock()
		e.started = time.Now().Add(-24 * time.Hour)
		e.mu.Unlock()
	}
	f.mu.Lock()
	f.engines = append(f.engines, e)
	f.mu.Unlock()
	return e, nil
}

// note keeps an attempt in the account and returns how to change it.
func (f *Fleet) note(a Attempt) func(func(*Attempt)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts = append(f.attempts, a)
	i := len(f.attempts) - 1
	return func(change func(*Attempt)) {
		f.mu.Lock()
		defer f.mu.Unlock()
		change(&f.attempts[i])
	}
}

func (f *Fleet) release(id string) {
	f.mu.Lock()
	s, there := f.states[id]
	delete(f.states, id)
	f.mu.Unlock()
	if there {
		s.at.free(s.tokens)
	}
}

// HeldStates returns the requests whose read states wait.
func (f *Fleet) HeldStates() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.states))
}

// CountHeldStates returns the read states that wait for longer than a time.
func (f *Fleet) CountHeldStates(longer time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.states {
		if time.Since(s.since) > longer {
			n++
		}
	}
	return n
}

func (f *Fleet) hold(id string, e *Engine, tokens int) {
	e.mu.Lock()
	e.memory += tokens
	e.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[id] = state{e, tokens, time.Now()}
}

// fetch takes a read state from its reader.
func (f *Fleet) fetch(id string) bool {
	f.mu.Lock()
	_, there := f.states[id]
	f.mu.Unlock()
	if there {
		f.release(id)
	}
	return there
}
