package routing

import "slices"

// workload is this router's own work at one engine. It reads the requests in flight and changes nothing
// else. Router.setPhase is the only caller that changes it; placement, timeouts and the statistics of
// the pool ask.
type workload struct {
	prefills, heldStates, answers int
	prefillTokens                 float64    // of the prompts that are being read
	heldTokens                    float64    // of the prompts whose state is held
	answerMemory                  float64    // tokens that the answers are estimated to take
	inFlight                      []*request // without a first token, oldest first
	lastResponseAt                Time       // the last sign of life
	latestSuccessSentAt           Time       // when the latest attempt was sent that has succeeded
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

// idle reports whether there is nothing left to account for.
func (l *workload) idle() bool { return len(l.inFlight) == 0 && l.prefills+l.heldStates+l.answers <= 0 }

// activeRequests is what counts for the fair share.
func (l *workload) activeRequests() int { return l.prefills + l.heldStates }

// recordResponse takes a sign of life.
func (l *workload) recordResponse(now Time) { l.lastResponseAt = now }

// recordSuccess takes the success of an attempt that was sent at a time.
func (l *workload) recordSuccess(sentAt Time) {
	l.latestSuccessSentAt = max(l.latestSuccessSentAt, sentAt)
}

// noResponseSince reports whether nothing was heard after a time.
func (l *workload) noResponseSince(t Time) bool { return l.lastResponseAt <= t }

// overtaken reports whether an attempt sent later than one has succeeded.
func (l *workload) overtaken(req *request) bool { return req.sentAt < l.latestSuccessSentAt }

// oldestInFlight is the oldest attempt in flight that no later one has overtaken. One that was
// overtaken hangs for a reason of its own and tells nothing of the queue.
func (l *workload) oldestInFlight() *request {
	for _, req := range l.inFlight {
		if !l.overtaken(req) {
			return req
		}
	}
	return nil
}

// maxAgeRatio is how many times its expected time the oldest attempt has been in flight.
func (l *workload) maxAgeRatio(now Time) float64 {
	if req := l.oldestInFlight(); req != nil {
		return float64(now-req.sentAt) / float64(req.expectedTime)
	}
	return 0
}

// oldestAgeSeconds is how many seconds the oldest attempt has been in flight.
func (l *workload) oldestAgeSeconds(now Time) float64 {
	if req := l.oldestInFlight(); req != nil {
		return (now - req.sentAt).Seconds()
	}
	return 0
}

// removeRequest returns the list less one request.
func removeRequest(list []*request, req *request) []*request {
	if i := slices.Index(list, req); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
