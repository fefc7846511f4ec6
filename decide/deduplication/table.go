// Package deduplication decides what becomes of a request that comes under an idempotency key
// (IETF draft-ietf-httpapi-idempotency-key-header), so that an order which its client
// sends again does not run again. It does no I/O and reads no clock.
//
// The one rule above all: a key under which something may have run is never run again
// while it is remembered, and it is remembered for at least Limits.Least. Where there is
// no room to remember one more, nothing is run.
package deduplication

import (
	"cmp"
	"slices"
	"time"

	"wellgw/decide/setting"
)

// Limits bound what is remembered.
type Limits struct {
	MaxEntries          int           // keys
	MaxEntriesPerTeam   int           // keys of one team; 0 = as many as there may be
	MaxTotalAnswerBytes int64         // of all answers kept
	MaxAnswerBytes      int           // bytes of the largest answer that is kept
	Retention           time.Duration // a key is forgotten so long after its end
	MinRetention        time.Duration // and never sooner than this, room or not
	UncertaintyPeriod   time.Duration // after a restart that may have lost keys, a retry under an unseen one is not run for so long
}

// DefaultLimits returns what an operator who says nothing gets.
func DefaultLimits() Limits {
	return Limits{
		MaxEntries: 20_000, MaxTotalAnswerBytes: 16 << 20, MaxAnswerBytes: 256 << 10,
		Retention: 24 * time.Hour, MinRetention: 10 * time.Minute, UncertaintyPeriod: 10 * time.Minute,
	}
}

// Validate tells what is wrong with limits, by the field's name.
func (l Limits) Validate() error {
	switch {
	case l.MaxEntries < 1:
		return setting.New("keys", "below 1")
	case l.MaxTotalAnswerBytes < 0 || l.MaxAnswerBytes < 0:
		return setting.New("answer_bytes, largest_answer", "below 0")
	case l.MinRetention <= 0 || l.Retention < l.MinRetention:
		return setting.New("least_ms, age_ms", "the age must be no less than the least, and both above 0")
	}
	return nil
}

// Key names a request, within its team.
type Key struct{ Team, Name string }

// State is what is known of what ran under a key.
type State uint8

// The states.
const (
	StateRunning  State = iota // under way
	StateComplete              // its answer was whole
	StateUnknown               // it may have run, or may not
)

func (s State) String() string { return [...]string{"running", "complete", "unknown"}[s] }

// Entry is what is remembered of a key. Its answer is not to be changed.
type Entry struct {
	Key         Key
	Digest      string // of what was asked
	State       State
	Since       time.Time // of the state
	RequestID   string    // of the request that ran
	ContentType string    // of the answer
	Answer      []byte    // nil if it was not kept
}

// Request is a request under a key.
type Request struct {
	Key                 Key
	Digest              string
	RequestID           string
	RetryCount          int  // how often its client says that it has asked before
	MayHaveRunElsewhere bool // its earlier tries may have gone to another gateway, that keeps keys of its own
}

// Decision is what is to be done with a request.
type Decision uint8

// The verdicts.
const (
	Run                 Decision = iota // and end it with End
	InProgress                          // it runs; come again
	Replay                              // the answer is there
	AnswerUnavailable                   // it ran whole, and its answer is no longer there
	KeyReused                           // the key was used for something else
	PriorOutcomeUnknown                 // what became of it is not known
	CapacityExceeded                    // no more can be remembered: nothing was done
)

func (v Decision) String() string {
	return [...]string{"run", "under way", "replay", "not kept", "reused", "lost", "full"}[v]
}

// Table remembers keys. It is not safe for concurrent use.
type Table struct {
	limits         Limits
	entries        map[Key]*Entry
	teams          map[string]*teamUsage
	answerBytes    int64
	uncertainUntil time.Time                  // until then an unseen key may be one that was lost
	refusals       map[string]*refusalHistory // by team
	removed        []Key
	failedSearches map[string]time.Time // when room was last looked for in vain, by team
}

// A search takes a look at every key: a team that floods a full table must not have one
// made for each of its requests.
const (
	searchInterval    = time.Second
	maxFailedSearches = 256
)

