package roster

import "time"

// Registry holds the listings of all sources and the engines reconciled from them. It is
// not safe for concurrent use. Each call costs time in proportion to the entries it
// concerns, not to all that are known.
type Registry struct {
	policy     Policy
	sources    map[Source]*sourceState
	engines    map[string]*engine
	byLocation map[location]map[string]*engine // engines by address and kind, then by id
	dirty      map[string]*engine              // to be evaluated before the call returns
	changes    []Engine
	events     []Event
	overrides  map[string]Override
	losses     []time.Time                     // times of unmarked losses, over all sources
	answered   map[string]map[string]time.Time // by kind and id: when an engine answered its latest probe
}

// sourceState is the state of one source.
type sourceState struct {
	id               Source
	atStart          bool // known since the gateway started: its first list says nothing of starts
	observed         bool // a view of it has been applied
	index            uint64
	listings         map[string]*listing
	losses           []time.Time // times of unmarked losses
	missingCount     int         // listings held though no longer listed
	vanished         bool        // no longer in the catalog: removed with its last listing
	doubt            Reason
	doubtedSince     time.Time // zero while trusted
	doubtedView      *View     // the latest doubted view, applied once Policy.HoldTime has passed
	doubtedViewSince time.Time
	rebased          bool // the next view may be of another catalog history: new registration indexes prove no restart
	lastTrusted      time.Time
}

// listing is the entry of one source for one engine.
type listing struct {
	Entry
	firstListed     time.Time // zero if it was on the source's first list
	lastSeen        time.Time // in a trusted view
	missingSince    time.Time // no longer listed, but held since then; zero if it is listed
	questionedSince time.Time // absent from doubted views since then, so it is probed; zero if it is not
	restored        bool      // known from the last good view's file alone
	malformed       bool      // its latest entry was malformed
}

// engine is one engine id, reconciled from its listings.
type engine struct {
	id          string
	listings    map[Source]*listing
	primary     *listing  // the listing with precedence
	primaryRank [2]uint64 // its indexes when rivals were last evaluated
	location    location
	published   Engine
	isPublished bool      // whether published holds anything
	restartedAt time.Time // its last start, as inferred
	roleSince   time.Time // when its role was seen to change
	downSince   time.Time // since when it has been out of service or suspect
	answeredAt  time.Time // its latest probe that was answered
	refusedAt   time.Time // its latest connection that was refused
	refusals    int       // consecutive
	unanswered  int       // consecutive
	probedAt    time.Time // last returned by DueProbes
}

// New returns an empty registry.
func New(p Policy) *Registry {
	return &Registry{
		policy: p, sources: map[Source]*sourceState{}, engines: map[string]*engine{},
		byLocation: map[location]map[string]*engine{}, dirty: map[string]*engine{}, answered: map[string]map[string]time.Time{},
	}
}

// lastSeen is when a trusted view last contained a listing.
func (s *sourceState) lastSeen(l *listing) time.Time {
	if l.missingSince.IsZero() && !l.malformed && !l.restored && s.lastTrusted.After(l.lastSeen) {
		return s.lastTrusted
	}
	return l.lastSeen
}

// isMissing reports whether a listing is absent from the latest view, trusted or doubted.
func (l *listing) isMissing() bool { return !l.missingSince.IsZero() || !l.questionedSince.IsZero() }

// SetOverrides replaces all overrides by those given, by engine id.
func (r *Registry) SetOverrides(now time.Time, over map[string]Override) {
	for id := range r.overrides {
		r.markDirty(id)
	}
	r.overrides = over
	for id := range over {
		r.markDirty(id)
	}
	r.evaluateDirty(now)
}

func (r *Registry) emit(e Event) { r.events = append(r.events, e) }

// markDirty has an engine evaluated again before the call returns.
func (r *Registry) markDirty(id string) {
	if e := r.engines[id]; e != nil {
		r.dirty[id] = e
	}
}
