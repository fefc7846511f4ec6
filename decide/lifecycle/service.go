package lifecycle

import "time"

// Service is what clients get of a process in its state.
type Service struct {
	State     State
	Draining  bool // as well as what State says
	Healthy   bool // health checks may say yes
	Reusable  bool // connections outlive their answers
	Listening bool
	// RequestsUntil is when a request has come to its end at the latest; one that is whole later is
	// refused. AnswersUntil is when a connection with an answer under way is cut. The zero time
	// stands for no bound. Where connections are not reusable both are set.
	RequestsUntil time.Time
	AnswersUntil  time.Time
}

// FullService is what clients get of a process that serves.
func FullService() Service { return Service{Healthy: true, Reusable: true, Listening: true} }

// Service returns what clients get now.
func (p *Process) Service() Service {
	s := FullService()
	s.State, s.Draining = p.State(), !p.drainedAt.IsZero()
	if s.Draining {
		s.Healthy = false
		s.endConnections(p.drainedAt.Add(DrainRequests), p.drainedAt.Add(p.answerLimit()))
	}
	if !p.handedAt.IsZero() {
		s.Healthy, s.Listening = false, false
		s.endConnections(p.handedAt.Add(HandOverRequests), p.handedAt.Add(p.answerLimit()))
	}
	if p.phase >= Finishing {
		s.Healthy, s.Listening = false, false
		requests := p.finishedAt.Add(LateRequests)
		if p.plan.fail.Before(requests) {
			requests = p.plan.fail
		}
		s.endConnections(requests, p.plan.cut)
	}
	return s
}

// endConnections has connections end with their answers, within bounds. The earliest hold.
func (s *Service) endConnections(requests, answers time.Time) {
	s.Reusable = false
	s.RequestsUntil = earliest(s.RequestsUntil, requests)
	s.AnswersUntil = earliest(s.AnswersUntil, answers)
}

// earliest returns the earlier of two times; the zero time stands for never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// TakesRequest tells whether a request that is whole now is taken.
func (s Service) TakesRequest(now time.Time) bool {
	return s.RequestsUntil.IsZero() || now.Before(s.RequestsUntil)
}
