package routing

import (
	"math"
	"time"
)

const (
	slowStartMargin        = 0.7              // part of the budget used, as routers' estimates differ
	throughputTimeConstant = 8 * time.Second  // over which the throughput of warm engines is averaged
	peakTimeConstant       = 90 * time.Second // in which the peak fades where no such rate is seen again
)

// throughput is what the warm engines of one role do for this router, in tokens a second. It reads and
// changes nothing else. Finished prefills and first tokens feed it; the slow-start budget asks.
type throughput struct {
	tokens    float64 // tokens done by warm engines, fading
	peakRate  float64 // best rate of one engine
	sampledAt Time    // of the latest sample
}

// observe takes work done by one of so many warm engines.
func (t *throughput) observe(tokens float64, warm int, now Time) {
	elapsed := (now - t.sampledAt).Seconds()
	t.sampledAt = now
	t.tokens = t.tokens*math.Exp(-elapsed/throughputTimeConstant.Seconds()) + tokens
	rate := t.tokens / throughputTimeConstant.Seconds() / float64(max(warm, 1))
	t.peakRate = max(t.peakRate*math.Exp(-elapsed/peakTimeConstant.Seconds()), rate)
}

// promptMeans is the mean prompt length of each class, in tokens: what a request of it counts in slow
// start. It reads and changes nothing else. Requests feed it on arrival.
type promptMeans struct {
	tokens map[string]float64 // by class
}

func (m *promptMeans) observe(class string, tokens int) {
	m.tokens[class] += (float64(tokens) - m.tokens[class]) * meanEWMAWeight
}

func (m *promptMeans) mean(class string) float64 { return m.tokens[class] }

// slowStartSends are this router's sends to one engine within an OverloadWindow. It reads and changes
// nothing else. Every send feeds it; the slow-start budget and the engine table ask.
type slowStartSends struct {
	sends []slowStartSend // in order of time
}

type slowStartSend struct {
	sentAt Time
	tokens float64
}

func (s *slowStartSends) add(now Time, tokens float64) {
	s.sends = append(s.sends, slowStartSend{now, tokens})
}

// expire drops what was sent before the window.
func (s *slowStartSends) expire(now, window Time) {
	for len(s.sends) > 0 && now-s.sends[0].sentAt > window {
		s.sends = s.sends[1:]
	}
}

// totalWith adds up what was sent, with so many tokens more.
func (s *slowStartSends) totalWith(tokens float64) float64 {
	for _, send := range s.sends {
		tokens += send.tokens
	}
	return tokens
}

// sentWithin reports whether anything was sent within the window.
func (s *slowStartSends) sentWithin(now, window Time) bool {
	n := len(s.sends)
	return n > 0 && now-s.sends[n-1].sentAt <= window
}

// slowStartAdmits bounds this router's sends to an engine in slow start, within any OverloadWindow, by
// the throughput that it has seen at warm peers, so that all routers' sends add up to less than what
// overloads the engine. Where that is less than one request, a draw decides once a window whether to
// send one: the first ones of many routers would overload it. It could starve a pool in which all
// engines are in slow start.
func (r *Router) slowStartAdmits(e *engine, tokens float64) bool {
	e.slowStart.expire(r.now, r.set.OverloadWindow)
	if !r.inSlowStart(e) {
		return true
	}
	limit := slowStartMargin * r.throughputs[e.role()].peakRate * r.set.OverloadWindow.Seconds() *
		r.set.OverloadMultiple * r.set.SlowStartCapacity
	if len(e.slowStart.sends) == 0 && limit < tokens {
		// Each router's windows begin at a time of its own.
		window := float64(r.now)/float64(r.set.OverloadWindow) + r.random.uniform(0, e.Name)
		return r.random.uniform(RequestID(window), e.Name) < limit/tokens
	}
	return e.slowStart.totalWith(tokens) <= limit
}

// recordThroughput takes work done by a warm engine into the throughput of its role.
func (r *Router) recordThroughput(e *engine, tokens float64) {
	if r.inSlowStart(e) {
		return
	}
	r.throughputs[e.role()].observe(tokens, r.pool(e.role()).warmEngines, r.now)
}

func (r *Router) inSlowStart(e *engine) bool {
	return e.StartTime != 0 && r.now-e.StartTime < r.set.SlowStartPeriod
}
