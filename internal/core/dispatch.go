package core

import "wellgw/routing"

// dispatch passes an event to the router and executes the actions that it returns. Executing an action may
// dispatch further events. These are queued in pendingEvents until all actions are executed, because the
// result of Handle is valid only until its next call.
func (c *Core) dispatch(event routing.Event) {
	c.pendingEvents = append(c.pendingEvents, event)
	if len(c.pendingEvents) > 1 {
		return // the outer call of dispatch handles it
	}
	for len(c.pendingEvents) > 0 {
		for _, action := range c.router.Handle(c.clock.now(), c.pendingEvents[0]) {
			c.execute(action)
		}
		c.pendingEvents = c.pendingEvents[1:]
	}
	c.pendingEvents = nil
}

// execute carries out an action of the router.
func (c *Core) execute(action routing.Action) {
	switch a := action.(type) {
	case routing.Send:
		c.startAttempt(a)
	case routing.Reject:
		if request := c.requests.byID[a.ID]; c.checks.Assert(request != nil, "a rejection is for an open request") {
			c.answer(request, Answer{Verdict: Rejected, RetryAfter: a.RetryAfter, OverQuota: a.OverQuota})
		}
	case routing.Fail:
		if request := c.requests.byID[a.ID]; c.checks.Assert(request != nil, "a failure is for an open request") {
			c.answer(request, Answer{Verdict: Failed})
		}
	case routing.CancelAttempt:
		c.cancelAttempt(a)
	case routing.Release: // the request's ledger starts releases; see reconcileHeldState
	case routing.SetTimer:
		c.schedule(a.After, routingTimerFired{a.Name})
	case routing.Probe:
		c.startProbe(a.Engine)
	case routing.Subscribe:
		c.directory.Subscribe()
	default:
		c.checks.Assert(false, "the core handles every type of action")
	}
}

// cancelAttempt ends an attempt, unless its stream is the answer by now.
func (c *Core) cancelAttempt(cancel routing.CancelAttempt) {
	request := c.requests.byID[cancel.ID]
	if request == nil || cancel.Attempt >= len(request.attempts) {
		return
	}
	if attempt := request.attempts[cancel.Attempt]; request.streaming != attempt {
		c.endAttempt(request, attempt, Result{Status: routing.StatusCancelled})
	}
}
