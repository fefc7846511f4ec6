package openai

import (
	"sync/atomic"

	"wellgw/decide/deduplication"
	"wellgw/decide/resume"
)

// counts are how often things of the front's own came to pass.
type counts struct {
	keys    [deduplication.CapacityExceeded + 1]atomic.Int64 // requests under keys, by verdict
	breaks  [resume.Finish + 1]atomic.Int64                  // answers that broke, by what became of them
	slow    atomic.Int64                                     // clients cut off for reading too slowly
	notKept atomic.Int64                                     // whole answers under keys that were not kept
}

// Counts returns them by name, for people and metrics; see docs/chat.md.
func (f *Front) Counts() map[string]int {
	m := map[string]int{"slow clients cut": int(f.counts.slow.Load()), "answers not kept": int(f.counts.notKept.Load())}
	for v := range f.counts.keys {
		m["key "+deduplication.Decision(v).String()] = int(f.counts.keys[v].Load())
	}
	for s := range f.counts.breaks {
		m["broken answer "+resume.Step(s).String()] = int(f.counts.breaks[s].Load())
	}
	if f.keys != nil {
		keys, bytes := f.keys.Counts()
		m["keys kept"], m["key bytes kept"] = keys, int(bytes)
	}
	return m
}
