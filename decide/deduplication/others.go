package deduplication

import "time"

// Topology is what a gateway knows of others that serve the same clients and keep keys of
// their own.
type Topology struct {
	StickyKeys         bool // who shares out the clients sends a key to the same gateway each time
	ConfiguredGateways int  // gateways by the operator's file; 0: not said
	PeersEnabled       bool // the gateways of the tier tell each other who is there
	ObservedGateways   int  // that share the engines, by what they or a catalogue tell
}

// AttemptsMayGoElsewhere tells whether an earlier try may have gone to another gateway. Only an operator who
// says that there is one gateway, or that keys stick, rules it out: a gateway that has just
// started, is cut off, or has seen the others die knows of nobody, and yet they have been
// there. Where gateways talk, several are meant.
func (o Topology) AttemptsMayGoElsewhere() bool {
	return !o.StickyKeys && (o.ConfiguredGateways != 1 || o.PeersEnabled || o.ObservedGateways > 1)
}

// The bounds on what is remembered of tries that were turned away.
const (
	maxRefusalsPerGeneration = 1024             // keys of a team in one generation; two are kept
	refusalGenerationAge     = 10 * time.Minute // of a generation; clients give up sooner
)

// refusalHistory are a team's keys under which something was turned away and so did not run, with
// how often. Their retries are safe here. What is forgotten costs a retry, and nothing else.
type refusalHistory struct {
	current, previous map[string]int
	startedAt         time.Time // of the young generation
}

func (s *refusalHistory) count(now time.Time, name string) int {
	if s == nil {
		return 0
	}
	s.rotate(now)
	return max(s.current[name], s.previous[name])
}

func (s *refusalHistory) record(now time.Time, name string) {
	n := s.count(now, name) + 1
	if len(s.current) >= maxRefusalsPerGeneration {
		s.previous, s.current = s.current, nil
	}
	if s.current == nil {
		s.current, s.startedAt = map[string]int{}, now
	}
	s.current[name] = n
}

// rotate lets a generation grow old, and forgets an old one.
func (s *refusalHistory) rotate(now time.Time) {
	switch age := now.Sub(s.startedAt); {
	case age >= 2*refusalGenerationAge:
		s.current, s.previous = nil, nil
	case age >= refusalGenerationAge:
		s.previous, s.current, s.startedAt = s.current, nil, now
	}
}
