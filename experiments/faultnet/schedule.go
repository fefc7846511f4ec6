package faultnet

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Step is one fault and its duration. Faults of one kind on the same direction or process replace each other:
// the later one applies.
type Step struct {
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for"`
	From string        `json:"from"`
	To   string        `json:"to,omitempty"` // "" with Pause, which affects the process From
	Rule Rule          `json:"rule"`
	// Pause stops the process From for the duration of the step. The caller does this, not the Net.
	Pause bool `json:"pause,omitempty"`
}

// Schedule is a sequence of faults, ordered by start time. It can be stored as JSON and replayed.
type Schedule []Step

// Generate returns a random schedule of cuts of one direction and pauses over a span. No fault lasts longer
// than maxDuration. The same seed gives the same schedule.
func Generate(seed uint64, names []string, span, maxDuration time.Duration) Schedule {
	rng := rand.New(rand.NewPCG(seed, 4))
	var s Schedule
	for at := time.Second; at < span-maxDuration; at += 500*time.Millisecond +
		time.Duration(rng.Int64N(int64(time.Second))) {
		step := Step{
			At: at, For: maxDuration/4 + time.Duration(rng.Int64N(int64(maxDuration-maxDuration/4))),
			From: names[rng.IntN(len(names))],
		}
		if step.Pause = rng.IntN(2) == 0; !step.Pause {
			for step.To = step.From; step.To == step.From; {
				step.To = names[rng.IntN(len(names))]
			}
			step.Rule = Rule{Cut: true}
		}
		s = append(s, step)
	}
	return s
}

// Shrink reduces a failing schedule to one that still fails but passes if any single step is removed. fails
// runs a schedule; it is called about n log n times if few of the n steps contribute to the failure.
func Shrink(s Schedule, fails func(Schedule) bool) Schedule {
	for size := len(s) / 2; size > 0; {
		reduced := false
		for at := 0; at < len(s); {
			candidate := slices.Delete(slices.Clone(s), at, min(at+size, len(s)))
			if fails(candidate) {
				s, reduced = candidate, true
			} else {
				at += size
			}
		}
		if size > 1 || !reduced {
			size /= 2
		}
	}
	return s
}
