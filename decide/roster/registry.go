package roster

import "time"

// Registry holds what all sources have said and what is made of it. It is not safe for
// concurrent use. Each call costs time in proportion to the entries it names, not
// to all that are known.
type Registry struct {
	policy     Policy
	sources    map[Source]*sourceState
	engines    map[string]*engine
	byLocation map[location]map[string]*engine // who is said to be where
	dirty      map[string]*engine
	changes    []Engine
	events     []Event
	overrides  map[string]Override
	losses     []time.Time                     // of engines of any source that were lost without a mark
	answered   map[string]map[string]time.Time // by kind and id: engines whose latest check was answered
}

// sourceState is what one source has said.
type sourceState struct {
	id               Source
	atStart          bool // its first list tells nothing of when engines started
	observed         bool // a view of it has been taken
	index            uint64
	listings         map[string]*listing
	losses           []time.Time // of engines that were lost without a mark
	missingCount     int         // listings that are held though they are listed no more
	vanished         bool        // nothing names it any more: it ends with its last listing
	doubt            Reason
	doubtedSince     time.Time // of the doubt
	doubtedView      *View     // the latest doubted view, to be taken when trialAt + Hold has come
	doubtedViewSince time.Time
	rebased          bool // the next view may come from another time line: its registrations are no news
	lastTrusted      time.Time
}

// listing is what one source says of one engine.
type listing struct {
	Entry
	firstListed     time.Time // first listed here; zero if it was there on a first list
	lastSeen        time.Time // last listed in a view that was trusted
	missingSince    time.Time // not listed since, though it may be alive; zero if it is listed
	questionedSince time.Time // a doubted view has not listed it since: it is to be checked
	restored        bool      // known from disk alone
	malformed       bool      // its latest entry made no sense
}

// engine is what the registry makes of the listings of one id.
type engine struct {
	id          string
	listings    map[Source]*listing
	primary     *listing  // whose address counts
	primaryRank [2]uint64 // of best, as its rivals know it
	location    location
	published   Engine
	isPublished bool      // told holds what the module knows
	restartedAt time.Time // when it was last held to have started anew
	roleSince   time.Time // when it took its present role, as far as that was seen
	downSince   time.Time // since when it has been critical
	answeredAt  time.Time
	refusedAt   time.Time // the last one
	refusals    int       // in a row
	unanswered  int
	probedAt    time.Time // last asked for by Wanted
}

// New returns an empty registry.
func New(p Policy) *Registry {
	return &Registry{
		policy: p, sources: map[Source]*sourceState{}, engines: map[string]*engine{},
		byLocation: map[location]map[string]*engine{}, dirty: map[string]*engine{}, answered: map[string]map[string]time.Time{},
	}
}

// lastSeen is when a trusted view last had a listing.
func (s *sourceState) lastSeen(l *listing) time.Time {
	if l.missingSince.IsZero() && !l.malformed && !l.restored && s.lastTrusted.After(l.lastSeen) {
		return s.lastTrusted
	}
	return l.lastSeen
}

// isMissing tells whether a listing is not on the latest list, trusted or not.
func (l *listing) isMissing() bool { return !l.missingSince.IsZero() || !l.questionedSince.IsZero() }

// Override replaces all overrides by those given, by id.
func (r *Registry) Override(now time.Time, over map[string]Override) {
	for id := range r.overrides {
		r.markDirty(id)
	}
	r.overrides = over
	for id := range over {
		r.markDirty(id)
	}
	r.evaluateDirty(now)
}

func (r *Registry) emit(n Event) { r.events = append(r.events, n) }

func (r *Registry) markDirty(id string) {
	if e := r.engines[id]; e != nil {
		r.dirty[id] = e
	}
}
