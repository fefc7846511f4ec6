package upstream_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"wellgw/routing"
)

// releaseSlack is what the protocol page adds to the pin limit: 50 ms of slack for rules on
// sockets, and 300 ms for held state.
const releaseSlack = 350 * time.Millisecond

// simRules are the engine behaviours of a scenario that the protocol page permits. The gateway must
// obey the rules under all of them.
type simRules struct {
	pinLimit time.Duration
	// A release at any engine releases all state of the request; otherwise only the state of that engine.
	releaseAnywhere bool
	cancelStopsWork bool // an engine that notices a cancellation stops the prefill in progress
	decodePrefills  bool // decode engines prefill a prompt whose state is missing
	endsWhenNoticed bool // an attempt counts as in flight until its engine has noticed its end
	maxPrefillTime  time.Duration
}

// simFleet contains the engines of one scenario, and a record of the state that they hold.
type simFleet struct {
	rules   simRules
	links   map[string]*simLink
	engines map[string]*simEngine

	mu           sync.Mutex
	random       *rand.Rand
	started      time.Time
	records      map[string]*requestRecord
	violations   []string
	steps        []string
	releases     int
	triggers     []*trigger
	stalledUntil time.Time // end of the latest stall of the gateway's process
	exitedAt     time.Time // when the gateway's process exited; zero before
	killed       bool      // it was killed at the end of its shutdown timeout
}

// requestRecord contains the attempts in flight and the held state of one request.
type requestRecord struct {
	deadline     time.Time       // end of the time for which the client waits; zero before its request
	clientGoneAt time.Time       // when the client disconnected or got its answer; zero before
	inFlight     int             // attempts whose last byte has arrived and which have not ended
	waiting      int             // of these, attempts at decode engines that wait for the state
	heldAt       map[string]bool // engines that hold a state
	heldSince    time.Time       // start of the time with held state and no attempt in flight; zero if that is not so

	streamAbortedAt time.Time // when the client disconnected during its stream; zero if it has not
}

func newSimFleet(rules simRules, seed uint64) *simFleet {
	return &simFleet{
		rules: rules, links: map[string]*simLink{}, engines: map[string]*simEngine{},
		random: rand.New(rand.NewPCG(seed, 1)), started: time.Now(), records: map[string]*requestRecord{},
	}
}

// add adds an engine with a one-way network delay.
func (f *simFleet) add(name string, role routing.Role, delay time.Duration) {
	e := &simEngine{fleet: f, name: name, role: role}
	e.link = newSimLink(delay, e.serve, f.waitStalled)
	f.links[name], f.engines[name] = e.link, e
}

func (f *simFleet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	link := f.links[address]
	if link == nil {
		return nil, errUnknownAddress
	}
	f.mu.Lock()
	f.runTriggers("", stageDialing)
	f.mu.Unlock()
	return link.dial(ctx)
}

// stall stalls the gateway's process, as a busy machine or SIGSTOP does: reads and writes do not
// return before the end. It returns false, and does nothing, shortly after another stall: two in a
// row would form one that exceeds maxStall.
func (f *simFleet) stall(duration time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.stalledUntil) < maxStall {
		return false
	}
	f.logStepLocked("the gateway is stalled for %v", duration)
	f.stalledUntil = time.Now().Add(duration)
	return true
}

// stalledSince reports whether the gateway's process was stalled at any time since t. The caller
// holds the lock.
func (f *simFleet) stalledSince(t time.Time) bool { return f.stalledUntil.After(t) }

func (f *simFleet) waitStalled() {
	f.mu.Lock()
	wait := time.Until(f.stalledUntil)
	f.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
}

// logStepLocked records a step, which is logged for a seed that fails. The caller holds the lock.
func (f *simFleet) logStepLocked(format string, args ...any) {
	f.steps = append(f.steps, fmt.Sprintf("%9v ", time.Since(f.started))+fmt.Sprintf(format, args...))
}

func (f *simFleet) step(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logStepLocked(format, args...)
}

// updateRecord changes the record of a request and checks the rule: while none of its attempts is
// in flight, its held state is fetched or released within the pin limit and releaseSlack.
func (f *simFleet) updateRecord(id string, change func(*requestRecord)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.records[id]
	if r == nil {
		r = &requestRecord{heldAt: map[string]bool{}}
		f.records[id] = r
	}
	previousSince := r.heldSince
	change(r)
	f.checkHeldTime(id, r, previousSince)
}

// checkHeldTime updates heldSince, and adds a violation if a period that ends was too long. The
// caller holds the lock.
func (f *simFleet) checkHeldTime(id string, r *requestRecord, previousSince time.Time) {
	now := time.Now()
	idle := r.inFlight == 0 && len(r.heldAt) > 0 && f.reachable(r)
	switch {
	case !idle:
		r.heldSince = time.Time{}
	case r.heldSince.IsZero():
		r.heldSince = now
	}
	if duration := now.Sub(previousSince); !previousSince.IsZero() && r.heldSince != previousSince && duration > f.rules.pinLimit+releaseSlack {
		f.logStepLocked("%s VIOLATION: held for %v", id, duration)
		f.violations = append(f.violations, fmt.Sprintf("%s was held for %v with no attempt in flight, the limit is %v", id, duration, f.rules.pinLimit+releaseSlack))
	}
}

// reachable reports whether a release can reach an engine that accepts it. While it can't, the time
// that a state is held is not counted.
func (f *simFleet) reachable(r *requestRecord) bool {
	for name, link := range f.links {
		if (f.rules.releaseAnywhere || r.heldAt[name]) && link.up() {
			return true
		}
	}
	return false
}

// changeNetwork applies or ends a network fault, and checks all held state.
func (f *simFleet) changeNetwork(name, what string, change func(*simLink)) {
	f.step("network to %s: %s", name, what)
	change(f.links[name])
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, r := range f.records {
		previousSince := r.heldSince
		if previousSince.IsZero() || !f.reachable(r) {
			r.heldSince = time.Time{}
		}
		f.checkHeldTime(id, r, previousSince)
	}
}

// restart restarts the process of an engine: its connections break, and its held state is lost.
func (f *simFleet) restart(name string) {
	f.step("%s restarts", name)
	f.links[name].reset()
	for id := range f.ids() {
		f.updateRecord(id, func(r *requestRecord) { delete(r.heldAt, name) })
	}
}

func (f *simFleet) ids() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := map[string]bool{}
	for id := range f.records {
		ids[id] = true
	}
	return ids
}

// addViolation records the violation of another rule.
func (f *simFleet) addViolation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// allViolations returns the recorded violations, and state and attempts that remain at the end.
func (f *simFleet) allViolations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	violations := append([]string(nil), f.violations...)
	for id, r := range f.records {
		if len(r.heldAt) > 0 {
			violations = append(violations, fmt.Sprintf("%s is still held at %v at the end, %d attempts in flight", id, r.heldAt, r.inFlight))
		}
		if r.inFlight > 0 {
			violations = append(violations, fmt.Sprintf("%s has %d attempts in flight at the end", id, r.inFlight))
		}
	}
	return violations
}

// randomN returns a random number below n.
func (f *simFleet) randomN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}
