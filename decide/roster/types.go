// Package roster reconciles the engine lists of several sources into one registry. The sources are an
// operator's file and the services of a Consul catalog, which may hang, lag, be restored from an old
// snapshot or return malformed entries.
//
// It does no I/O and reads no clock: views of sources, results of direct health probes and the time are
// arguments, and changes for the core are results. docs/design/consul.md tabulates the rule for each case;
// its rows are named after the Reasons here.
package roster

import "time"

// Mark is the health status that a source reports for an engine. A more severe mark takes effect with the
// first view that contains it, trusted or not. Only a trusted view clears a mark, or an untrusted view that
// is applied after Policy.HoldTime.
type Mark uint8

// The marks, in ascending order of severity.
const (
	Clear       Mark = iota
	Maintenance      // an operator drains the engine
	Critical         // a health check fails
)

func (m Mark) String() string { return [...]string{"clear", "maintenance", "critical"}[m] }

// Entry is one engine in a view. Its field names are JSON keys of the last good view's file.
type Entry struct {
	ID, Addr, Kind, Zone string
	Cell                 int
	Mark                 Mark
	Started              time.Time // start time that the engine reports; zero if it reports none
	Registered           uint64    // catalog index of the registration; 0 if unknown
	Index                uint64    // catalog index of the last change; 0 if unknown
}

// Origin is the kind of a source, in ascending order of precedence: if two sources list different
// addresses for an engine, the address from the higher origin is used.
type Origin uint8

// The origins.
const (
	File Origin = iota
	Catalogue
)

// Source identifies a list of engines: the file, or one service of the catalog. Consul agents are not
// sources: they serve the same catalog, and the index shows which of two responses is newer. The field
// names are JSON keys of the last good view's file.
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

// View is the complete list of one source at one point in time.
type View struct {
	Agent          string
	Index          uint64        // X-Consul-Index; 0 if the source has no index
	Leaderless     bool          // the Consul servers have no leader
	Age            time.Duration // time since the responding server was last in contact with the leader
	Entries        []Entry
	Malformed      []string        // ids of malformed entries; "" for an entry without a readable id
	MalformedMarks map[string]Mark // marks parsed from malformed entries, by id
}

// Reason is why a source is not trusted. The texts are shown to operators.
type Reason string

// The reasons for not trusting a source. Trusted stands for no reason.
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

// The results. Refused proves that no process listens at the address. NoAnswer proves nothing, because the
// gateway itself may have lost its network.
const (
	Answered ProbeResult = iota
	Refused
	NoAnswer
)

// State is whether an engine gets new requests, and if not, why.
type State uint8

// The states. Only engines that are InService get new requests.
const (
	InService    State = iota
	Draining           // under maintenance: requests in flight finish
	OutOfService       // critical: requests in flight may still finish
	Suspect            // none of its sources has been trusted for Policy.HoldTime, and it refuses connections
	Removed            // published once and then deleted from the registry
)

func (s State) String() string {
	return [...]string{"in", "draining", "critical", "suspect", "gone"}[s]
}

// Confidence ranks the evidence for the entry of an engine.
type Confidence uint8

// The levels, in descending order of confidence.
const (
	Confirmed Confidence = iota // listed in a trusted view
	Retained                    // from the last good view: the source is untrusted or the latest entry malformed
	Unlisted                    // no longer listed; in service until probes fail or Policy.UnlistedTTL expires
	Restored                    // read from the last good view's file and not confirmed since
)

func (c Confidence) String() string {
	return [...]string{"confirmed", "held", "unlisted", "restored"}[c]
}

// Engine is an engine as the registry publishes it.
type Engine struct {
	ID, Addr, Kind, Zone string
	Cell                 int
	State                State
	StateReason          string    // why the engine is not in service, or why its entry is not confirmed
	Started              time.Time // last known start or role change; zero if unknown
	LastSeen             time.Time // when a trusted view last listed it
	Confidence           Confidence
	ListedKind           string // the role that its sources list, before overrides
	Sources              []string
}

// Override takes precedence over the entries of an engine's sources during a role change.
type Override struct {
	Drain       bool      // send it no new requests
	Kind        string    // its role; "" for the listed role
	Started     time.Time // when it took that role, with a cold prefix cache
	StateReason string    // shown to operators while Drain is in effect
}

// Event is a decision to be logged.
type Event struct {
	Source  string
	Engine  string // "" if the event concerns several engines
	Message string
	Reason  Reason // why the source is not or was not trusted, if that is the subject
	Cause   string // the operator's action that caused it; "" if none did
	Engines int    // number of engines affected
	Warn    bool
}

// Policy contains the thresholds of the reconciliation rules.
type Policy struct {
	// HoldTime is how long an untrusted view is deferred before it is applied.
	HoldTime time.Duration
	// ConfirmTime is how long a loss that may be a fault of the catalog waits for a view that contradicts it:
	// a mass loss, or the absence of an engine from views with a lower index.
	ConfirmTime time.Duration
	// MaxAge is the longest time since the responding server was in contact with the leader. A view with a
	// longer one is not trusted.
	MaxAge time.Duration
	// MaxSourceLoss and MaxTotalLoss are fractions of the engines of one source and of all sources. Losing
	// more than that within LossWindow is a mass loss. MaxTotalLoss makes results depend on the order of
	// the sources' views; 1 disables it.
	MaxSourceLoss float64
	MaxTotalLoss  float64
	LossWindow    time.Duration
	// UnlistedTTL is how long an engine is retained after a mass loss, unless probes fail earlier.
	UnlistedTTL time.Duration
	// ConfirmationTTL is how long after its last confirmation a missing entry can be part of a mass loss.
	// Later, it is removed like any other missing entry.
	ConfirmationTTL time.Duration
	// FlapTime is the shortest outage that counts as a restart if the engine neither answered a probe nor
	// refused a connection meanwhile.
	FlapTime time.Duration
	// UrgentProbeInterval is the time between two probes of an engine that is missing from the latest view,
	// down or restored from disk.
	UrgentProbeInterval time.Duration
	// ProbeInterval is the time between two probes of any other engine without a trusted source.
	ProbeInterval time.Duration
}

// DefaultPolicy returns the default thresholds, for settings that are absent from the operator's file.
func DefaultPolicy() Policy {
	return Policy{
		HoldTime: 30 * time.Second, ConfirmTime: 1500 * time.Millisecond, MaxAge: 10 * time.Second, MaxSourceLoss: 0.3, MaxTotalLoss: 0.3, LossWindow: 5 * time.Second,
		UnlistedTTL: 15 * time.Minute, ConfirmationTTL: 10 * time.Minute, FlapTime: time.Second,
		UrgentProbeInterval: 250 * time.Millisecond, ProbeInterval: 2 * time.Second,
	}
}

// Numbers of consecutive failed probes after which an engine counts as down.
const (
	minRefusals   = 2 // refused connections: no process listens at the address
	minUnanswered = 4 // probes without an answer, if another engine of its kind answers
)
