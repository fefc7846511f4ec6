package deduplication

import "time"

// Others is what a gateway knows of others that serve the same clients and keep keys of
// their own.
type Others struct {
	Sticky bool // who shares out the clients sends a key to the same gateway each time
	Said   int  // gateways by the operator's file; 0: not said
	Talk   bool // the gateways of the tier tell each other who is there
	Shown  int  // that share the engines, by what they or a catalogue tell
}

// May tells whether an earlier try may have gone to another gateway. Only an operator who
// says that there is one gateway, or that keys stick, rules it out: a gateway that has just
// started, is cut off, or has seen the others die knows of nobody, and yet they have been
// there. Where gateways talk, several are meant.
func (o Others) May() bool {
	return !o.Sticky && (o.Said != 1 || o.Talk || o.Shown > 1)
}

// The bounds on what is remembered of tries that were turned away.
const (
	sparedMost = 1024             // keys of a team in one generation; two are kept
	sparedAge  = 10 * time.Minute // of a generation; clients give up sooner
)

// spared are a team's keys under which something was turned away and so did not run, with
// how often. Their retries are safe here. What is forgotten costs a retry, and nothing else.
type spared struct {
	young, old map[string]int
	begun      time.Time // of the young generation
}

func (s *spared) tries(now time.Time, name string) int {
	if s == nil {
		return 0
	}
	s.turn(now)
	return max(s.young[name], s.old[name])
}

func (s *spared) add(now time.Time, name string) {
	n := s.tries(now, name) + 1
	if len(s.young) >= sparedMost {
		s.old, s.young = s.young, nil
	}
	if s.young == nil {
		s.young, s.begun = map[string]int{}, now
	}
	s.young[name] = n
}

// turn lets a generation grow old, and forgets an old one.
func (s *spared) turn(now time.Time) {
	switch age := now.Sub(s.begun); {
	case age >= 2*sparedAge:
		s.young, s.old = nil, nil
	case age >= sparedAge:
		s.old, s.young, s.begun = s.young, nil, now
	}
}
