package routing

import (
	"cmp"
	"errors"
	"fmt"
	"iter"
	"maps"
	"slices"
	"time"
)

// This file holds what a router remembers and the accounts of it. It decides
// nothing; see policy.go.

type phase uint8

const (
	waitReader phase = iota // no attempt out, nothing held
	reading                 // an attempt is out at a reader, or whole at a mixed server
	waitWriter              // no attempt out, the state waits at a reader
	writing                 // an attempt is out at a writer
	streaming               // the answer has begun
)

// request is one client's try. It is kept until its attempts have ended.
type request struct {
	Request
	class         *Class
	most          int     // attempts allowed, as the settings said at its arrival
	density       float64 // worth per unit of work, lower beyond the tenant's quota
	deadline, aim Time
	phase         phase
	home, spare   *worker // where its text is expected
	at, holder    *worker // where the attempt is out; which reader holds the state
	avoid         *worker // the last server that failed it
	attempts      int
	sentAt, since Time    // when the attempt left; when the phase began
	outAt         Time    // when an attempt was last out, from which a waiting state's time counts
	todo          int     // tokens the reader is expected to read
	ahead         float64 // tokens queued there before it
	shown         float64 // tokens that its report showed waiting
	match         int     // tokens expected kept there
	expect        time.Duration
	ended         bool // answered, or nobody waits any more
	cancelled     bool
	whole         bool      // the attempt reads and answers
	asked         []*worker // readers probed for it before its first choice
	risks         []risk
}

// risk is an attempt that may have had an effect.
type risk struct {
	zone string
	cell int
	sent Time
}

type held struct {
	tokens int
	seen   Time
}

// worker is what this router knows of a server.
type worker struct {
	ServerInfo
	kind   *Kind
	usable bool // on the roster, with a known kind and zone
	// own work there
	reads, states, answers  int
	missed                  int // reads in a row that found far less kept than the table says
	readTokens, stateTokens float64
	memory                  float64
	out                     []*request // without a first token, oldest first
	sessions, prefixes      map[string]held
	report                  Report
	reportAt                Time
	askedAt, answeredAt     Time    // of the latest probe
	sentSince, readSince    float64 // memory, and tokens to read, sent since the report
	fail, pace              float64 // failing part; time per token against peers
	heard                   Time    // the last sign of life
	paceAt, asideTill       Time
	fullTo                  map[string]Time // by tenant and class, as rateKey joins them
	behind                  float64         // tokens that others have queued there, as reads tell
	behindAt                Time
	passed                  Time // when the latest attempt was sent that has come through
	asideFor                time.Duration
	sends                   []sendMark
}

type sendMark struct {
	at     Time
	weight float64
}

// stage holds what is usual at the servers of a role.
type stage struct {
	took, read  float64 // seconds and tokens of a read
	first       float64 // seconds to the first token, writers
	carried     float64 // weight done by warm servers, fading
	at, firstAt Time
	peak        float64 // best rate per warm server
	reads       shown
}

// shown holds reads by the tokens that the report had shown and those that were to be
// read, as sums of products with the time that the read took; old ones fade.
type shown struct{ n, aa, ab, bb, at, bt float64 }

func (f *shown) add(reported, toRead, took float64) {
	const keep = 0.99
	if reported <= 0 {
		return
	}
	for _, x := range []struct {
		sum *float64
		v   float64
	}{
		{&f.n, 1}, {&f.aa, reported * reported}, {&f.ab, reported * toRead}, {&f.bb, toRead * toRead},
		{&f.at, reported * took}, {&f.bt, toRead * took},
	} {
		*x.sum = *x.sum*keep + x.v
	}
}

// worth is the time that a reported token stands for against one to be read, by least
// squares: what deployments count as waiting differs, as do the reports' ages.
func (f *shown) worth() float64 {
	const enough, least = 20, 0.1
	token := f.aa*f.bt - f.ab*f.at
	if f.n < enough || token <= 0 {
		return 1
	}
	return min(1, max(least, (f.bb*f.at-f.ab*f.bt)/token))
}

// survey is one look at the servers of a role, good for one event.
type survey struct {
	n, warm              int
	pace, fail, age, lag float64 // fail of the better quarter, else the median
	waiting              float64 // tokens that reports show, the mean
}

// cell is a cell's part in the plan, in writers' weight.
type cell struct {
	id                      int
	readers, writers, reads float64
}

type quota struct {
	rate, saved float64
	at          Time
}

