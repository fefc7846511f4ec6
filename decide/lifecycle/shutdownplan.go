package lifecycle

import "time"

// shutdownPlan is when a process that ends takes each step. All times follow from when it was told to
// end and from the settings.
type shutdownPlan struct {
	acceptUntil   time.Time // new clients keep coming
	stopAccepting time.Time // at the latest: nothing new is taken
	rejectWaiting time.Time // requests that wait are refused
	failWaiting   time.Time // what is unanswered is failed
	abortStreams  time.Time // streams are cut off
	exit          time.Time // the process exits
}

// earliestKill is when SIGKILL may come at the earliest. It goes by the shorter of the waits at the start
// and now: the platform may not have taken the change.
func (p *Process) earliestKill() time.Time {
	return p.terminatedAt.Add(min(p.initialMaxWait, p.limits.MaxWait, maxKillWait) + minKillDelay)
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

// planAborting ends a process whose clients ask for the rest of streams elsewhere: it serves on for as
// long as it may, since the others of a rolling restart may be away, and cuts streams off early
// enough for their clients to find another and for what engines hold to be released.
func (p *Process) planAborting() shutdownPlan {
	kill := p.earliestKill()
	l := shutdownPlan{acceptUntil: p.terminatedAt.Add(AcceptGrace), rejectWaiting: kill.Add(-rejectBeforeKill)}
	if l.rejectWaiting.Before(l.acceptUntil) { // a short wait: the steps share what time there is
		l.rejectWaiting = l.acceptUntil
	}
	last := kill.Add(-killMargin)
	left := max(last.Sub(l.rejectWaiting), 0)
	l.failWaiting = l.rejectWaiting.Add(min(rejectPeriod, left*3/10))
	l.abortStreams = l.failWaiting.Add(min(failPeriod, left/10))
	l.exit = l.abortStreams.Add(min(releasePeriod, max(last.Sub(l.abortStreams), 0)))
	l.stopAccepting = l.rejectWaiting
	return l
}

// planFinishing ends a process whose streams must not be cut off while their events come: they go
// on up to the kill, or for answerTimeout where no kill comes. What has no answer by shortly before
// a kill that is known to come is failed.
func (p *Process) planFinishing() shutdownPlan {
	l := shutdownPlan{acceptUntil: p.terminatedAt.Add(AcceptGrace), abortStreams: p.terminatedAt.Add(p.answerTimeout())}
	l.stopAccepting, l.rejectWaiting = l.acceptUntil, l.abortStreams
	if p.limits.KillKnown {
		l.rejectWaiting = p.earliestKill().Add(-failBeforeKill)
		if l.rejectWaiting.Before(l.stopAccepting) {
			l.rejectWaiting = l.stopAccepting
		}
	}
	l.failWaiting = l.rejectWaiting
	l.exit = l.abortStreams.Add(releasePeriod)
	return l
}
