package fleetsim

import (
	"time"

	"wellgw/routing"
)

type attempt struct {
	number int
	try    *try
	engine *engine
	sent   time.Duration
	whole  bool
	over   bool
	done   func() // frees its connection
}

// connect takes a free connection to an engine, or opens one; the function returned frees it.
func (w *world) connect(g *gateway, e *engine) (done func()) {
	free := g.idle[e]
	for len(free) > 0 && w.now-free[0] > w.deployment.ConnIdle {
		free = free[1:]
	}
	if len(free) > 0 {
		free = free[:len(free)-1]
	} else {
		w.res.Conns++
	}
	g.idle[e] = free
	start := e.start
	return func() {
		if e.start == start { // a process that has ended took its connections with it
			g.idle[e] = append(g.idle[e], w.now)
		}
	}
}

// way is how long a message takes between a gateway and an engine.
func (w *world) way(g *gateway, e *engine) time.Duration {
	if g.zone == e.Zone {
		return w.deployment.Same
	}
	return w.deployment.Cross
}

// fetch moves a state and returns when it has come.
func (w *world) fetch(from, to *engine, tokens int) time.Duration {
	if from.Cell == to.Cell {
		from.linkFree = max(from.linkFree, w.now) + time.Duration(float64(tokens)/w.deployment.Near*float64(time.Second))
		return from.linkFree
	}
	slower := w.linkSlow
	if from.Zone != to.Zone {
		slower *= 2
	}
	took := time.Duration(float64(tokens) / w.deployment.Far * slower * float64(time.Second))
	w.links[from.Cell] = max(w.links[from.Cell], w.now) + took
	return w.links[from.Cell]
}

// withdraw stops an engine's work on an attempt that nobody waits for.
func (w *world) withdraw(a *attempt) {
	if a.engine.up {
		a.engine.drop(a)
	}
}

// free lets go of what a try holds.
func (w *world) free(t *try) {
	w.unpin(t)
	if e := t.state; e != nil {
		t.state = nil
		w.at(w.now+w.way(t.gw, e), func() { e.release(t) })
	}
}

// pin starts the time within which what is held must be taken or let go.
func (w *world) pin(t *try) {
	since := w.now
	t.pinnedSince = since
	w.at(since+w.deployment.Settings.HeldStateLimit+time.Millisecond, func() {
		if t.pinnedSince == since && t.state != nil && t.out == nil && !t.pinnedMarked {
			t.pinnedMarked = true
			w.broke("the state of request %d stayed pinned", t.id)
		}
	})
}

func (w *world) unpin(t *try) { t.pinnedSince = -1 }

// first brings a first token to the gateway.
func (w *world) first(a *attempt) {
	w.at(w.now+w.way(a.try.gw, a.engine), func() {
		t := a.try
		if a.over || t.out != a {
			return
		}
		t.first = w.now
		w.free(t)
		w.tell(t.gw, routing.FirstToken{ID: t.id, Attempt: a.number, Engine: a.engine.Name, Latency: w.now - a.sent})
	})
}

// reply brings an attempt's end to the gateway, with the report that the engine last gave out.
func (w *world) reply(a *attempt, s routing.Status, found int, noState bool) {
	rep := a.engine.report
	if w.deployment.Pull {
		rep = nil
	}
	w.at(w.now+w.way(a.try.gw, a.engine), func() {
		if a.over {
			if s == routing.StatusPrefilled { // nobody asked any more: the state goes by itself
				a.engine.release(a.try)
			}
			return
		}
		w.end(a, s, found, noState, rep)
	})
}

// finish ends an attempt at the gateway's side.
func (w *world) finish(a *attempt, s routing.Status) {
	if !a.over {
		w.end(a, s, 0, false, nil)
	}
}

func (w *world) end(a *attempt, s routing.Status, found int, noState bool, rep *routing.LoadReport) {
	t := a.try
	a.over, t.out = true, nil
	if s != routing.StatusCancelled && s != routing.StatusTimeout { // those are closed
		a.done()
	}
	if !a.engine.prefills() && (s == routing.StatusError || s == routing.StatusTimeout || s == routing.StatusReset || s == routing.StatusCancelled) {
		t.ran = true
	}
	if a.engine.prefills() && s != routing.StatusPrefilled && t.state == a.engine { // cancelled or out of time: it goes by itself
		t.state = nil
		a.engine.release(t)
	}
	final := t.ended || s == routing.StatusServed || t.first > 0
	if final && !t.ended {
		t.ended = true
		if s == routing.StatusServed {
			w.earn(t)
		}
	}
	if t.state != nil {
		w.pin(t)
	}
	w.tell(t.gw, routing.Outcome{
		ID: t.id, Attempt: a.number, Engine: a.engine.Name, Status: s, Latency: w.now - a.sent, Final: final,
		CachedTokens: found, StateMissing: noState, Report: rep,
	})
}
