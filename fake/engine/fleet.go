package engine

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Attempt is the record of one attempt that an engine received.
type Attempt struct {
	Engine      string
	Request     string // X-Request-Id
	OperationID string // id that the load generator puts into the prompt; equal for retries by the client
	ArrivalTime time.Time
	Role        string // the engine's role when it ran the attempt; "" = rejected
	Executed    bool
	Status      int
	Completed   bool // the engine wrote the complete answer
}

// Fleet is the data that the engines of one experiment share: the held states and the records of attempts.
type Fleet struct {
	mu              sync.Mutex
	states          map[string]state // by request id
	attempts        []Attempt
	engines         []*Engine
	overloadCrashes int
}

type state struct {
	engine *Engine
	tokens int
	since  time.Time
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet { return &Fleet{states: map[string]state{}} }

// Attempts returns all attempts so far, in order of arrival.
func (f *Fleet) Attempts() []Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.attempts)
}

// OverloadCrashes returns the number of crashes of cold engines under too much work.
func (f *Fleet) OverloadCrashes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.overloadCrashes
}

// Close stops all engines.
func (f *Fleet) Close() {
	f.mu.Lock()
	list := slices.Clone(f.engines)
	f.mu.Unlock()
	for _, e := range list {
		e.Crash()
	}
}

// Start adds an engine to the fleet and starts it. If warm is true, it starts at its full speed.
func (f *Fleet) Start(o Options, warm bool) (*Engine, error) {
	o.setDefaults()
	e := &Engine{Options: o, fleet: f, slowdown: 1, down: true, configuredRole: o.Role}
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

// record appends the record of an attempt and returns a function that updates it.
func (f *Fleet) record(a Attempt) (update func(change func(*Attempt))) {
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

func (f *Fleet) releaseState(id string) {
	f.mu.Lock()
	s, exists := f.states[id]
	delete(f.states, id)
	f.mu.Unlock()
	if exists {
		s.engine.freeMemory(s.tokens)
	}
}

// HeldStates returns the ids of requests with a held state.
func (f *Fleet) HeldStates() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.states))
}

// CountHeldStates returns the number of states that have been held for longer than minAge.
func (f *Fleet) CountHeldStates(minAge time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.states {
		if time.Since(s.since) > minAge {
			n++
		}
	}
	return n
}

func (f *Fleet) storeState(id string, e *Engine, tokens int) {
	e.mu.Lock()
	e.memoryUsed += tokens
	e.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[id] = state{e, tokens, time.Now()}
}

// fetchState removes the held state of a request from its engine. It reports whether there was one.
func (f *Fleet) fetchState(id string) bool {
	f.mu.Lock()
	_, exists := f.states[id]
	f.mu.Unlock()
	if exists {
		f.releaseState(id)
	}
	return exists
}
