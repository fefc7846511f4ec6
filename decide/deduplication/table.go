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
	Entries  int           // keys
	PerTeam  int           // keys of one team; 0 = as many as there may be
	Bytes    int64         // of all answers kept
	Answer   int           // bytes of the largest answer that is kept
	Age      time.Duration // a key is forgotten so long after its end
	Least    time.Duration // and never sooner than this, room or not
	Distrust time.Duration // after a restart that may have lost keys, a retry under an unseen one is not run for so long
}

// DefaultLimits returns what an operator who says nothing gets.
func DefaultLimits() Limits {
	return Limits{
		Entries: 20_000, Bytes: 16 << 20, Answer: 256 << 10,
		Age: 24 * time.Hour, Least: 10 * time.Minute, Distrust: 10 * time.Minute,
	}
}

// Validate tells what is wrong with limits, by the field's name.
func (l Limits) Validate() error {
	switch {
	case l.Entries < 1:
		return setting.New("keys", "below 1")
	case l.Bytes < 0 || l.Answer < 0:
		return setting.New("answer_bytes, largest_answer", "below 0")
	case l.Least <= 0 || l.Age < l.Least:
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
	Running  State = iota // under way
	Complete              // its answer was whole
	Unknown               // it may have run, or may not
)

func (s State) String() string { return [...]string{"running", "complete", "unknown"}[s] }

// Entry is what is remembered of a key. Its answer is not to be changed.
type Entry struct {
	Key    Key
	Digest string // of what was asked
	State  State
	Since  time.Time // of the state
	ID     string    // of the request that ran
	Type   string    // of the answer
	Answer []byte    // nil if it was not kept
}

// Ask is a request under a key.
type Ask struct {
	Key    Key
	Digest string
	ID     string
	Retry  int  // how often its client says that it has asked before
	Others bool // its earlier tries may have gone to another gateway, that keeps keys of its own
}

// Verdict is what is to be done with a request.
type Verdict uint8

// The verdicts.
const (
	Run      Verdict = iota // and end it with End
	UnderWay                // it runs; come again
	Replay                  // the answer is there
	NotKept                 // it ran whole, and its answer is no longer there
	Reused                  // the key was used for something else
	Lost                    // what became of it is not known
	Full                    // no more can be remembered: nothing was done
)

func (v Verdict) String() string {
	return [...]string{"run", "under way", "replay", "not kept", "reused", "lost", "full"}[v]
}

// Table remembers keys. It is not safe for concurrent use.
type Table struct {
	lim     Limits
	all     map[Key]*Entry
	teams   map[string]*team
	bytes   int64
	doubted time.Time          // until then an unseen key may be one that was lost
	spared  map[string]*spared // by team
	dropped []Key
	sought  map[string]time.Time // when room was last looked for in vain, by team
}

// A search takes a look at every key: a team that floods a full table must not have one
// made for each of its requests.
const (
	searchPause = time.Second
	soughtMost  = 256
)

type team struct {
	keys  int
	bytes int64
}

// NewTable returns an empty table; an error names the limit that can't be used.
func NewTable(l Limits) (*Table, error) {
	if err := l.Validate(); err != nil {
		return nil, err
	}
	return &Table{
		lim: l, all: map[Key]*Entry{}, teams: map[string]*team{}, sought: map[string]time.Time{}, spared: map[string]*spared{},
	}, nil
}

// Restore takes in what an earlier run remembered. What ran then has been cut off. clean
// tells that the earlier run has ended in good order, so that nothing is missing.
func (t *Table) Restore(now time.Time, entries []Entry, clean bool) {
	if !clean {
		t.doubted = now.Add(t.lim.Distrust)
	}
	for _, e := range entries {
		if e.State == Running {
			e.State, e.Since, e.Answer = Unknown, now, nil
		}
		if e.Since.After(now) {
			e.Since = now // the clock has been put back
		}
		if now.Sub(e.Since) >= t.lim.Age || t.all[e.Key] != nil {
			continue
		}
		if len(e.Answer) > t.lim.Answer {
			e.Answer = nil
		}
		t.add(e)
	}
	t.fit()
}

func (t *Table) add(e Entry) {
	t.all[e.Key] = &e
	of := t.teams[e.Key.Team]
	if of == nil {
		of = &team{}
		t.teams[e.Key.Team] = of
	}
	of.keys++
	of.bytes += int64(len(e.Answer))
	t.bytes += int64(len(e.Answer))
}

func (t *Table) remove(e *Entry) {
	t.forgetAnswer(e)
	delete(t.all, e.Key)
	of := t.teams[e.Key.Team]
	if of.keys--; of.keys == 0 {
		delete(t.teams, e.Key.Team)
	}
	t.dropped = append(t.dropped, e.Key)
}

func (t *Table) forgetAnswer(e *Entry) {
	n := int64(len(e.Answer))
	e.Answer = nil
	t.teams[e.Key.Team].bytes -= n
	t.bytes -= n
}

// Begin decides on a request. With Run it is under way from now on, until End.
func (t *Table) Begin(now time.Time, a Ask) (Verdict, Entry) {
	e := t.all[a.Key]
	if e != nil && e.State != Running && now.Sub(e.Since) >= t.lim.Age {
		t.remove(e)
		e = nil
	}
	switch {
	case e == nil:
	case e.Digest != a.Digest:
		return Reused, *e
	case e.State == Running:
		return UnderWay, *e
	case e.State == Unknown:
		return Lost, *e
	case e.Answer == nil:
		return NotKept, *e
	default:
		return Replay, *e
	}
	// A try that nobody here remembers may have gone to another gateway, or to an earlier
	// life of this one; those that were turned away here did not run.
	if a.Retry > t.spared[a.Key.Team].tries(now, a.Key.Name) && (a.Others || now.Before(t.doubted)) {
		return Lost, Entry{Key: a.Key}
	}
	if !t.makeRoom(now, a.Key.Team) {
		return Full, Entry{Key: a.Key}
	}
	begun := Entry{Key: a.Key, Digest: a.Digest, State: Running, Since: now, ID: a.ID}
	t.add(begun)
	return Run, begun
}

// Outcome is how a request that was run has ended.
type Outcome uint8

// The outcomes.
const (
	NotRun Outcome = iota // for certain: the key is free again
	Whole                 // its whole answer went out
	Broken                // anything else
)

// End ends what Begin has begun, by the id that it began with. It returns what is now
// remembered, false if that is nothing.
func (t *Table) End(now time.Time, k Key, id string, how Outcome, kind string, answer []byte) (Entry, bool) {
	e := t.all[k]
	if e == nil || e.ID != id || e.State != Running {
		return Entry{}, false
	}
	e.Since = now
	switch how {
	case NotRun:
		t.remove(e)
		t.Spare(now, k)
		return Entry{}, false
	case Whole:
		e.State, e.Type = Complete, kind
		if len(answer) > 0 && len(answer) <= t.lim.Answer {
			e.Answer = answer
			t.bytes += int64(len(answer))
			t.teams[k.Team].bytes += int64(len(answer))
			t.fit()
		}
	default:
		e.State = Unknown
	}
	return *e, true
}

// Spare takes it that a try under a key was turned away and did not run.
func (t *Table) Spare(now time.Time, k Key) {
	if t.spared[k.Team] == nil {
		t.spared[k.Team] = &spared{}
	}
	t.spared[k.Team].add(now, k.Name)
}

// fit forgets answers, oldest first, of the team that has most of them kept, until the
// rest fits. That one is complete stays remembered.
func (t *Table) fit() {
	for t.bytes > t.lim.Bytes {
		most := ""
		for name, of := range t.teams {
			if of.bytes > 0 && (most == "" || of.bytes > t.teams[most].bytes || of.bytes == t.teams[most].bytes && name < most) {
				most = name
			}
		}
		var held []*Entry
		for k, e := range t.all {
			if k.Team == most && e.Answer != nil {
				held = append(held, e)
			}
		}
		slices.SortFunc(held, older)
		// A part at a time, so that the next answers find room without a search.
		for _, e := range held[:max(1, len(held)/8)] {
			if t.forgetAnswer(e); t.bytes <= t.lim.Bytes-t.lim.Bytes/16 {
				return
			}
		}
	}
}

func older(a, b *Entry) int {
	return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Key.Name, b.Key.Name))
}

