package routing

import (
	"math"
	"time"
)

const (
	slowStartMargin        = 0.7              // fraction of the budget used, as routers' estimates differ
	throughputTimeConstant = 8 * time.Second  // of the decay of the throughput of warm engines
	peakTimeConstant       = 90 * time.Second // of the decay of the peak rate
)

// throughput is the rate, in tokens per second, at which the warm engines of one role serve this router.
// Finished prefills and first tokens add samples; the slow-start budget uses it.
type throughput struct {
	tokens    float64 // decaying sum of the tokens processed by warm engines
	peakRate  float64 // decaying maximum of the rate per engine
	sampledAt Time
}

// observe adds tokens processed by an engine; warm is the number of warm engines of the role.
func (t *throughput) observe(tokens float64, warm int, now Time) {
	elapsed := (now - t.sampledAt).Seconds()
	t.sampledAt = now
	t.tokens = t.tokens*math.Exp(-elapsed/throughputTimeConstant.Seconds()) + tokens
	rate := t.tokens / throughputTimeConstant.Seconds() / float64(max(warm, 1))
	t.peakRate = max(t.peakRate*math.Exp(-elapsed/peakTimeConstant.Seconds()), rate)
}

// promptMeans is the mean prompt length of each class, in tokens, which is what a request counts in the
// slow-start budget. Requests add samples on arrival.
type promptMeans struct {
	tokens map[string]float64 // by class
}

func (m *promptMeans) observe(class string, tokens int) {
	m.tokens[class] += (float64(tokens) - m.tokens[class]) * meanEWMAWeight
}

func (m *promptMeans) mean(class string) float64 { return m.tokens[class] }

// slowStartSends records the sends of this router to one engine within an OverloadWindow. The slow-start
// budget and the engine table use it.
type slowStartSends struct {
	sends []slowStartSend // sorted by time
}

type slowStartSend struct {
	sentAt Time
	tokens float64
}

func (s *slowStartSends) add(now Time, tokens float64) {
	s.sends = append(s.sends, slowStartSend{now, tokens})
}

// expire deletes sends before the window.
func (s *slowStartSends) expire(now, window Time) {
	for len(s.sends) > 0 && now-s.sends[0].sentAt > window {
		s.sends = s.sends[1:]
	}
}

// totalWith returns the sum of the sent tokens plus the given number.
func (s *slowStartSends) totalWith(tokens float64) float64 {
	for _, send := range s.sends {
		tokens += send.tokens
	}
	return tokens
}

// sentWithin reports whether the latest send was within the window.
func (s *slowStartSends) sentWithin(now, window Time) bool {
	n := len(s.sends)
	return n > 0 && now-s.sends[n-1].sentAt <= window
}

// slowStartAdmits reports whether the slow-start budget permits a send to an engine. During slow start the
// tokens that this router sends within any OverloadWindow are limited in proportion to the throughput that
// it has observed at warm peers, so that the sends of all routers together do not overload the engine. If the
// limit is below one request, one random draw per window decides whether to send one, as one request from
// each of many routers would overload the engine. A pool in which all engines are in slow start may be
// starved.
func (r *Router) slowStartAdmits(e *engine, tokens float64) bool {
	e.slowStart.expire(r.now, r.set.OverloadWindow)
	if !r.inSlowStart(e) {
		return true
	}
	limit := slowStartMargin * r.throughputs[e.role()].peakRate * r.set.OverloadWindow.Seconds() *
		r.set.OverloadMultiple * r.set.SlowStartCapacity
	if len(e.slowStart.sends) == 0 && limit < tokens {
		// The draw gives the windows of each router a different offset.
		window := float64(r.now)/float64(r.set.OverloadWindow) + r.random.uniform(0, e.Name)
		return r.random.uniform(RequestID(window), e.Name) < limit/tokens
	}
	return e.slowStart.totalWith(tokens) <= limit
}

// recordThroughput adds tokens processed by a warm engine to the throughput of its role.
func (r *Router) recordThroughput(e *engine, tokens float64) {
	if r.inSlowStart(e) {
		return
	}
	r.throughputs[e.role()].observe(tokens, r.pool(e.role()).warmEngines, r.now)
}

func (r *Router) inSlowStart(e *engine) bool {
	return e.StartTime != 0 && r.now-e.StartTime < r.set.SlowStartPeriod
}
