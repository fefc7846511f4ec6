package lifecycle

import "time"

// shutdownPlan is when a process that ends takes each step. All times follow from when it was told
// to end and from the settings.
type shutdownPlan struct {
	acceptUntil   time.Time // at the earliest: until then new clients are accepted
	stopAccepting time.Time // at the latest: from then on nothing new is accepted
	rejectWaiting time.Time // requests that wait are rejected
	failWaiting   time.Time // what is unanswered is failed
	abortStreams  time.Time // streams are cut off
	exit          time.Time // the process exits
}

// earliestKill is when SIGKILL may come at the earliest. It goes by the shorter of the waits at the
// start and now: the platform may not have applied the change.
func (p *Process) earliestKill() time.Time {
	return p.terminatedAt.Add(min(p.initialMaxWait, p.limits.MaxFirstEventWait, maxKillWait) + minKillDelay)
}

// answerTimeout is how long after its connection was to end an answer may go on. It goes by the
// settings at the start, so that no later ones move the end out.
func (p *Process) answerTimeout() time.Duration { return p.initialMaxWait + AnswerTimeout }

func (p *Process) planShutdown() shutdownPlan {
	if p.limits.ClientsResume {
		return p.planAborting()
	}
	return p.planFinishing()
}

// planAborting ends a process whose clients ask for the rest of streams elsewhere: it serves on for
// as long as it may, since the others of a rolling restart may be away, and cuts streams off early
// enough for their clients to find another and for what engines hold to be released.
func (p *Process) planAborting() shutdownPlan {
	kill := p.earliestKill()
	plan := shutdownPlan{acceptUntil: p.terminatedAt.Add(AcceptGrace), rejectWaiting: kill.Add(-rejectBeforeKill)}
	if plan.rejectWaiting.Before(plan.acceptUntil) { // a short wait: the steps share what time there is
		plan.rejectWaiting = plan.acceptUntil
	}
	plan.stopAccepting = plan.rejectWaiting
	last := kill.Add(-killMargin)
	available := max(last.Sub(plan.rejectWaiting), 0)
	plan.failWaiting = plan.rejectWaiting.Add(min(rejectPeriod, available*3/10))
	plan.abortStreams = plan.failWaiting.Add(min(failPeriod, available/10))
	plan.exit = plan.abortStreams.Add(min(releasePeriod, max(last.Sub(plan.abortStreams), 0)))
	return plan
}

// planFinishing ends a process whose streams must not be cut off while their events come: they go
// on up to the kill, or for answerTimeout where no kill comes. What has no answer by shortly before
// a kill that is known to come is failed.
func (p *Process) planFinishing() shutdownPlan {
	plan := shutdownPlan{acceptUntil: p.terminatedAt.Add(AcceptGrace), abortStreams: p.terminatedAt.Add(p.answerTimeout())}
	plan.stopAccepting, plan.rejectWaiting = plan.acceptUntil, plan.abortStreams
	if p.limits.KillExpected {
		plan.rejectWaiting = p.earliestKill().Add(-failBeforeKill)
		if plan.rejectWaiting.Before(plan.stopAccepting) {
			plan.rejectWaiting = plan.stopAccepting
		}
	}
	plan.failWaiting = plan.rejectWaiting
	plan.exit = plan.abortStreams.Add(releasePeriod)
	return plan
}
