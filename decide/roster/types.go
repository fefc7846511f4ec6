// Package roster reconciles the engine lists of several sources into one registry: an
// operator's file, and services of a catalog that may hang, lag, be restored from an old
// snapshot or answer with malformed entries.
//
// It does no I/O and reads no clock: views of sources, results of direct health probes and
// the time are arguments, and changes for the core are results. docs/design/consul.md has
// the rule for each case as a table; the names of its rows are those of the Reasons here.
package roster

import "time"

// Mark is the health status that a source reports for an engine. A mark takes effect as
// soon as it is seen, whether its source is trusted or doubted; only a trusted view, or the
// end of a hold, clears it.
type Mark uint8

// The marks, in order of severity.
const (
	Clear       Mark = iota
	Maintenance      // drained by an operator
	Critical         // a health check fails
)

func (m Mark) String() string { return [...]string{"clear", "maintenance", "critical"}[m] }

// Entry is one engine in a view. Its field names are keys of the last good view's file.
type Entry struct {
	ID, Addr, Kind, Zone string
	Cell                 int
	Mark                 Mark
	Started              time.Time // as the engine reports it; zero if it does not
	Registered           uint64    // catalog index of the registration; 0 if unknown
	Index                uint64    // catalog index of the last change; 0 if unknown
}

// Origin is the precedence of a source: if two name different addresses for an engine, the
// higher origin wins.
type Origin uint8

// The origins.
const (
	File Origin = iota
	Catalogue
)

// Source identifies a list of engines: the file, or one service of the catalog. Agents are
// not sources: they serve the same catalog, and the index tells which of two is ahead. Its
// field names are keys of the last good view's file.
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

// View is a complete list from one source at one time.
type View struct {
	Agent          string
	Index          uint64        // X-Consul-Index; 0 where the source has none
	Leaderless     bool          // the servers have no leader
	Age            time.Duration // since the responding server was last in contact with the leader
	Entries        []Entry
	Malformed      []string        // ids of malformed entries; "" for one without a readable id
	MalformedMarks map[string]Mark // marks that could be read from malformed entries, by id
}

// Reason says why a source is doubted. The texts are shown to operators.
type Reason string

// The reasons to doubt a source; Trusted is none.
const (
	Trusted        Reason = ""
	IndexRegressed Reason = "the index went backwards"
	NoLeader       Reason = "no leader"
	Stale          Reason = "too old"
	Unreadable     Reason = "unreadable"
	Unreachable    Reason = "no answer"
	FromDisk       Reason = "last good view from disk"
)

// ProbeResult is the outcome of a direct health probe, or of an attempt's connection.
type ProbeResult uint8

// The results. Refused proves that no process listened; NoAnswer proves nothing, since the
// gateway itself may be cut off.
const (
	Answered ProbeResult = iota
	Refused
	NoAnswer
)

// State is whether an engine takes work.
type State uint8

// The states. Only engines in service get new requests.
const (
	InService    State = iota
	Draining           // maintenance: requests in flight finish
	OutOfService       // critical: requests in flight finish if they can
	Suspect            // its sources have been doubted for long and it refuses connections
	Removed            // published once, then forgotten
)

func (s State) String() string {
	return [...]string{"in", "draining", "critical", "suspect", "gone"}[s]
}

// Confidence ranks the evidence for an engine's present entry.
type Confidence uint8

// The levels, best first.
const (
	Confirmed Confidence = iota // by a trusted view
	Held                        // by the last good view; its source is doubted
	Unlisted                    // no longer listed, but it answers probes
	Restored                    // from the last good view's file, not confirmed since
)

func (c Confidence) String() string {
	return [...]string{"confirmed", "held", "unlisted", "restored"}[c]
}

// Engine is an engine as the registry publishes it.
type Engine struct {
	ID, Addr, Kind, Zone string
	Cell                 int
	State                State
	StateReason          string    // why it is not in service, or why it is held
	Started              time.Time // zero if it is not known to have started of late
	LastSeen             time.Time // when a trusted view last listed it
	Confidence           Confidence
	ListedKind           string // the role that its sources state, before overrides
	Sources              []string
}

// Override takes precedence over what sources say of an engine while its role changes.
type Override struct {
	Drain       bool      // no new requests
	Kind        string    // its role; "" for the listed one
	Started     time.Time // when it took that role, with cold caches
	StateReason string
}

// Event is a decision to be logged.
type Event struct {
	Source  string
	Engine  string // "" if it concerns several
	Message string
	Reason  Reason
	Cause   string // the operator's action behind it, "" if there is none
	Engines int    // how many it concerns
	Warn    bool
}

// Policy holds the thresholds of the rules.
type Policy struct {
	HoldTime            time.Duration // a doubted view is held back for this long, then applied
	MaxAge              time.Duration // a view whose server was last in contact with the leader longer ago is doubted
	MaxSourceLoss       float64       // the loss of a greater share of a source's engines at once is doubted
	MaxTotalLoss        float64       // the same over all sources, which makes results depend on their order; 1 turns it off
	LossWindow          time.Duration // losses within this time count as simultaneous
	UnlistedTTL         time.Duration // an engine lost so is kept for this long while it answers probes
	ConfirmationTTL     time.Duration // the loss of an entry confirmed longer ago is not doubted
	FlapTime            time.Duration // a shorter critical mark is no restart unless a connection was refused
	UrgentProbeInterval time.Duration // between probes of an engine in question
	ProbeInterval       time.Duration // between probes of the other engines of a doubted source
}

// DefaultPolicy returns the thresholds that hold where the operator's file sets none.
func DefaultPolicy() Policy {
	return Policy{
		HoldTime: 30 * time.Second, MaxAge: 10 * time.Second, MaxSourceLoss: 0.3, MaxTotalLoss: 0.3, LossWindow: 5 * time.Second,
		UnlistedTTL: 15 * time.Minute, ConfirmationTTL: 10 * time.Minute, FlapTime: time.Second,
		UrgentProbeInterval: 250 * time.Millisecond, ProbeInterval: 2 * time.Second,
	}
}

// Consecutive probe results that decide on an engine by themselves.
const (
	minRefusals   = 2 // no process listens there
	minUnanswered = 4 // it cannot be reached, if another engine answers meanwhile
)
