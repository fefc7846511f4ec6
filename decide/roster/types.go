// Package roster decides which engines there are out of what several sources say:
// an operator's file, and services of a catalogue that may hang, lag, be restored
// from an old snapshot or answer with what cannot be read.
//
// It does no I/O and reads no clock: what a source said, how a direct check of an
// engine went and what time it is come in as arguments, and what the decision
// module is to be told comes out as changes. docs/design/consul.md has the rule
// for each case as a table; the names of its rows are those of the Reasons here.
package roster

import "time"

// Mark is what a source states against an engine. A mark holds from the moment it
// is seen, whatever the state of the source that stated it; only a trusted view,
// or the end of a hold, lifts it.
type Mark uint8

// The marks, worst last.
const (
	Clear       Mark = iota
	Maintenance      // an operator drains it
	Critical         // a check fails
)

func (m Mark) String() string { return [...]string{"clear", "maintenance", "critical"}[m] }

// Entry is what one view says of one engine.
type Entry struct {
	ID, Addr, Kind, Zone string
	Cell                 int
	Mark                 Mark
	Started              time.Time // by the engine's own word; zero if it gives none
	Registered           uint64    // index at which it was registered; 0 if not told
	Index                uint64    // index at which it last changed; 0 if not told
}

// Origin ranks sources: of two that name different addresses for an engine the
// higher one counts.
type Origin uint8

// The origins.
const (
	File Origin = iota
	Catalogue
)

// Source names who says something: the file, or one service of the catalogue.
// Agents are no sources of their own: they pass on what one catalogue holds, and
// the index tells which of two is ahead.
type Source struct {
	Origin Origin
	Name   string
}

func (s Source) String() string {
	if s.Origin == File {
		return "file"
	}
	return "service " + s.Name
}

// View is the whole of what a source said at one time.
type View struct {
	Agent          string
	Index          uint64        // X-Consul-Index; 0 where the source has none
	Leaderless     bool          // the servers know no leader
	Age            time.Duration // since the server that answered heard from the leader
	Entries        []Entry
	Malformed      []string        // ids of entries that made no sense; "" for one without an id
	MalformedMarks map[string]Mark // marks that could be read of such entries, by id
}

// Reason says why a source is not trusted, or why an engine is held or out.
type Reason string

// The reasons for which a source is doubted.
const (
	Trusted        Reason = ""
	IndexRegressed Reason = "the index went backwards"
	NoLeader       Reason = "no leader"
	Stale          Reason = "too old"
	Unreadable     Reason = "unreadable"
	Unreachable    Reason = "no answer"
	FromDisk       Reason = "last good view from disk"
)

// ProbeResult is how a direct check of an engine, or an attempt at it, went.
type ProbeResult uint8

// The pulses. Refused proves that no process listened; Unheard proves nothing.
const (
	Answered ProbeResult = iota
	Refused
	NoAnswer
)

// State is what is made of an engine.
type State uint8

// The states. The decision module sends new work to engines that are In alone.
const (
	InService    State = iota
	Draining           // maintenance: it finishes what it has
	OutOfService       // critical: it finishes what it can
	Suspect            // its sources are long silent and it refuses connections
	Removed            // told once; then it is forgotten
)

func (s State) String() string {
	return [...]string{"in", "draining", "critical", "suspect", "gone"}[s]
}

// Confidence says how sure the present entry of an engine is.
type Confidence uint8

// The levels, best first.
const (
	Confirmed Confidence = iota // by a view that is trusted
	Held                        // by the last good view; its source is in doubt
	Unlisted                    // listed no more, but it answers
	Restored                    // from disk, and not confirmed since
)

func (c Confidence) String() string {
	return [...]string{"confirmed", "held", "unlisted", "restored"}[c]
}

// Engine is what the registry makes of an engine.
type Engine struct {
	ID, Addr, Kind, Zone string
	Cell                 int
	State                State
	Why                  string    // if it is not In, or why it is held
	Started              time.Time // zero: long ago, as far as is known
	LastSeen             time.Time // when a trusted view last had it
	Confidence           Confidence
	ListedKind           string // the role that its sources state, whatever an override says
	Sources              []string
}

// Override is what is decided about an engine elsewhere and comes before what its
// sources say: a change of its role that is under way.
type Override struct {
	Hold    bool      // no new work
	Kind    string    // its role; "" leaves it
	Started time.Time // since when it has that role, and is cold
	Why     string
}

// Event is a line for the log: something was decided that a person may ask about.
type Event struct {
	Source  string
	Engine  string // "" if it speaks of many
	Message string
	Reason  Reason
	Engines int // how many it speaks of
	Warn    bool
}

// Policy holds the figures of the rules.
type Policy struct {
	HoldTime            time.Duration // a doubted view is held back for so long, then taken
	MaxAge              time.Duration // a view whose server heard from the leader longer ago is doubted
	MaxSourceLoss       float64       // a greater part of a source's engines lost at once is doubted
	MaxTotalLoss        float64       // the same over all sources: which of them lost first then matters; 1 = off
	LossWindow          time.Duration // losses within this count as at once
	UnlistedTTL         time.Duration // an engine that answers is kept for so long after it was lost so
	ConfirmationTTL     time.Duration // an entry that was confirmed longer ago is no reason to doubt a loss
	FlapTime            time.Duration // a critical mark shorter than this is no restart unless refused
	UrgentProbeInterval time.Duration // between checks of an engine whose place is in question
	ProbeInterval       time.Duration // between checks of all others of a doubted source
}

// DefaultPolicy returns the figures that an operator who gives none gets.
func DefaultPolicy() Policy {
	return Policy{
		HoldTime: 30 * time.Second, MaxAge: 10 * time.Second, MaxSourceLoss: 0.3, MaxTotalLoss: 0.3, LossWindow: 5 * time.Second,
		UnlistedTTL: 15 * time.Minute, ConfirmationTTL: 10 * time.Minute, FlapTime: time.Second,
		UrgentProbeInterval: 250 * time.Millisecond, ProbeInterval: 2 * time.Second,
	}
}

// The counts that decide on an engine by checks alone.
const (
	minRefusals   = 2 // in a row: no process is there
	minUnanswered = 4 // in a row, while another engine answers: it cannot be reached
)
