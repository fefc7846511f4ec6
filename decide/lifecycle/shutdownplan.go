package lifecycle

import "time"

// shutdownPlan lists the times at which a terminating process takes each step. All times are derived from the
// time of the termination and from the settings.
type shutdownPlan struct {
	acceptUntil   time.Time // earliest end of accepting: new clients are accepted until then
	stopAccepting time.Time // latest end of accepting: nothing new is accepted afterwards
	rejectWaiting time.Time // waiting requests are rejected
	failWaiting   time.Time // requests without an answer are failed
	abortStreams  time.Time // streams are aborted
	exit          time.Time // the process exits
}

// earliestKill returns the earliest possible time of SIGKILL. It uses the shorter of the waits at the start
// and now, because the platform may not have applied a change of settings.
func (p *Process) earliestKill() time.Time {
	return p.terminatedAt.Add(
		min(p.initialMaxFirstEventWait, p.limits.MaxFirstEventWait, maxKillWait) + minKillDelay)
}

// answerTimeout returns how long an answer may continue after its connection is no longer kept alive. It uses
// the settings at the start, so that later settings can't extend it.
func (p *Process) answerTimeout() time.Duration { return p.initialMaxFirstEventWait + AnswerTimeout }

func (p *Process) planShutdown() shutdownPlan {
	if p.limits.ClientsResume {
		return p.planStreamAborts()
	}
	return p.planStreamCompletion()
}

// planStreamAborts plans the shutdown of a process whose clients resume aborted streams at another process.
// The process serves for as long as possible, since the other processes of a rolling restart may be
// unavailable. It aborts streams early enough for their clients to find another process and for the state
// that engines hold to be released.
func (p *Process) planStreamAborts() shutdownPlan {
	earliestKill := p.earliestKill()
	plan := shutdownPlan{
		acceptUntil: p.terminatedAt.Add(AcceptGrace), rejectWaiting: earliestKill.Add(-rejectBeforeKill),
	}
	if plan.rejectWaiting.Before(plan.acceptUntil) { // a short wait: the steps share the available time
		plan.rejectWaiting = plan.acceptUntil
	}
	plan.stopAccepting = plan.rejectWaiting
	latestExit := earliestKill.Add(-killMargin)
	available := max(latestExit.Sub(plan.rejectWaiting), 0)
	plan.failWaiting = plan.rejectWaiting.Add(min(rejectPeriod, available*3/10))
	plan.abortStreams = plan.failWaiting.Add(min(failPeriod, available/10))
	plan.exit = plan.abortStreams.Add(min(releasePeriod, max(latestExit.Sub(plan.abortStreams), 0)))
	return plan
}

// planStreamCompletion plans the shutdown of a process whose streams must not be aborted while their events
// arrive: they continue up to the kill, or for answerTimeout if there is no kill. Requests without an answer
// shortly before an expected kill are failed.
func (p *Process) planStreamCompletion() shutdownPlan {
	plan := shutdownPlan{
		acceptUntil: p.terminatedAt.Add(AcceptGrace), abortStreams: p.terminatedAt.Add(p.answerTimeout()),
	}
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
