package fleetsim

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"strings"
	"testing"

	"wellgw/routing"
)

// tally notes what is asked of a tier's modules and what of it began to be answered.
type tally struct {
	Decider
	asked    map[routing.RequestID]routing.Request
	answered map[routing.RequestID]bool
}

func (c *tally) Handle(now routing.Time, ev routing.Event) []routing.Action {
	switch e := ev.(type) {
	case routing.Request:
		c.asked[e.ID] = e
	case routing.FirstToken:
		c.answered[e.ID] = true
	}
	return c.Decider.Handle(now, ev)
}

// answeredPart is the part of the requests that was answered.
func (c *tally) answeredPart(of []routing.Request) float64 {
	n := 0
	for _, q := range of {
		if c.answered[q.ID] {
			n++
		}
	}
	return float64(n) / float64(max(len(of), 1))
}

// unfair plays a day and tells what it singles out: of the tenth of a class's requests with
// the longest prompts, and of the next fifth, less than a part of what the class gets answered;
// on a quiet day also sessions refused throughout, by more than chance.
func unfair(d *Deployment, policy Policy, quiet bool) (found []string) {
	least := 0.5
	if quiet {
		least, d.Troubles, d.Swing, d.Bursts = 2.0/3, nil, 0, false
		d.Rate *= min(1, 0.55/d.Load)
	}
	c := &tally{asked: map[routing.RequestID]routing.Request{}, answered: map[routing.RequestID]bool{}}
	Play(d, func(set routing.Settings, seed uint64) Decider {
		return &tally{Decider: policy(set, seed), asked: c.asked, answered: c.answered}
	}, false)
	for _, class := range d.Classes {
		var all []routing.Request
		sessions := map[string][]routing.Request{}
		for _, q := range c.asked {
			if q.Class == class.Name {
				all = append(all, q)
				sessions[q.Session] = append(sessions[q.Session], q)
			}
		}
		if len(all) < 100 {
			continue
		}
		slices.SortFunc(all, func(a, b routing.Request) int { return cmp.Or(b.PromptTokens-a.PromptTokens, int(a.ID)-int(b.ID)) })
		part := c.answeredPart(all)
		tenth := len(all) / 10
		if len(all) < 400 {
			tenth = len(all) / 4
		}
		for what, some := range map[string][]routing.Request{"longest": all[:tenth], "next": all[tenth : tenth+len(all)/5]} {
			if got := c.answeredPart(some); got < least*part {
				found = append(found, fmt.Sprintf("%s: of the %s prompts %.2f are answered, of all %.2f", class.Name, what, got, part))
			}
		}
		never, chance := 0.0, 0.0
		for _, turns := range sessions {
			if c.answeredPart(turns) == 0 {
				never++
			}
			chance += math.Pow(1-part, float64(len(turns)))
		}
		if n := float64(len(sessions)); quiet && never/n > chance/n+0.12 {
			found = append(found, fmt.Sprintf("%s: %.2f of the sessions are refused throughout, %.2f by chance", class.Name, never/n, chance/n))
		}
	}
	return found
}

// Neither long prompts nor sessions are singled out, on quiet days and on others.
func TestFairnessByPromptAndSession(t *testing.T) {
	long(t)
	for seed := range uint64(12) {
		for _, quiet := range []bool{true, false} {
			if found := unfair(Draw(seed), Module, quiet); len(found) > 0 {
				t.Errorf("seed %d, quiet %v: %q", seed, quiet, found)
			}
		}
	}
}

// picky turns requests away by what they are, though there is room.
type picky struct {
	Decider
	away func(routing.Request) bool
}

func (p picky) Handle(now routing.Time, ev routing.Event) []routing.Action {
	if q, is := ev.(routing.Request); is && p.away(q) {
		return []routing.Action{routing.Reject{ID: q.ID}}
	}
	return p.Decider.Handle(now, ev)
}

// What singles out is seen: a policy that turns long prompts away, and one that does so with
// half of the sessions.
func TestUnfairnessIsDetected(t *testing.T) {
	for what, away := range map[string]func(routing.Request) bool{
		"prompts": func(q routing.Request) bool { return q.PromptTokens > 1500 },
		"session": func(q routing.Request) bool { return crc32.ChecksumIEEE([]byte(q.Session))%2 == 0 },
	} {
		found := unfair(Draw(1), func(set routing.Settings, seed uint64) Decider { return picky{Module(set, seed), away} }, true)
		if !strings.Contains(strings.Join(found, " "), what) {
			t.Errorf("%s: found %q", what, found)
		}
	}
}
