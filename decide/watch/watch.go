// Package watch decides how a catalogue is followed: what is asked next and for how
// long, what an answer or a failure is worth, which of several agents is asked, and
// whether each service can have a query of its own. It does no I/O and reads no clock;
// what an answer makes of the engines is decided in decide/roster.
package watch

import (
	"time"

	"wellgw/decide/roster"
)

// Limits are the figures of following.
type Limits struct {
	Wait       time.Duration // longest blocking query
	FirstWait  time.Duration // the same for the first one after a pause
	PauseLeast time.Duration // between two answers to one question
	PauseMost  time.Duration
	PausePart  int           // times as long as the last answer took to digest
	RetryMost  time.Duration // longest wait while nobody answers
	FailsLeast int           // failures in a row that say something of the source
	MaxAge     time.Duration // a server that heard from its leader longer ago is behind
}

// DefaultLimits returns the usual figures.
func DefaultLimits() Limits {
	return Limits{
		Wait: 10 * time.Second, FirstWait: time.Second, PauseLeast: 100 * time.Millisecond, PauseMost: time.Second,
		PausePart: 4, RetryMost: 2 * time.Second, FailsLeast: 2, MaxAge: 10 * time.Second,
	}
}

// Ask is the next question.
type Ask struct {
	Index uint64        // 0: to be answered at once
	Wait  time.Duration // with Index
	Stale bool          // any server may answer, with a leader or without
}

// Answer is what came, as far as following goes.
type Answer struct {
	Index  uint64
	Sum    uint64        // of the body
	Leader bool          // the servers know one
	Age    time.Duration // since the server that answered heard from it
}

// Failure is a way in which a question came to nothing.
type Failure uint8

// The failures.
const (
	NoAgent    Failure = iota // none is known to live
	Hung                      // the agent was given up while it was asked
	Broken                    // anything else between here and there
	Denied                    // an error of the agent's own
	Leaderless                // the servers have no leader to ask
	Nonsense                  // what came cannot be read
)

// Subject is one question that is asked again and again, such as the health of one
// service. It is not safe for concurrent use.
type Subject struct {
	limits Limits
	index  uint64
	sum    uint64
	fresh  bool // sum is that of a body
	stale  bool
	calm   bool // the last answer had no news
	stuck  bool // and its index did not move
	fails  int
}

// NewSubject returns a subject that has yet to be asked about.
func NewSubject(l Limits) *Subject { return &Subject{limits: l} }

// Next returns what to ask. inTurn says that the subject is one of more than can be
// watched: it is then asked at once and never blocks.
func (s *Subject) Next(inTurn bool) Ask {
	a := Ask{Index: s.index, Wait: s.limits.Wait, Stale: s.stale}
	switch {
	case inTurn:
		a.Index = 0
	case !s.calm:
		// While the gateway paused after an answer the servers may have been restored to a
		// lower index: they would then hold a query for as long as it allows, whatever
		// changes. So the first one after a pause is short.
		a.Wait = min(a.Wait, s.limits.FirstWait)
	}
	return a
}

// Answered takes an answer in and tells whether there is news in it: another body, or
// anything for which it has to be looked at in full.
func (s *Subject) Answered(a Answer) (news bool) {
	news = !s.fresh || a.Sum != s.sum || a.Index < s.index || !a.Leader || a.Age > s.limits.MaxAge
	s.stuck = a.Index == s.index
	if a.Index < s.index { // by Consul's documentation the question then starts anew
		s.index = 0
	} else {
		s.index = a.Index
	}
	s.sum, s.fresh = a.Sum, true
	return news
}

// Taken notes that an answer made sense and how long it took to digest, and returns how
// long to wait before the next question: neither a list that changes all the time nor a
// server that ignores the index is asked in a tight loop.
func (s *Subject) Taken(a Answer, news bool, took time.Duration) time.Duration {
	s.fails, s.stale, s.calm = 0, !a.Leader, !news
	if !news && !s.stuck && s.index != 0 {
		return 0
	}
	return min(max(s.limits.PauseLeast, time.Duration(s.limits.PausePart)*took), s.limits.PauseMost)
}

// Verdict is what a failure leads to.
type Verdict struct {
	Reason roster.Reason // what it says of the source; Believed if nothing yet
	Log    bool          // it is the first that a person should know of
	Pause  time.Duration // before the next question; 0 = none
}

// Failed notes a failure. backoff is how long to wait by the usual rule, hint what the
// agent asked for, 0 if it did not.
func (s *Subject) Failed(f Failure, backoff, hint time.Duration) Verdict {
	s.index, s.fresh, s.calm = 0, false, false // what was missed is unknown: ask for all of it
	s.fails++
	v := Verdict{Pause: max(backoff, hint)}
	switch f {
	case NoAgent:
		v.Pause = s.limits.RetryMost // or less: an agent that comes back ends it
	case Hung:
		if s.fails < s.limits.FailsLeast {
			v.Pause = 0 // there may be another agent
		}
	case Leaderless:
		v.Reason, s.stale = roster.NoLeader, true // marks can still be seen
	case Nonsense:
		v.Reason = roster.Unreadable
	}
	if v.Reason != roster.Trusted {
		v.Log = true
		return v
	}
	if s.fails >= s.limits.FailsLeast { // one question that fails is no news yet
		v.Reason, v.Log = roster.Unreachable, s.fails == s.limits.FailsLeast
	}
	return v
}

// Agents decides which of several agents is asked: the one in use while it lives, else
// the first that does. To go back to the preferred one for its own sake would have
// everything asked anew. The zero value is not usable; see NewAgents.
type Agents struct {
	names   []string // the preferred one first
	down    map[string]bool
	present string
}

// NewAgents returns agents that are all held to live.
func NewAgents(names []string) *Agents {
	return &Agents{names: names, down: map[string]bool{}, present: names[0]}
}

// Lost notes that an agent does not answer, and tells whether that is new.
func (a *Agents) Lost(name string) bool {
	was := a.down[name]
	a.down[name] = true
	return !was
}

// Back notes that an agent answers, and tells whether that is new.
func (a *Agents) Back(name string) bool {
	was := a.down[name]
	delete(a.down, name)
	return was
}

// Pick returns the agent to ask, false if none is known to live, and whether it is
// another one than before.
func (a *Agents) Pick() (name string, other, ok bool) {
	if !a.down[a.present] {
		return a.present, false, true
	}
	for _, n := range a.names {
		if !a.down[n] {
			a.present = n
			return n, true, true
		}
	}
	return "", false, false
}
