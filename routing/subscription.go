package routing

import "time"

// subscribeRetryInterval is the time between calls to a service discovery that fails.
const subscribeRetryInterval = time.Second

// subscription is the call to service discovery for changes of the engine list, where the settings ask
// for one. It reads and changes nothing else. The engine list and the tick feed it.
type subscription struct {
	active   bool // and has not failed since
	calledAt Time
}

// update takes what came of the call.
func (s *subscription) update(scope EngineListScope) {
	s.active = scope != EngineListFailed && s.active
}

// shouldRetry reports whether a call is to be made again.
func (s *subscription) shouldRetry(now Time) bool {
	return !s.active && now-s.calledAt >= subscribeRetryInterval
}

func (r *Router) subscribe() {
	r.subscription = subscription{active: true, calledAt: r.now}
	r.emit(Subscribe{})
}