// Router decides for one router. It is not safe for concurrent use.
type Router struct {
	set     Settings
	seed    uint64
	now     Time
	out     []Action
	classes map[string]*Class
	kinds   map[string]*Kind
	weights map[string]float64 // mean prompt of a class: what a send to a cold server weighs
	quotas  map[string]*quota
	workers map[string]*worker
	order   []*worker // by name
	reqs    map[RequestID]*request
	held    []*request // waitReader and waitWriter, in order of arrival
	stages  [RoleMixed + 1]stage
	surveys [RoleMixed + 1]survey
	seen    map[string]float64 // requests by shared beginning, "" for all, fading
	cells   []*cell            // the plan; nil when the roster has changed
	retries float64
	turned  map[string]float64 // share of attempts turned away as full, by rateKey
	topGain float64
	calling bool
	closing bool // see Closing
	callAt  Time
	ticking bool
}

// Handle takes one event and returns what to do about it, in order. The result
// is valid until the next call.
func (r *Router) Handle(now Time, ev Event) []Action {
	r.now, r.out = now, r.out[:0]
	clear(r.surveys[:])
	switch e := ev.(type) {
	case Roster:
		r.onRoster(e)
	case Request:
		r.onRequest(e)
	case FirstToken:
		r.onFirstToken(e)
	case Outcome:
		r.onOutcome(e)
	case Gone:
		if q := r.reqs[e.ID]; q != nil {
			r.leave(q)
		}
	case Peers:
		r.onPeers(e.Routers)
	case Closing:
		r.closing = true
		r.onClosing(e.Last)
	case ProbeResult:
		r.onProbed(e)
	case TimerFired:
		r.onTick()
	}
	if !r.ticking {
		r.ticking = true
		r.do(SetTimer{In: r.tick(), Name: "tick"})
	}
	return r.out
}

func (r *Router) do(a Action) { r.out = append(r.out, a) }

// neverRan tells whether an outcome proves that the attempt had no effect.
func neverRan(s Status) bool {
	return s == StatusFull || s == StatusNoConnect || s == StatusUnsent || s == StatusRead
}

// leave ends a request whose client has gone.
func (r *Router) leave(q *request) {
	if q.at == nil {
		r.close(q)
		return
	}
	q.ended = true
	if q.phase != streaming {
		r.cancel(q)
	}
}

func (r *Router) cancel(q *request) {
	if r.set.CanCancel && !q.cancelled {
		q.cancelled = true
		r.do(CancelAttempt{ID: q.ID, Attempt: q.attempts - 1})
	}
}

// close forgets a request with no attempt out and lets go of all it holds.
func (r *Router) close(q *request) {
	if q.holder != nil {
		r.do(Release{q.ID})
	}
	r.shift(q, waitReader, nil)
	r.held = without(r.held, q)
	delete(r.reqs, q.ID)
}

// oldest is a server's oldest attempt out that no later one has passed. One that
// was passed hangs for a reason of its own and tells nothing of the queue.
func (w *worker) oldest() *request {
	for _, q := range w.out {
		if q.sentAt >= w.passed {
			return q
		}
	}
	return nil
}

// lag is how many times its expected time a server's oldest attempt has been out.
func (r *Router) lag(w *worker) float64 {
	if q := w.oldest(); q != nil {
		return float64(r.now-q.sentAt) / float64(q.expect)
	}
	return 0
}

// aim is when the first token is wanted after a prompt of so many tokens.
func (c *Class) aim(prompt int) time.Duration { return c.Aim + time.Duration(prompt)*c.AimPerToken }

// age is how many seconds a server's oldest attempt has been out.
func (r *Router) age(w *worker) float64 {
	if q := w.oldest(); q != nil {
		return (r.now - q.sentAt).Seconds()
	}
	return 0
}

func newRouter(set Settings, seed uint64) (*Router, error) {
	r := &Router{
		set: set, seed: seed, classes: map[string]*Class{}, kinds: map[string]*Kind{},
		weights: map[string]float64{}, quotas: map[string]*quota{}, workers: map[string]*worker{},
		reqs: map[RequestID]*request{}, seen: map[string]float64{}, turned: map[string]float64{},
	}
	if err := validate(&set); err != nil {
		return nil, err
	}
	for i := range set.Classes {
		r.classes[set.Classes[i].Name] = &r.set.Classes[i]
		r.topGain = max(r.topGain, set.Classes[i].Gain, 1e-9)
	}
	for i := range set.Kinds {
		r.kinds[set.Kinds[i].Name] = &r.set.Kinds[i]
	}
	return r, nil
}

