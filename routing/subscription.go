package routing

import "time"

// subscribeRetryInterval is the minimum interval between calls to service discovery while they fail.
const subscribeRetryInterval = time.Second

// subscription is the state of the call to service discovery for changes of the engine list, if the settings
// require one. It reads and changes no other state. Engine list events and ticks update it.
type subscription struct {
	active   bool // called, and not failed since
	calledAt Time
}

// update records whether the call failed, from the scope of an engine list event.
func (s *subscription) update(scope EngineListScope) {
	s.active = scope != EngineListFailed && s.active
}

// shouldRetry reports whether service discovery must be called again.
func (s *subscription) shouldRetry(now Time) bool {
	return !s.active && now-s.calledAt >= subscribeRetryInterval
}

// subscribe calls service discovery.
func (r *Router) subscribe() {
	r.subscription = subscription{active: true, calledAt: r.now}
	r.emit(Subscribe{})
}
