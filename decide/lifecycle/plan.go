package lifecycle

import "time"

// plan is when a process that ends takes each step. All times follow from when it was told to
// end and from the settings.
type plan struct {
	acceptUntil time.Time // new clients keep coming
	finish      time.Time // at the latest: nothing new is taken
	refuse      time.Time // requests that wait are refused
	fail        time.Time // what is unanswered is failed
	cut         time.Time // streams are cut off
	end         time.Time // the process exits
}

// kill is when SIGKILL may come at the earliest. It goes by the shorter of the waits at the start
// and now: the platform may not have taken the change.
func (p *Process) kill() time.Time {
	return p.endingAt.Add(min(p.first, p.limits.Longest, longestWait) + killAfter)
}

// answerLimit is how long after its connection was to end an answer may go on. It goes by the
// settings at the start, so that no later ones move the end out.
func (p *Process) answerLimit() time.Duration { return p.first + AnswerLimit }

func (p *Process) planEnd() plan {
	if p.limits.Resume {
		return p.planCut()
	}
	return p.planFinish()
}

// planCut ends a process whose clients ask for the rest of streams elsewhere: it serves on for as
// long as it may, since the others of a rolling restart may be away, and cuts streams off early
// enough for their clients to find another and for what engines hold to be released.
func (p *Process) planCut() plan {
	kill := p.kill()
	l := plan{acceptUntil: p.endingAt.Add(AcceptFor), refuse: kill.Add(-beforeKill)}
	if l.refuse.Before(l.acceptUntil) { // a short wait: the steps share what time there is
		l.refuse = l.acceptUntil
	}
	last := kill.Add(-killMargin)
	left := max(last.Sub(l.refuse), 0)
	l.fail = l.refuse.Add(min(refuseFor, left*3/10))
	l.cut = l.fail.Add(min(failFor, left/10))
	l.end = l.cut.Add(min(releaseFor, max(last.Sub(l.cut), 0)))
	l.finish = l.refuse
	return l
}

// planFinish ends a process whose streams must not be cut off while their events come: they go
// on up to the kill, or for answerLimit where no kill comes. What has no answer by shortly before
// a kill that is known to come is failed.
func (p *Process) planFinish() plan {
	l := plan{acceptUntil: p.endingAt.Add(AcceptFor), cut: p.endingAt.Add(p.answerLimit())}
	l.finish, l.refuse = l.acceptUntil, l.cut
	if p.limits.KillKnown {
		l.refuse = p.kill().Add(-lastFailures)
		if l.refuse.Before(l.finish) {
			l.refuse = l.finish
		}
	}
	l.fail = l.refuse
	l.end = l.cut.Add(releaseFor)
	return l
}
