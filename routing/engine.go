package routing

import (
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

func (w *engine) role() Role {
	if w.kind == nil {
		return RoleNone
	}
	return w.kind.Role
}

func (w *engine) forget() {
	w.sessions, w.prefixes = map[string]held{}, map[string]held{}
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
