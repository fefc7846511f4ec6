package roster

import "time"

// Registry contains the listings of all sources and the engines reconciled from them. It is not safe for
// concurrent use. The cost of a call grows with the number of entries it affects, not with the size of the
// registry.
type Registry struct {
	policy       Policy
	sources      map[Source]*sourceState
	engines      map[string]*engine
	byLocation   map[location]map[string]*engine // engines by address and kind, then by id
	dirty        map[string]*engine              // engines to evaluate before the call returns, by id
	changes      []Engine
	events       []Event
	overrides    map[string]Override
	losses       []time.Time                     // times of losses of unmarked engines, over all sources
	lastAnswered map[string]map[string]time.Time // when an engine answered its latest probe, by kind and id
}

// sourceState is the state of one source.
type sourceState struct {
	id             Source
	addedAtStart   bool // added when the gateway started: its first view does not show when engines started
	observed       bool // a view of it has been applied or restored
	index          uint64
	listings       map[string]*listing
	losses         []time.Time // times of losses of unmarked engines
	missingCount   int         // listings that are retained though no longer listed
	missing        bool        // absent from the catalog: removed with its last listing
	heldMarks      int         // listings whose mark is held; see marks.go
	distrust       Reason
	untrustedSince time.Time // zero while the source is trusted
	deferredView   *View     // the latest untrusted view, applied Policy.HoldTime after deferredSince
	deferredSince  time.Time
	// historyChanged is whether the next view may be of another catalog history, so that changed registration
	// indexes do not prove restarts.
	historyChanged bool
	lastTrusted    time.Time
}

// listing is the entry of one source for one engine.
type listing struct {
	Entry
	firstListed  time.Time // zero if the first view of a source added at start had it
	lastSeen     time.Time // when a view that listed it was applied
	missingSince time.Time // since when it is retained though not listed; zero if it is listed
	lostSince    time.Time // since when trusted views lack it, while it is retained
	catalogReset bool      // it went missing with many others as the index went backwards
	absentSince  time.Time // since when untrusted views lack it, so that it is probed; zero if they list it
	restored     bool      // read from the last good view's file, not yet listed by its source
	malformed    bool      // its latest entry was malformed
	raised       raisedMark
}

// engine is one engine id, reconciled from its listings.
type engine struct {
	id          string
	listings    map[Source]*listing
	primary     *listing  // the listing that takes precedence
	primaryRank [2]uint64 // primary's indexes when engines at the same location were last marked dirty
	location    location
	published   Engine
	isPublished bool      // whether published is set
	restartedAt time.Time // its last start, as inferred from catalog and probes
	roleSince   time.Time // when its role last changed
	downSince   time.Time // since when it has been out of service or suspect
	answeredAt  time.Time // time of its latest answered probe
	refusedAt   time.Time // time of its latest refused connection
	refusals    int       // consecutive refused connections
	unanswered  int       // consecutive unanswered probes
	probedAt    time.Time // when DueProbes last returned it
}

// New returns an empty registry.
func New(p Policy) *Registry {
	return &Registry{
		policy: p, sources: map[Source]*sourceState{}, engines: map[string]*engine{},
		byLocation: map[location]map[string]*engine{}, dirty: map[string]*engine{}, lastAnswered: map[string]map[string]time.Time{},
	}
}

// lastSeen returns when a view of the source, normally a trusted one, last contained a listing.
func (s *sourceState) lastSeen(l *listing) time.Time {
	if l.missingSince.IsZero() && !l.malformed && !l.restored && s.lastTrusted.After(l.lastSeen) {
		return s.lastTrusted
	}
	return l.lastSeen
}

// isMissing reports whether a listing is absent from the latest view, trusted or not.
func (l *listing) isMissing() bool { return !l.missingSince.IsZero() || !l.absentSince.IsZero() }

// SetOverrides replaces all overrides. The keys are engine ids.
func (r *Registry) SetOverrides(now time.Time, overrides map[string]Override) {
	for id := range r.overrides {
		r.markDirty(id)
	}
	r.overrides = overrides
	for id := range overrides {
		r.markDirty(id)
	}
	r.evaluateDirty(now)
}

func (r *Registry) emit(e Event) { r.events = append(r.events, e) }

// markDirty schedules an engine for evaluation before the call returns.
func (r *Registry) markDirty(id string) {
	if e := r.engines[id]; e != nil {
		r.dirty[id] = e
	}
}
