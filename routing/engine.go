package routing

import (
	"time"
)

// engine is what this router knows of an engine.
type engine struct {
	EngineInfo
	kind   *Kind
	usable bool // active on the engine list, with a known kind and zone
	// This router's own work there.
	prefills, heldStates, answers        int
	prefillTokens, heldTokens            float64
	memory                               float64
	inFlight                             []*request // without a first token, oldest first
	cache                                prefixCache
	report                               LoadReport
	reportAt                             Time
	probedAt, probeAnsweredAt            Time    // of the latest probe
	memorySinceReport, tokensSinceReport float64 // memory, and tokens to read, sent since the report
	failureRate, pace                    float64 // share of attempts that fail; time per token against peers
	lastHeard                            Time    // the last sign of life
	paceAt, ejectedUntil                 Time
	rejectingUntil                       map[string]Time // by tenant and class, as rateLimitKey joins them
	backlog                              float64         // tokens that others have queued there, by latencies
	backlogAt                            Time
	lastCompletedSentAt                  Time // when the latest attempt was sent that has succeeded
	ejectionPeriod                       time.Duration
	slowStartSends                       []slowStartSend
}

func (e *engine) role() Role {
	if e.kind == nil {
		return RoleNone
	}
	return e.kind.Role
}

// oldestInFlight is an engine's oldest attempt out that no later one has passed. One that
// was passed hangs for a reason of its own and tells nothing of the queue.
func (e *engine) oldestInFlight() *request {
	for _, req := range e.inFlight {
		if req.sentAt >= e.lastCompletedSentAt {
			return req
		}
	}
	return nil
}

// overdue is how many times its expected time an engine's oldest attempt has been out.
func (r *Router) overdue(e *engine) float64 {
	if req := e.oldestInFlight(); req != nil {
		return float64(r.now-req.sentAt) / float64(req.expectedTime)
	}
	return 0
}

// oldestAge is how many seconds an engine's oldest attempt has been out.
func (r *Router) oldestAge(e *engine) float64 {
	if req := e.oldestInFlight(); req != nil {
		return (r.now - req.sentAt).Seconds()
	}
	return 0
}