// tally adds up the usable servers' weights by cell, in order of cell.
func (r *Router) tally() []*cell {
	cells := []*cell{}
	for _, w := range r.order {
		if !w.usable {
			continue
		}
		c := cellOf(cells, w.Cell)
		if c == nil {
			c = &cell{id: w.Cell}
			cells = append(cells, c)
		}
		switch w.role() {
		case RoleReader:
			c.readers += w.Weight
		case RoleWriter:
			c.writers += w.Weight
		}
	}
	slices.SortFunc(cells, func(a, b *cell) int { return cmp.Compare(a.id, b.id) })
	return cells
}

// cellOf returns the cell with an id, nil if there is none.
func cellOf(cells []*cell, id int) *cell {
	if i := slices.IndexFunc(cells, func(c *cell) bool { return c.id == id }); i >= 0 {
		return cells[i]
	}
	return nil
}

// Standing returns how a tenant stands with its quota at this router, as of its latest
// request; false if it has none.
func (r *Router) Standing(tenant string) (Standing, bool) {
	t := r.quotas[tenant]
	if t == nil {
		return Standing{}, false
	}
	most := max(t.rate*quotaSpan, 1)
	return Standing{Most: most, Left: t.saved, Full: seconds((most - t.saved) / t.rate)}, true
}

// Free tells whether requests of a class may be repeated at will.
func (r *Router) Free(class string) bool {
	c := r.classes[class]
	return c != nil && c.Effect == EffectFree
}

// Reads tells whether servers of a kind may read a prompt.
func (r *Router) Reads(kind string) bool {
	k := r.kinds[kind]
	return k != nil && (k.Role == RoleReader || k.Role == RoleMixed || k.Role == RoleWriter && r.set.WritersRead)
}

// onPeers takes the number of routers that share the pools: this router's part of
// every quota follows, and so does all that is reckoned with that number.
func (r *Router) onPeers(routers int) {
	if routers < 1 || routers == r.set.Routers {
		return
	}
	for _, q := range r.quotas {
		q.rate *= float64(r.set.Routers) / float64(routers)
		q.saved = min(q.saved, max(q.rate*quotaSpan, 1))
	}
	r.set.Routers = routers
}

func (r *Router) subscribe() {
	r.calling, r.callAt = true, r.now
	r.do(Subscribe{})
}

// rateKey names what a server may limit the rate of. No name holds the byte between the two:
// tenants and classes of other names never meet in one key.
func rateKey(q *request) string { return q.Tenant + "\x00" + q.Request.Class }

func (r *Router) onRoster(e Roster) {
	r.calling = e.Scope != RosterFailed && r.calling
	if e.Scope == RosterCached && r.set.MustSubscribe {
		r.subscribe()
	}
	named := make(map[string]bool, len(e.Servers))
	for _, s := range e.Servers {
		named[s.Name] = true
		r.learn(s)
	}
	r.cells = nil
	if e.Scope == RosterFull || e.Scope == RosterCached {
		for _, w := range r.order {
			if !named[w.Name] {
				w.usable, w.Phase = false, PhaseOff
			}
		}
	}
	r.order = slices.DeleteFunc(r.order, func(w *worker) bool {
		if !r.over(w) {
			return false
		}
		delete(r.workers, w.Name)
		return true
	})
}

// over tells whether a server has left and nothing of it is left to account for:
// servers come under ever new names. One that has just been sent work is kept, as it
// may come up again under its name, cold, and what was sent then counts.
func (r *Router) over(w *worker) bool {
	if w.Phase != PhaseOff || len(w.out) > 0 || w.reads+w.states+w.answers > 0 {
		return false
	}
	n := len(w.sends)
	return n == 0 || r.now-w.sends[n-1].at > r.set.Fall
}

// count keeps how often each shared beginning comes, and all under ""; old counts fade.
func (r *Router) count(prefix string) {
	r.seen[""]++
	if prefix != "" {
		r.seen[prefix]++
	}
	if r.seen[""] > seenMost {
		maps.DeleteFunc(r.seen, func(_ string, n float64) bool { return n < 2 })
		for k := range r.seen {
			r.seen[k] /= 2
		}
	}
}

