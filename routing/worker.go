package routing

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// engine is what this router knows of an engine.
type engine struct {
	EngineInfo
	kind   *Kind
	usable bool // on the roster, with a known kind and zone
	// own work there
	reads, states, answers  int
	readTokens, stateTokens float64
	memory                  float64
	out                     []*request // without a first token, oldest first
	sessions, prefixes      map[string]held
	report                  LoadReport
	reportAt                Time
	askedAt, answeredAt     Time    // of the latest probe
	sentSince, readSince    float64 // memory, and tokens to read, sent since the report
	fail, pace              float64 // failing part; time per token against peers
	heard                   Time    // the last sign of life
	paceAt, ejectedUntil    Time
	fullTo                  map[string]Time // by tenant and class, as rateKey joins them
	behind                  float64         // tokens that others have queued there, as reads tell
	behindAt                Time
	passed                  Time // when the latest attempt was sent that has come through
	ejectedFor              time.Duration
	sends                   []sendMark
}

type sendMark struct {
	at     Time
	weight float64
}

// shown holds reads by the tokens that the report had shown and those that were to be
// read, as sums of products with the time that the read took; old ones fade.
type shown struct{ count, aa, ab, bb, at, bt float64 }

func (f *shown) add(reported, toRead, took float64) {
	const keep = 0.99
	if reported <= 0 {
		return
	}
	for _, x := range []struct {
		sum   *float64
		value float64
	}{
		{&f.count, 1}, {&f.aa, reported * reported}, {&f.ab, reported * toRead}, {&f.bb, toRead * toRead},
		{&f.at, reported * took}, {&f.bt, toRead * took},
	} {
		*x.sum = *x.sum*keep + x.value
	}
}

// worth is the time that a reported token stands for against one to be read, by least
// squares: what deployments count as waiting differs, as do the reports' ages.
func (f *shown) worth() float64 {
	const enough, least = 20, 0.1
	token := f.aa*f.bt - f.ab*f.at
	if f.count < enough || token <= 0 {
		return 1
	}
	return min(1, max(least, (f.bb*f.at-f.ab*f.bt)/token))
}

// oldest is an engine's oldest attempt out that no later one has passed. One that
// was passed hangs for a reason of its own and tells nothing of the queue.
func (w *engine) oldest() *request {
	for _, q := range w.out {
		if q.sentAt >= w.passed {
			return q
		}
	}
	return nil
}

// lag is how many times its expected time an engine's oldest attempt has been out.
func (r *Router) lag(w *engine) float64 {
	if q := w.oldest(); q != nil {
		return float64(r.now-q.sentAt) / float64(q.expect)
	}
	return 0
}

// age is how many seconds an engine's oldest attempt has been out.
func (r *Router) age(w *engine) float64 {
	if q := w.oldest(); q != nil {
		return (r.now - q.sentAt).Seconds()
	}
	return 0
}

func (w *engine) forget() {
	w.sessions, w.prefixes = map[string]held{}, map[string]held{}
}

func (w *engine) role() Role {
	if w.kind == nil {
		return RoleNone
	}
	return w.kind.Role
}

// engine returns the record of a named engine, new if need be, in order of name.
func (r *Router) engine(name string) *engine {
	w := r.engines[name]
	if w == nil {
		w = &engine{EngineInfo: EngineInfo{Name: name}, pace: 1, fullTo: map[string]Time{}}
		w.forget()
		r.engines[name] = w
		byName := func(w *engine, n string) int { return cmp.Compare(w.Name, n) }
		at, _ := slices.BinarySearchFunc(r.order, name, byName)
		r.order = slices.Insert(r.order, at, w)
	}
	return w
}

// all calls yield for each usable engine of a role, in order of name.
func (r *Router) all(role Role) iter.Seq[*engine] {
	return func(yield func(*engine) bool) {
		for _, w := range r.order {
			if w.usable && w.role() == role && !yield(w) {
				return
			}
		}
	}
}
