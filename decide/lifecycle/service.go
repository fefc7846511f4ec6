package lifecycle

import "time"

// Service is what clients get of a process in its state.
type Service struct {
	State     State
	Draining  bool // as well as what State says
	Healthy   bool // health checks may say yes
	Reusable  bool // connections outlive their answers
	Listening bool
	// RequestDeadline is when a request has come to its end at the latest; one that is whole later is
	// refused. AnswerDeadline is when a connection with an answer under way is cut. The zero time
	// stands for no bound. Where connections are not reusable both are set.
	RequestDeadline time.Time
	AnswerDeadline  time.Time
}

// FullService is what clients get of a process that serves.
func FullService() Service { return Service{Healthy: true, Reusable: true, Listening: true} }

// Service returns what clients get now.
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
		requests := p.finishingSince.Add(ShutdownRequestTimeout)
		if p.shutdown.failWaiting.Before(requests) {
			requests = p.shutdown.failWaiting
		}
		s.endConnections(requests, p.shutdown.abortStreams)
	}
	return s
}

// endConnections has connections end with their answers, within bounds. The earliest hold.
func (s *Service) endConnections(requests, answers time.Time) {
	s.Reusable = false
	s.RequestDeadline = earliest(s.RequestDeadline, requests)
	s.AnswerDeadline = earliest(s.AnswerDeadline, answers)
}

// earliest returns the earlier of two times; the zero time stands for never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// AcceptsRequest tells whether a request that is whole now is taken.
func (s Service) AcceptsRequest(now time.Time) bool {
	return s.RequestDeadline.IsZero() || now.Before(s.RequestDeadline)
}
