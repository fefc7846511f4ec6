package fleetsim

import (
	"fmt"
	"slices"
	"time"

	"wellgw/routing"
)

type gateway struct {
	zone    string
	decider Decider
	told    map[string]time.Duration    // since when an engine is known to drain or be gone
	idle    map[*engine][]time.Duration // connections that are free, by since when
}

// announce tells the gateways of an engine's state, each in its time.
func (w *world) announce(e *engine) {
	info := e.info()
	for _, g := range w.gateways {
		w.at(w.now+time.Duration(w.clients.in(0.7, 1)*float64(w.deployment.Notice)), func() {
			if info.Phase == routing.PhaseActive {
				delete(g.told, e.Name)
			} else if _, known := g.told[e.Name]; !known {
				g.told[e.Name] = w.now
			}
			w.tell(g, routing.EngineList{Engines: []routing.EngineInfo{info}})
		})
	}
}

func (w *world) tell(g *gateway, ev routing.Event) {
	for _, a := range slices.Clone(g.decider.Handle(w.now, ev)) {
		w.act(g, a)
	}
}

func (w *world) act(g *gateway, action routing.Action) {
	if w.trace {
		if _, timer := action.(routing.SetTimer); !timer {
			w.res.Decisions = append(w.res.Decisions, fmt.Sprintf("%d %T %+v", w.now, action, action))
		}
	}
	switch a := action.(type) {
	case routing.SetTimer:
		w.at(w.now+max(a.After, w.deployment.Settings.TickInterval), func() {
			if w.now < w.deployment.Length+30*time.Second {
				w.tell(g, routing.TimerFired{Name: a.Name})
			}
		})
	case routing.Send:
		w.send(g, a)
	case routing.Reject:
		if t := w.ending(g, a.ID); t != nil {
			if t.ran && w.single(t) {
				w.broke("request %d was refused though it may have run", t.id)
			}
			w.res.Refused++
			w.answered(t, true, a.RetryAfter)
		}
	case routing.Fail:
		if t := w.ending(g, a.ID); t != nil {
			w.answered(t, !w.single(t), 0)
		}
	case routing.CancelAttempt:
		t := w.tries[a.ID]
		if t == nil || t.out == nil || t.out.number != a.Attempt || t.first > 0 {
			return
		}
		out := t.out
		w.at(w.now+w.deployment.Settings.TickInterval, func() { w.finish(out, routing.StatusCancelled) })
		w.at(w.now+w.way(g, out.engine), func() { w.withdraw(out) })
	case routing.Probe:
		w.probe(g, w.byName[a.Engine])
	case routing.Release:
		if t := w.tries[a.ID]; t != nil {
			w.free(t)
		}
	}
}

func (w *world) single(t *try) bool {
	return w.deployment.Classes[t.call.class].Effect == routing.EffectAtMostOnce
}

// ending returns the try that a final answer ends, nil if the answer is out of place.
func (w *world) ending(g *gateway, id routing.RequestID) *try {
	t := w.tries[id]
	switch {
	case t == nil || t.gw != g:
		w.broke("a final answer for request %d, which is not known", id)
	case t.gone:
	case t.ended:
		w.broke("a second final answer for request %d", id)
	default:
		return t
	}
	return nil
}

func (w *world) send(g *gateway, a routing.Send) {
	t, e := w.tries[a.ID], w.byName[a.Engine]
	switch {
	case t == nil || t.gw != g || t.ended && !t.gone:
		w.broke("a send for request %d, which has ended", a.ID)
		return
	case e == nil:
		w.broke("a send to %q, which is in no list", a.Engine)
		return
	case t.out != nil:
		w.broke("two attempts of request %d are out", a.ID)
		return
	case t.attempts >= w.deployment.Settings.MaxAttempts:
		w.broke("request %d has had its attempts", a.ID)
		return
	case t.ran && w.single(t):
		w.broke("request %d may run twice", a.ID)
	}
	if since, known := g.told[e.Name]; known && w.now-since > w.deployment.Grace {
		w.broke("a send to %s %v after its drain was told", e.Name, w.now-since)
	}
	w.unpin(t)
	out := &attempt{number: t.attempts, try: t, engine: e, sent: w.now, done: w.connect(g, e)}
	e.sends++
	t.attempts++
	t.out = out
	if a.Timeout > 0 && w.now+a.Timeout < t.deadline {
		w.at(w.now+a.Timeout, func() {
			if t.first == 0 {
				w.finish(out, routing.StatusTimeout)
				w.withdraw(out)
			}
		})
	}
	w.at(w.now+w.way(g, e), func() {
		if !out.over {
			e.take(out)
		}
	})
}

// probe asks an engine for its load, on a connection of the gateway's.
func (w *world) probe(g *gateway, e *engine) {
	if e == nil {
		w.broke("a probe of an engine that is in no list")
		return
	}
	w.res.Probes++
	done := w.connect(g, e)
	w.at(w.now+w.way(g, e), func() {
		up, rep := e.up, e.report
		w.at(w.now+w.way(g, e), func() {
			done()
			s := routing.StatusServed
			if !up {
				s, rep = routing.StatusConnectFailed, nil
			}
			w.tell(g, routing.ProbeResult{Engine: e.Name, Status: s, Latency: 2 * w.way(g, e), Report: rep})
		})
	})
}
