package openai

import (
	"sync/atomic"

	"wellgw/decide/deduplication"
	"wellgw/decide/resume"
)

// counts are the counters of a Front.
type counts struct {
	keys               [deduplication.CapacityExceeded + 1]atomic.Int64 // requests with idempotency keys, by decision
	brokenAnswers      [resume.Finish + 1]atomic.Int64                  // broken answers, by resume.Step
	slowClients        atomic.Int64                                     // clients disconnected for reading too slowly
	answersRefused     atomic.Int64                                     // requests refused for lack of memory for their answers
	answersNotRecorded atomic.Int64                                     // complete answers under idempotency keys that were too large to record
}

// Counts returns the counters by name, for the status page and metrics; see docs/chat.md.
func (f *Front) Counts() map[string]int {
	m := map[string]int{"slow clients cut": int(f.counts.slowClients.Load()), "answers not kept": int(f.counts.answersNotRecorded.Load()), "answers refused for memory": int(f.counts.answersRefused.Load())}
	for v := range f.counts.keys {
		m["key "+deduplication.Decision(v).String()] = int(f.counts.keys[v].Load())
	}
	for s := range f.counts.brokenAnswers {
		m["broken answer "+resume.Step(s).String()] = int(f.counts.brokenAnswers[s].Load())
	}
	if f.keys != nil {
		keys, bytes := f.keys.Counts()
		m["keys kept"], m["key bytes kept"] = keys, int(bytes)
	}
	return m
}