type teamUsage struct {
	entries     int
	answerBytes int64
}

// NewTable returns an empty table; an error names the limit that can't be used.
func NewTable(l Limits) (*Table, error) {
	if err := l.Validate(); err != nil {
		return nil, err
	}
	return &Table{
		limits: l, entries: map[Key]*Entry{}, teams: map[string]*teamUsage{}, failedSearches: map[string]time.Time{}, refusals: map[string]*refusalHistory{},
	}, nil
}

// Restore takes in what an earlier run remembered. What ran then has been cut off. clean
// tells that the earlier run has ended in good order, so that nothing is missing.
func (t *Table) Restore(now time.Time, entries []Entry, clean bool) {
	if !clean {
		t.uncertainUntil = now.Add(t.limits.UncertaintyPeriod)
	}
	for _, e := range entries {
		if e.State == StateRunning {
			e.State, e.Since, e.Answer = StateUnknown, now, nil
		}
		if e.Since.After(now) {
			e.Since = now // the clock has been put back
		}
		if now.Sub(e.Since) >= t.limits.Retention || t.entries[e.Key] != nil {
			continue
		}
		if len(e.Answer) > t.limits.MaxAnswerBytes {
			e.Answer = nil
		}
		t.add(e)
	}
	t.evictAnswers()
}

func (t *Table) add(e Entry) {
	t.entries[e.Key] = &e
	of := t.teams[e.Key.Team]
	if of == nil {
		of = &teamUsage{}
		t.teams[e.Key.Team] = of
	}
	of.entries++
	of.answerBytes += int64(len(e.Answer))
	t.answerBytes += int64(len(e.Answer))
}

func (t *Table) remove(e *Entry) {
	t.dropAnswer(e)
	delete(t.entries, e.Key)
	of := t.teams[e.Key.Team]
	if of.entries--; of.entries == 0 {
		delete(t.teams, e.Key.Team)
	}
	t.removed = append(t.removed, e.Key)
}

func (t *Table) dropAnswer(e *Entry) {
	n := int64(len(e.Answer))
	e.Answer = nil
	t.teams[e.Key.Team].answerBytes -= n
	t.answerBytes -= n
}

// Begin decides on a request. With Run it is under way from now on, until End.
func (t *Table) Begin(now time.Time, a Request) (Decision, Entry) {
	e := t.entries[a.Key]
	if e != nil && e.State != StateRunning && now.Sub(e.Since) >= t.limits.Retention {
		t.remove(e)
		e = nil
	}
	switch {
	case e == nil:
	case e.Digest != a.Digest:
		return KeyReused, *e
	case e.State == StateRunning:
		return InProgress, *e
	case e.State == StateUnknown:
		return PriorOutcomeUnknown, *e
	case e.Answer == nil:
		return AnswerUnavailable, *e
	default:
		return Replay, *e
	}
	// A try that nobody here remembers may have gone to another gateway, or to an earlier
	// life of this one; those that were turned away here did not run.
	if a.RetryCount > t.refusals[a.Key.Team].count(now, a.Key.Name) && (a.MayHaveRunElsewhere || now.Before(t.uncertainUntil)) {
		return PriorOutcomeUnknown, Entry{Key: a.Key}
	}
	if !t.reserveEntry(now, a.Key.Team) {
		return CapacityExceeded, Entry{Key: a.Key}
	}
	begun := Entry{Key: a.Key, Digest: a.Digest, State: StateRunning, Since: now, RequestID: a.RequestID}
	t.add(begun)
	return Run, begun
}

// Outcome is how a request that was run has ended.
type Outcome uint8

// The outcomes.
const (
	OutcomeNotRun        Outcome = iota // for certain: the key is free again
	OutcomeCompleted                    // its whole answer went out
	OutcomeIndeterminate                // anything else
)

