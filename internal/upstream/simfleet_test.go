package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"wellgw/internal/playback"
	"wellgw/routing"
)

// releaseSlack is what the protocol page adds to the pin limit: 50 ms for every rule on
// sockets, and 300 ms for what is held.
const releaseSlack = 350 * time.Millisecond

// simRules are the readings of the protocol page and the habits of engines under which a
// scenario is played. The gateway has to keep the rule under all of them.
type simRules struct {
	pinLimit    time.Duration
	anywhere    bool // a release at any engine lets go of all; else only at the engine that holds
	stopsWork   bool // an engine that learns of a cancel stops the read that runs
	ownRead     bool // writers read a prompt whose state is gone
	learnsLate  bool // an attempt is out until its engine has learned of its end
	readersLast time.Duration
}

// simFleet is the engines of one scenario and the account of what they hold.
type simFleet struct {
	rules   simRules
	links   map[string]*simLink
	engines map[string]*simEngine

	mu       sync.Mutex
	random   *rand.Rand
	begun    time.Time
	records  map[string]*record
	broken   []string
	steps    []string
	releases int
	triggers []*trigger
	ended    time.Time // when the gateway's process did; zero before
	killed   bool      // its time was up
}

// record is what is out and held for one request.
type record struct {
	due   time.Time       // until when the client waits; zero before it has come
	left  time.Time       // when it has gone, or has had its answer; zero before
	out   int             // attempts whose last byte has arrived and which have not ended
	waits int             // of these, attempts at writers that wait for the state
	held  map[string]bool // engines that hold a state
	since time.Time       // nothing has been out since, while something is held; zero if not so
}

type simEngine struct {
	fleet *simFleet
	name  string
	role  routing.Role
	link  *simLink
}

func newSimFleet(rules simRules, seed uint64) *simFleet {
	return &simFleet{
		rules: rules, links: map[string]*simLink{}, engines: map[string]*simEngine{},
		random: rand.New(rand.NewPCG(seed, 1)), begun: time.Now(), records: map[string]*record{},
	}
}

// add places an engine at a distance.
func (f *simFleet) add(name string, role routing.Role, delay time.Duration) {
	e := &simEngine{fleet: f, name: name, role: role}
	e.link = newSimLink(delay, e.serve)
	f.links[name], f.engines[name] = e.link, e
}

func (f *simFleet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	link := f.links[address]
	if link == nil {
		return nil, errUnknownAddress
	}
	f.mu.Lock()
	f.reached("", stageDialing)
	f.mu.Unlock()
	return link.dial(ctx)
}

// note keeps a step, for a seed that fails.
func (f *simFleet) note(format string, args ...any) {
	f.steps = append(f.steps, fmt.Sprintf("%9v ", time.Since(f.begun))+fmt.Sprintf(format, args...))
}

func (f *simFleet) step(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.note(format, args...)
}

// account changes a request's record and follows the rule: while none of its attempts is
// out, what is held for it is taken or let go within the pin limit and the slack.
func (f *simFleet) account(id string, change func(*record)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.records[id]
	if r == nil {
		r = &record{held: map[string]bool{}}
		f.records[id] = r
	}
	before := r.since
	change(r)
	f.review(id, r, before)
}

// review notes since when something is held with nothing out. The lock is held.
func (f *simFleet) review(id string, r *record, before time.Time) {
	now := time.Now()
	idle := r.out == 0 && len(r.held) > 0 && f.reachable(r)
	switch {
	case !idle:
		r.since = time.Time{}
	case r.since.IsZero():
		r.since = now
	}
	if held := now.Sub(before); !before.IsZero() && r.since != before && held > f.rules.pinLimit+releaseSlack {
		f.note("%s BROKEN: held for %v", id, held)
		f.broken = append(f.broken, fmt.Sprintf("%s was held for %v with nothing out, the limit is %v", id, held, f.rules.pinLimit+releaseSlack))
	}
}

// reachable tells whether a release can reach an engine that counts. Without a way to one
// the time stands still where a release must reach the holder itself.
func (f *simFleet) reachable(r *record) bool {
	for name, link := range f.links {
		if (f.rules.anywhere || r.held[name]) && link.up() {
			return true
		}
	}
	return false
}

// network applies a fault, or ends it, and reviews what is held.
func (f *simFleet) network(name, what string, alter func(*simLink)) {
	f.step("network to %s: %s", name, what)
	alter(f.links[name])
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, r := range f.records {
		before := r.since
		if before.IsZero() || !f.reachable(r) {
			r.since = time.Time{}
		}
		f.review(id, r, before)
	}
}

