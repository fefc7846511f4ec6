package faultnet

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Step is one fault and its end. Faults of one kind at one place do not overlap: the later
// one stands.
type Step struct {
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for"`
	From string        `json:"from"`
	To   string        `json:"to,omitempty"` // "" with Pause: the process itself
	Rule Rule          `json:"rule"`
	// Pause stops the process From for so long; it is no matter of the net.
	Pause bool `json:"pause,omitempty"`
}

// Schedule is what is to go wrong, in order of time. As JSON it can be kept and replayed.
type Schedule []Step

// Draw returns a schedule of one-sided cuts and pauses over a span, none of which lasts
// longer than most. The same seed gives the same schedule.
func Generate(seed uint64, names []string, span, most time.Duration) Schedule {
	rng := rand.New(rand.NewPCG(seed, 4))
	var s Schedule
	for at := time.Second; at < span-most; at += 500*time.Millisecond + time.Duration(rng.Int64N(int64(time.Second))) {
		step := Step{At: at, For: most/4 + time.Duration(rng.Int64N(int64(most-most/4))), From: names[rng.IntN(len(names))]}
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

// Shrink returns a schedule that still fails and of which no step can be left out. fails
// plays one; it is called about n log n times if most steps do not matter.
func Shrink(s Schedule, fails func(Schedule) bool) Schedule {
	for part := len(s) / 2; part > 0; {
		shorter := false
		for at := 0; at < len(s); {
			less := slices.Delete(slices.Clone(s), at, min(at+part, len(s)))
			if fails(less) {
				s, shorter = less, true
			} else {
				at += part
			}
		}
		if part > 1 || !shorter {
			part /= 2
		}
	}
	return s
}