// makeRoom sees to it that a team may have one more key remembered, and tells whether it
// may. Complete keys that are old enough are forgotten for it, oldest first: its own if it
// is at its bound, else those of teams that have more than their part of the room. A team
// that floods the table so costs no other its keys.
func (t *Table) makeRoom(now time.Time, name string) bool {
	atBound := func() bool {
		of := t.teams[name]
		return t.lim.PerTeam > 0 && of != nil && of.keys >= t.lim.PerTeam
	}
	fits := func() bool { return !atBound() && len(t.all) < t.lim.Entries }
	if fits() {
		return true
	}
	if sought, had := t.sought[name]; had && now.Sub(sought) < searchPause && !now.Before(sought) {
		return false
	}
	if t.Expire(now); fits() {
		return true
	}
	teams := len(t.teams)
	if t.teams[name] == nil {
		teams++
	}
	part := t.lim.Entries / teams
	var old []*Entry
	for k, e := range t.all {
		own, over := k.Team == name, t.teams[k.Team].keys > part
		if (own || over && !atBound()) && e.State == Complete && now.Sub(e.Since) >= t.lim.Least {
			old = append(old, e)
		}
	}
	if len(old) == 0 {
		if len(t.sought) >= soughtMost {
			clear(t.sought)
		}
		t.sought[name] = now
		return false
	}
	slices.SortFunc(old, older)
	for _, e := range old[:max(1, min(len(old), t.lim.Entries/64))] {
		t.remove(e)
	}
	return true
}

// Expire forgets keys that are past their age.
func (t *Table) Expire(now time.Time) {
	for _, e := range t.all {
		if e.State != Running && now.Sub(e.Since) >= t.lim.Age {
			t.remove(e)
		}
	}
}

// Dropped returns the keys forgotten since the last call, for whoever keeps them on disk.
func (t *Table) Dropped() []Key {
	d := t.dropped
	t.dropped = nil
	return d
}

// Counts returns how many keys are remembered, and the bytes of their answers.
func (t *Table) Counts() (keys int, bytes int64) { return len(t.all), t.bytes }
