package routing

import "time"

// subscribeRetryInterval is the time between calls to a service discovery that fails.
const subscribeRetryInterval = time.Second

// subscription is the call to service discovery for changes of the engine list, where the settings ask
// for one. It reads and changes nothing else. The engine list and the tick feed it.
type subscription struct {
	called   bool // and has not failed since
	calledAt Time
}

// answered takes what came of the call.
func (s *subscription) answered(scope EngineListScope) {
	s.called = scope != EngineListFailed && s.called
}

// due reports whether a call is to be made again.
func (s *subscription) due(now Time) bool {
	return !s.called && now-s.calledAt >= subscribeRetryInterval
}

func (r *Router) subscribe() {
	r.subscription = subscription{called: true, calledAt: r.now}
	r.emit(Subscribe{})
}