// End ends what Begin has begun, by the id that it began with. It returns what is now
// remembered, false if that is nothing.
func (t *Table) End(now time.Time, k Key, id string, how Outcome, kind string, answer []byte) (Entry, bool) {
	e := t.entries[k]
	if e == nil || e.RequestID != id || e.State != StateRunning {
		return Entry{}, false
	}
	e.Since = now
	switch how {
	case OutcomeNotRun:
		t.remove(e)
		t.RecordRefusal(now, k)
		return Entry{}, false
	case OutcomeCompleted:
		e.State, e.ContentType = StateComplete, kind
		if len(answer) > 0 && len(answer) <= t.limits.MaxAnswerBytes {
			e.Answer = answer
			t.answerBytes += int64(len(answer))
			t.teams[k.Team].answerBytes += int64(len(answer))
			t.evictAnswers()
		}
	default:
		e.State = StateUnknown
	}
	return *e, true
}

// RecordRefusal takes it that a try under a key was turned away and did not run.
func (t *Table) RecordRefusal(now time.Time, k Key) {
	if t.refusals[k.Team] == nil {
		t.refusals[k.Team] = &refusalHistory{}
	}
	t.refusals[k.Team].record(now, k.Name)
}

// evictAnswers forgets answers, oldest first, of the team that has most of them kept, until the
// rest fits. That one is complete stays remembered.
func (t *Table) evictAnswers() {
	for t.answerBytes > t.limits.MaxTotalAnswerBytes {
		most := ""
		for name, of := range t.teams {
			if of.answerBytes > 0 && (most == "" || of.answerBytes > t.teams[most].answerBytes || of.answerBytes == t.teams[most].answerBytes && name < most) {
				most = name
			}
		}
		var held []*Entry
		for k, e := range t.entries {
			if k.Team == most && e.Answer != nil {
				held = append(held, e)
			}
		}
		slices.SortFunc(held, compareAge)
		// A part at a time, so that the next answers find room without a search.
		for _, e := range held[:max(1, len(held)/8)] {
			if t.dropAnswer(e); t.answerBytes <= t.limits.MaxTotalAnswerBytes-t.limits.MaxTotalAnswerBytes/16 {
				return
			}
		}
	}
}

func compareAge(a, b *Entry) int {
	return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Key.Name, b.Key.Name))
}

// reserveEntry sees to it that a team may have one more key remembered, and tells whether it
// may. Complete keys that are old enough are forgotten for it, oldest first: its own if it
// is at its bound, else those of teams that have more than their part of the room. A team
// that floods the table so costs no other its keys.
func (t *Table) reserveEntry(now time.Time, name string) bool {
	atBound := func() bool {
		of := t.teams[name]
		return t.limits.MaxEntriesPerTeam > 0 && of != nil && of.entries >= t.limits.MaxEntriesPerTeam
	}
	fits := func() bool { return !atBound() && len(t.entries) < t.limits.MaxEntries }
	if fits() {
		return true
	}
	if sought, had := t.failedSearches[name]; had && now.Sub(sought) < searchInterval && !now.Before(sought) {
		return false
	}
	if t.Expire(now); fits() {
		return true
	}
	teams := len(t.teams)
	if t.teams[name] == nil {
		teams++
	}
	part := t.limits.MaxEntries / teams
	var old []*Entry
	for k, e := range t.entries {
		own, over := k.Team == name, t.teams[k.Team].entries > part
		if (own || over && !atBound()) && e.State == StateComplete && now.Sub(e.Since) >= t.limits.MinRetention {
			old = append(old, e)
		}
	}
	if len(old) == 0 {
		if len(t.failedSearches) >= maxFailedSearches {
			clear(t.failedSearches)
		}
		t.failedSearches[name] = now
		return false
	}
	slices.SortFunc(old, compareAge)
	for _, e := range old[:max(1, min(len(old), t.limits.MaxEntries/64))] {
		t.remove(e)
	}
	return true
}

// Expire forgets keys that are past their age.
func (t *Table) Expire(now time.Time) {
	for _, e := range t.entries {
		if e.State != StateRunning && now.Sub(e.Since) >= t.limits.Retention {
			t.remove(e)
		}
	}
}

// TakeRemoved returns the keys forgotten since the last call, for whoever keeps them on disk.
func (t *Table) TakeRemoved() []Key {
	d := t.removed
	t.removed = nil
	return d
}

// Counts returns how many keys are remembered, and the bytes of their answers.
func (t *Table) Counts() (keys int, bytes int64) { return len(t.entries), t.answerBytes }
