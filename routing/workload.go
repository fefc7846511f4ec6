package routing

import "slices"

// workload is this router's own work at one engine. It reads the requests in flight and changes no other
// state. Router.setPhase is the only caller that changes the work; placement, timeouts and pool statistics
// read it.
type workload struct {
	prefills, heldStates, answers int
	prefillTokens                 float64    // of prompts in prefill
	heldTokens                    float64    // of prompts with held state
	answerMemory                  float64    // estimated memory of the answers and their prompts, in tokens
	inFlight                      []*request // attempts without a first token, oldest first
	lastResponseAt                Time       // when the engine last responded
	latestSuccessSentAt           Time       // when the latest successful attempt was sent
}

func (l *workload) addInFlight(req *request) { l.inFlight = append(l.inFlight, req) }

func (l *workload) removeInFlight(req *request) { l.inFlight = removeRequest(l.inFlight, req) }

func (l *workload) addPrefill(sign int, tokens float64) {
	l.prefills += sign
	l.prefillTokens += float64(sign) * tokens
}

func (l *workload) addHeldState(sign int, tokens float64) {
	l.heldStates += sign
	l.heldTokens += float64(sign) * tokens
}

func (l *workload) addAnswer(sign int, memory float64) {
	l.answers += sign
	l.answerMemory += float64(sign) * memory
}

// idle reports whether this router has no work at the engine.
func (l *workload) idle() bool { return len(l.inFlight) == 0 && l.prefills+l.heldStates+l.answers <= 0 }

// activeRequests is the number of requests that count for the fair share.
func (l *workload) activeRequests() int { return l.prefills + l.heldStates }

// recordResponse records that the engine responded.
func (l *workload) recordResponse(now Time) { l.lastResponseAt = now }

// recordSuccess records the success of an attempt that was sent at sentAt.
func (l *workload) recordSuccess(sentAt Time) {
	l.latestSuccessSentAt = max(l.latestSuccessSentAt, sentAt)
}

// noResponseSince reports whether the engine has not responded after t.
func (l *workload) noResponseSince(t Time) bool { return l.lastResponseAt <= t }

// overtaken reports whether an attempt sent later than that of req has succeeded.
func (l *workload) overtaken(req *request) bool { return req.sentAt < l.latestSuccessSentAt }

// oldestInFlight is the oldest attempt in flight that no later one has overtaken. An overtaken attempt hangs
// for reasons other than the queue, so its age does not measure the queue.
func (l *workload) oldestInFlight() *request {
	for _, req := range l.inFlight {
		if !l.overtaken(req) {
			return req
		}
	}
	return nil
}

// ageRatio is the age of the oldest attempt in flight as a multiple of its expected time.
func (l *workload) ageRatio(now Time) float64 {
	if req := l.oldestInFlight(); req != nil {
		return float64(now-req.sentAt) / float64(req.expectedTime)
	}
	return 0
}

// oldestAgeSeconds is the age of the oldest attempt in flight, in seconds.
func (l *workload) oldestAgeSeconds(now Time) float64 {
	if req := l.oldestInFlight(); req != nil {
		return (now - req.sentAt).Seconds()
	}
	return 0
}

// removeRequest returns the list without the request.
func removeRequest(list []*request, req *request) []*request {
	if i := slices.Index(list, req); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