// shift is the one place where a request changes phase: it keeps the account of
// what is out, queued and held at each server.
func (r *Router) shift(q *request, p phase, at *worker) {
	r.account(q, -1)
	if q.at != nil {
		q.at.out = without(q.at.out, q)
	}
	q.phase, q.at, q.since = p, at, r.now
	if p == reading || p == writing {
		at.out = append(at.out, q)
	}
	r.account(q, 1)
}

// attemptOver accounts for the end of a request's attempt. One that had no connection was
// never out.
func (r *Router) attemptOver(q *request, s Status) {
	r.shift(q, waitReader, nil)
	if s != StatusNoConnect {
		q.outAt = r.now
	}
}

func (w *worker) forget() {
	w.sessions, w.prefixes = map[string]held{}, map[string]held{}
}

func (w *worker) role() Role {
	if w.kind == nil {
		return RoleNone
	}
	return w.kind.Role
}

// chance returns a number in [0,1) that depends on seed, request and salt alone.
func (r *Router) chance(id RequestID, salt string) float64 {
	x := r.seed ^ uint64(id)*0x9e3779b97f4a7c15
	for i := 0; i < len(salt); i++ {
		x = (x ^ uint64(salt[i])) * 0x100000001b3
	}
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// blend returns a number in (0,1) that is the same at every router.
func blend(text, name string) float64 {
	x := uint64(14695981039346656037)
	for _, s := range [2]string{text, name} {
		for i := 0; i < len(s); i++ {
			x = (x ^ uint64(s[i])) * 0x100000001b3
		}
		x = (x ^ x>>32) * 0xbf58476d1ce4e5b9
	}
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (float64((x^x>>31)>>11) + 0.5) / (1 << 53)
}

// Retune takes new classes and a new number of attempts while the router runs.
// Requests in hand keep the class and the attempts they came with; a class no
// longer named stays known under its last rules, for requests that still name it.
// An error names the setting at fault, and then nothing changes.
func (r *Router) Retune(classes []Class, attempts int) error {
	next := r.set
	next.Classes, next.MaxAttempts = slices.Clone(classes), attempts
	if err := validate(&next); err != nil {
		return err
	}
	for _, old := range r.set.Classes {
		if !slices.ContainsFunc(classes, func(c Class) bool { return c.Name == old.Name }) {
			next.Classes = append(next.Classes, old)
		}
	}
	r.set.Classes, r.set.MaxAttempts = next.Classes, attempts
	r.classes, r.topGain = map[string]*Class{}, 0
	for i := range r.set.Classes {
		r.classes[r.set.Classes[i].Name] = &r.set.Classes[i]
		r.topGain = max(r.topGain, r.set.Classes[i].Gain, 1e-9)
	}
	return nil
}

func validate(s *Settings) error {
	switch {
	case s.Routers < 1:
		return errors.New("Routers: must be at least 1")
	case len(s.Classes) == 0:
		return errors.New("Classes: none given")
	case len(s.Kinds) == 0:
		return errors.New("Kinds: none given")
	case s.MaxAttempts < 1:
		return errors.New("MaxAttempts: must be at least 1")
	case s.PinLimit <= 0:
		return errors.New("PinLimit: must be above 0")
	case s.Fall <= 0 || s.FallMultiple <= 0 || s.ColdShare <= 0:
		return errors.New("Fall, FallMultiple, ColdShare: must be above 0")
	}
	for _, c := range s.Classes {
		if c.Aim <= 0 {
			return fmt.Errorf("Classes: %q has no Aim", c.Name)
		}
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// median returns the middle of the values, or none if there are none.
func median(values []float64, none float64) float64 {
	if len(values) == 0 {
		return none
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// without returns the list less one request.
func without(list []*request, q *request) []*request {
	if i := slices.Index(list, q); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// worker returns the record of a named server, new if need be, in order of name.
func (r *Router) worker(name string) *worker {
	w := r.workers[name]
	if w == nil {
		w = &worker{ServerInfo: ServerInfo{Name: name}, pace: 1, fullTo: map[string]Time{}}
		w.forget()
		r.workers[name] = w
		byName := func(w *worker, n string) int { return cmp.Compare(w.Name, n) }
		at, _ := slices.BinarySearchFunc(r.order, name, byName)
		r.order = slices.Insert(r.order, at, w)
	}
	return w
}

// all calls yield for each usable server of a role, in order of name.
func (r *Router) all(role Role) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, w := range r.order {
			if w.usable && w.role() == role && !yield(w) {
				return
			}
		}
	}
}
