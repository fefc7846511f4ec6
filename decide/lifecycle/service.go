package lifecycle

import "time"

// Service describes how a process treats its clients in a given state.
type Service struct {
	State     State
	Draining  bool // independent of State: a draining process may also terminate or hand over
	Healthy   bool // health checks may succeed
	KeepAlive bool // connections remain open after an answer
	Listening bool
	// RequestDeadline is the time by which a request must be complete; a later request is rejected.
	// AnswerDeadline is when a connection with an incomplete answer is aborted. The zero time means no
	// deadline. Both are set if KeepAlive is false.
	RequestDeadline time.Time
	AnswerDeadline  time.Time
}

// FullService returns the service of a process in the state Serving.
func FullService() Service { return Service{Healthy: true, KeepAlive: true, Listening: true} }

// Service returns the service for the process's state.
func (p *Process) Service() Service {
	s := FullService()
	s.State, s.Draining = p.State(), !p.drainingSince.IsZero()
	if s.Draining {
		s.Healthy = false
		s.disableKeepAlive(p.drainingSince.Add(DrainRequestTimeout), p.drainingSince.Add(p.answerTimeout()))
	}
	if !p.handedOverAt.IsZero() {
		s.Healthy, s.Listening = false, false
		s.disableKeepAlive(p.handedOverAt.Add(HandOverRequestTimeout), p.handedOverAt.Add(p.answerTimeout()))
	}
	if p.phase >= Finishing {
		s.Healthy, s.Listening = false, false
		s.disableKeepAlive(
			earliest(p.finishingSince.Add(ShutdownRequestTimeout), p.shutdown.failWaiting),
			p.shutdown.abortStreams,
		)
	}
	return s
}

// disableKeepAlive makes connections close after their answers. Of several deadlines, the earliest applies.
func (s *Service) disableKeepAlive(requestDeadline, answerDeadline time.Time) {
	s.KeepAlive = false
	s.RequestDeadline = earliest(s.RequestDeadline, requestDeadline)
	s.AnswerDeadline = earliest(s.AnswerDeadline, answerDeadline)
}

// earliest returns the earlier of two times; the zero time means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// AcceptsRequest reports whether a request that is complete now is accepted.
func (s Service) AcceptsRequest(now time.Time) bool {
	return s.RequestDeadline.IsZero() || now.Before(s.RequestDeadline)
}