// restart ends an engine's process: its connections break, and what it held is gone.
func (f *simFleet) restart(name string) {
	f.step("%s restarts", name)
	f.links[name].reset()
	for id := range f.ids() {
		f.account(id, func(r *record) { delete(r.held, name) })
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

// fail notes that something else was broken.
func (f *simFleet) fail(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
}

// verdict returns what was broken, and what is still held.
func (f *simFleet) verdict() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	bad := append([]string(nil), f.broken...)
	for id, r := range f.records {
		if len(r.held) > 0 {
			bad = append(bad, fmt.Sprintf("%s is held to the end at %v, %d attempts out", id, r.held, r.out))
		}
	}
	return bad
}

// chance draws a number below n.
func (f *simFleet) chance(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// serve answers the requests of one connection, one after the other.
func (e *simEngine) serve(nc net.Conn) {
	c := nc.(*simConn)
	defer c.Close()
	requests, learned := make(chan *http.Request), make(chan struct{})
	go listen(c, requests, learned)
	for {
		select {
		case <-learned:
			return
		case req := <-requests:
			if !e.answer(c, req, learned) {
				c.abort()
				return
			}
		}
	}
}

// listen reads a connection's requests and closes learned at its end: how an engine comes to
// know of a cancel.
func listen(c *simConn, requests chan<- *http.Request, learned chan<- struct{}) {
	defer close(learned)
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		requests <- req
	}
}

// answer answers one request; false if the connection breaks.
func (e *simEngine) answer(c *simConn, req *http.Request, learned <-chan struct{}) bool {
	if req.Method != http.MethodDelete {
		ms, _ := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
		t := &turn{
			engine: e, conn: c, id: req.Header.Get("X-Request-Id"), learned: learned,
			told: time.Duration(ms) * time.Millisecond, sent: c.lastSent(),
		}
		return t.play()
	}
	e.release(strings.TrimPrefix(req.URL.Path, "/bootstrap/rooms/"))
	if e.fleet.chance(12) == 0 { // a call counts once it has arrived, answered or not
		<-learned
		return false
	}
	_, err := io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
	return err == nil
}

func (e *simEngine) release(id string) {
	e.fleet.account(id, func(r *record) {
		e.fleet.releases++
		switch {
		case r.waits > 0:
			e.fleet.note("%s release at %s, an attempt waits for the state", id, e.name)
		case e.fleet.rules.anywhere:
			e.fleet.note("%s release at %s", id, e.name)
			clear(r.held)
		default:
			e.fleet.note("%s release at %s", id, e.name)
			delete(r.held, e.name)
		}
		e.fleet.reached(id, stageReleased)
	})
}

// turn is one attempt at an engine.
type turn struct {
	engine  *simEngine
	conn    *simConn
	id      string
	learned <-chan struct{} // closed once the engine knows that its client has ended
	waits   bool            // for the state; guarded by the fleet's lock
	told    time.Duration   // how long the gateway said that it waits
	sent    time.Time       // when the request was written
}

// The protocol page's slack for what an attempt may meet.
const (
	toldSlack = 150 * time.Millisecond // over what the client has left
	leftSlack = 100 * time.Millisecond // from the client's close to an attempt that begins
)

// judge checks an attempt that begins: the time it was told, and that its client still waits.
// What was written before the client left and held up by a cut could not be called back. The
// lock is held.
func (f *simFleet) judge(t *turn, r *record) {
	if left := r.due.Sub(t.sent); t.told > max(left, 0)+toldSlack {
		f.broken = append(f.broken, fmt.Sprintf("%s at %s was told %v, its client had %v left", t.id, t.engine.name, t.told, left))
	}
	if late := t.sent.Sub(r.left); !r.left.IsZero() && late > leftSlack {
		f.broken = append(f.broken, fmt.Sprintf("%s at %s was written %v after its client had left", t.id, t.engine.name, late))
	}
}

// play carries an attempt out as chance has it; false if the connection breaks with it.
func (t *turn) play() bool {
	f := t.engine.fleet
	t.conn.link.change(func() { t.conn.answered = false })
	fetches := t.engine.role != routing.RoleReader // a mixed one without a state does the whole itself
	f.account(t.id, func(r *record) {
		r.out++
		f.note("%s attempt at %s", t.id, t.engine.name)
		f.judge(t, r)
		if fetches {
			f.reached(t.id, stageWaiting)
		} else {
			f.reached(t.id, stageReading)
		}
	})
	over := make(chan struct{})
	go t.watch(over)
	good := false
	if fetches {
		good = t.write()
	} else {
		good = t.read()
	}
	if !good {
		t.conn.abort()
	}
	t.conn.link.change(func() { t.conn.answered = true })
	<-over
	return good
}

// watch follows the attempt to its end: its answer was read by the gateway, its connection
// is closed or broken or, where that is what counts, its engine has learned of it.
func (t *turn) watch(over chan<- struct{}) {
	f, c := t.engine.fleet, t.conn
	defer close(over)
	c.until(func() bool {
		read := c.answered && len(c.peer.inbox) == 0
		if f.rules.learnsLate {
			return read || c.broken || c.told()
		}
		return read || c.broken || c.peer.closed
	})
	f.account(t.id, func(r *record) {
		r.out--
		t.stopWaiting(r)
		f.note("%s attempt at %s is over", t.id, t.engine.name)
	})
}

// spend lets time pass; false if the engine learns meanwhile that nobody waits and stops.
func (t *turn) spend(d time.Duration, stops bool) bool {
	wait := time.NewTimer(d)
	defer wait.Stop()
	learned := t.learned
	if !stops {
		learned = nil
	}
	select {
	case <-wait.C:
		return true
	case <-learned:
		return false
	}
}

func (t *turn) say(text string) bool {
	_, err := io.WriteString(t.conn, text)
	return err == nil
}

func (t *turn) read() bool {
	f, e := t.engine.fleet, t.engine
	kind := f.chance(20)
	took := time.Duration(1+f.chance(60)) * f.rules.readersLast / 60
	switch kind {
	case 0:
		return t.say(playback.Status(500, "", ""))
	case 1:
		return t.say(playback.Status(503, "X-Not-Run: 1\r\n", ""))
	case 2: // hangs before the read's end
		<-t.learned
		return false
	case 3: // breaks before the read's end
		return !t.spend(took/2, true) && false
	}
	if !t.spend(took, f.rules.stopsWork) {
		return false
	}
	f.account(t.id, func(r *record) {
		if !f.ended.IsZero() {
			f.readAfterEnd(t.id, e.name)
			return
		}
		r.held[e.name] = true
		f.note("%s is read and held at %s", t.id, e.name)
		f.reached(t.id, stageHeld)
	})
	switch kind {
	case 4: // its answer never comes
		<-t.learned
		return false
	case 5: // its connection breaks just then
		return false
	}
	if !t.say(playback.Status(202, "", `{"cached_tokens":0}`)) {
		return false
	}
	f.account(t.id, func(*record) { f.reached(t.id, stageRead) })
	return true
}

func (t *turn) write() bool {
	f, e := t.engine.fleet, t.engine
	has := false
	f.account(t.id, func(r *record) {
		if has = len(r.held) > 0; has {
			t.waits = true
			r.waits++
		}
	})
	if !has && !f.rules.ownRead && e.role != routing.RoleMixed {
		return t.say(playback.Status(410, "X-Not-Run: 1\r\n", ""))
	}
	kind := f.chance(16)
	fetched := t.wait(kind, time.Duration(1+f.chance(80))*time.Millisecond)
	f.account(t.id, func(r *record) {
		t.stopWaiting(r)
		if fetched {
			clear(r.held)
			f.note("%s state taken by %s", t.id, e.name)
		}
	})
	if !fetched {
		return t.refuse(kind)
	}
	return t.stream(f.chance(12) == 0)
}

// wait is an attempt's time in a writer's queue; true if the state is then fetched.
func (t *turn) wait(kind int, took time.Duration) bool {
	switch kind {
	case 0, 1: // hangs, or its machine is silent
		<-t.learned
		return false
	case 2, 3, 4:
		t.spend(took, true)
		return false
	}
	return t.spend(took, true)
}

// stopWaiting ends the attempt's wait for the state.
func (t *turn) stopWaiting(r *record) {
	if t.waits {
		t.waits = false
		r.waits--
	}
}

func (t *turn) refuse(kind int) bool {
	switch kind {
	case 2:
		return t.say(playback.Status(500, "", ""))
	case 3:
		return t.say(playback.Status(503, "X-Not-Run: 1\r\n", ""))
	}
	return false
}

// stream answers in events; breaks tells whether the connection does after the first.
func (t *turn) stream(breaks bool) bool {
	if !t.say(playback.StreamHead + playback.Chunk("data: x\n\n")) {
		return false
	}
	t.engine.fleet.account(t.id, func(*record) { t.engine.fleet.reached(t.id, stageStream) })
	if !t.spend(20*time.Millisecond, true) || breaks {
		return false
	}
	return t.say(playback.Chunk("data: [DONE]\n\n") + "0\r\n\r\n")
}
