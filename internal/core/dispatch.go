package core

import "wellgw/routing"

// dispatch gives the module an event, carries out what it asks for, and goes on with
// what that brings at once. Handle's result ends with the next call, so events
// that an action brings wait in pending.
func (c *Core) dispatch(ev routing.Event) {
	c.pendingEvents = append(c.pendingEvents, ev)
	if len(c.pendingEvents) > 1 {
		return
	}
	for len(c.pendingEvents) > 0 {
		for _, a := range c.router.Handle(c.clock.now(), c.pendingEvents[0]) {
			c.execute(a)
		}
		c.pendingEvents = c.pendingEvents[1:]
	}
	c.pendingEvents = nil
}

func (c *Core) execute(action routing.Action) {
	switch a := action.(type) {
	case routing.Send:
		c.startAttempt(a)
	case routing.Reject:
		if request := c.requests.byID[a.ID]; c.checks.Hold(request != nil, "a refusal names a request in hand") {
			c.answer(request, Answer{Verdict: Rejected, RetryAfter: a.RetryAfter, OverQuota: a.OverQuota})
		}
	case routing.Fail:
		if request := c.requests.byID[a.ID]; c.checks.Hold(request != nil, "a failure names a request in hand") {
			c.answer(request, Answer{Verdict: Failed})
		}
	case routing.CancelAttempt:
		if request := c.requests.byID[a.ID]; request != nil && a.Attempt < len(request.attempts) && request.streaming != request.attempts[a.Attempt] {
			c.endAttempt(request, request.attempts[a.Attempt], Result{Status: routing.StatusCancelled})
		}
	case routing.Release: // the ledger of held states sees to it; see settle
	case routing.SetTimer:
		c.schedule(a.In, routingTimerFired{a.Name})
	case routing.Probe:
		c.startProbe(a.Engine)
	case routing.Subscribe:
		c.directory.Subscribe()
	default:
		c.checks.Hold(false, "every action of the module is known")
	}
}
