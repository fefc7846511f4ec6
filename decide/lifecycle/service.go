package lifecycle

import "time"

// Service is what clients get of a process in its state.
type Service struct {
	State     State
	Draining  bool // as well as what State says: a process that was drained may end or hand over
	Healthy   bool // health checks may say yes
	KeepAlive bool // connections outlive their answers
	Listening bool
	// RequestDeadline is when a request has to be complete; one that is later is rejected.
	// AnswerDeadline is when a connection with an answer under way is aborted. The zero time stands
	// for no bound. Where connections are not reusable both are set.
	RequestDeadline time.Time
	AnswerDeadline  time.Time
}

// FullService is what clients get of a process that serves.
func FullService() Service { return Service{Healthy: true, KeepAlive: true, Listening: true} }

// Service returns what clients get in the process's state.
func (p *Process) Service() Service {
	s := FullService()
	s.State, s.Draining = p.State(), !p.drainingSince.IsZero()
	if s.Draining {
		s.Healthy = false
		s.endConnections(p.drainingSince.Add(DrainRequestTimeout), p.drainingSince.Add(p.answerTimeout()))
	}
	if !p.handedOverAt.IsZero() {
		s.Healthy, s.Listening = false, false
		s.endConnections(p.handedOverAt.Add(HandOverRequestTimeout), p.handedOverAt.Add(p.answerTimeout()))
	}
	if p.phase >= Finishing {
		s.Healthy, s.Listening = false, false
		s.endConnections(
			earliest(p.finishingSince.Add(ShutdownRequestTimeout), p.shutdown.failWaiting),
			p.shutdown.abortStreams,
		)
	}
	return s
}

// endConnections has connections end with their answers. Of several deadlines the earliest hold.
func (s *Service) endConnections(requestDeadline, answerDeadline time.Time) {
	s.KeepAlive = false
	s.RequestDeadline = earliest(s.RequestDeadline, requestDeadline)
	s.AnswerDeadline = earliest(s.AnswerDeadline, answerDeadline)
}

// earliest returns the earlier of two times; the zero time stands for never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// AcceptsRequest tells whether a request that is complete now is accepted.
func (s Service) AcceptsRequest(now time.Time) bool {
	return s.RequestDeadline.IsZero() || now.Before(s.RequestDeadline)
}
