package routing

import (
	"time"
)

const (
	failStep    = 0.3                    // weight of one outcome; two failures in a row pass failBound
	failBound   = 0.35                   // above this, and twice the peers' mean, an engine is ejected
	failCleared = 0.15                   // below this an engine that was ejected is trusted again
	ejectFirst  = 800 * time.Millisecond // first ejection; doubles, as most troubles outlast it
	ejectMost   = 6400 * time.Millisecond
)

// judge is fed by every outcome. It guards against engines that fail, reset, refuse or stay
// silent, also towards this router alone. A common cause fails all alike: see blame and eligible.
func (r *Router) judge(w *engine, q *request, e Outcome) {
	if e.Status != StatusTimeout && e.Status != StatusCancelled && e.Status != StatusNotSent {
		w.heard = r.now
	}
	full := 0.0
	if e.Status == StatusRejected {
		full = 1
	}
	r.turned[rateKey(q)] += (full - r.turned[rateKey(q)]) * usualStep
	switch e.Status {
	case StatusPrefilled:
		w.passed = max(w.passed, q.sentAt)
		r.blame(w, 0, 1)
		r.noteRead(w, q, float64(q.PromptTokens-e.CachedTokens), e.Latency)
		r.carry(w, r.weights[q.Class])
	case StatusServed:
		r.blame(w, 0, 1)
	case StatusError:
		r.blame(w, 1, 1)
	case StatusTimeout:
		if w.heard <= q.sentAt { // silent since; a busy engine is not to blame
			r.blame(w, 1, 1)
		}
	case StatusReset, StatusConnectFailed:
		r.blame(w, 1, 2) // the process is down: two outcomes' worth
	case StatusRejected:
		if !e.StateMissing {
			w.fullTo[rateKey(q)] = r.now + fullPause
			if r.singledOut(q) {
				w.fullTo[rateKey(q)] = r.now + limitPause
			}
		}
	}
}

func (r *Router) blame(w *engine, v float64, times int) {
	for range times {
		w.fail += (v - w.fail) * failStep
	}
	r.surveys[w.role()] = survey{}
	if v == 0 && w.fail < failCleared {
		w.ejectedFor = 0
	}
	if v > 0 && w.usable && w.fail > failBound && w.fail > 2*r.survey(w.role()).fail && r.now >= w.ejectedUntil {
		w.ejectedFor = min(max(2*w.ejectedFor, ejectFirst), ejectMost)
		w.ejectedUntil = r.now + w.ejectedFor
	}
}

// trusted tells whether an engine may take ordinary work. One ejected comes
// back by trial: one request at a time until its outcomes clear it.
func (r *Router) trusted(w *engine) bool {
	if r.now < w.ejectedUntil {
		return false
	}
	return w.ejectedFor == 0 || len(w.out) == 0
}
