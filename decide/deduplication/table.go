// Package deduplication decides how to handle a request with an idempotency key (IETF
// draft-ietf-httpapi-idempotency-key-header), so that a request that its client retries is not run a second
// time. It does no I/O and reads no clock.
//
// Its invariant: a key under which a request may have run is not run again while the key is remembered, and
// it is remembered for at least Limits.MinRetention. If there is no capacity to remember another key, the
// request is not run.
package deduplication

import "time"

// Table stores the remembered keys. It is not safe for concurrent use.
type Table struct {
	limits      Limits
	entries     map[Key]*Entry
	teams       map[string]*teamUsage // teams that have entries
	answerBytes int64                 // total size of all stored answers
	// uncertainUntil is the latest time at which entries that were lost would have been removed. Until
	// then, an unseen key may be one of them.
	uncertainUntil  time.Time
	refusals        map[string]*refusalHistory // by team
	removed         []Key                      // see PopRemoved
	failedEvictions map[string]time.Time       // by team: time of the latest failed eviction
}

// teamUsage is the capacity used by one team's entries.
type teamUsage struct {
	entries     int
	answerBytes int64
}

// NewTable returns an empty table. It returns an error that names the limit if one is invalid.
func NewTable(l Limits) (*Table, error) {
	if err := l.Validate(); err != nil {
		return nil, err
	}
	return &Table{
		limits:          l,
		entries:         map[Key]*Entry{},
		teams:           map[string]*teamUsage{},
		failedEvictions: map[string]time.Time{},
		refusals:        map[string]*refusalHistory{},
	}, nil
}

// Restore adds the entries of an earlier process. Requests that were running then were interrupted.
// uncertainty is how much longer entries may be missing; 0 if none is.
func (t *Table) Restore(now time.Time, entries []Entry, uncertainty time.Duration) {
	t.uncertainUntil = now.Add(min(uncertainty, t.limits.UncertaintyPeriod))
	for _, e := range entries {
		t.restoreEntry(now, e)
	}
	t.evictAnswers()
}

func (t *Table) restoreEntry(now time.Time, e Entry) {
	if e.State == StateRunning {
		e.State, e.Since, e.Answer = StateUnknown, now, nil
	}
	if e.Since.After(now) { // the clock was set back
		e.Since = now
	}
	if now.Sub(e.Since) >= t.limits.Retention || t.entries[e.Key] != nil {
		return
	}
	if len(e.Answer) > t.limits.MaxAnswerBytes {
		e.Answer = nil
	}
	t.add(e)
}

// Begin decides on a request. After the decision Run, the request is in progress until End is called.
func (t *Table) Begin(now time.Time, r Request) (Decision, Entry) {
	e := t.entries[r.Key]
	if e != nil && t.expired(e, now) {
		t.remove(e)
		e = nil
	}
	if e != nil {
		return decideByEntry(e, r), *e
	}
	// An unremembered attempt may have been sent to another gateway, or to this one before a restart.
	// Attempts that this gateway refused did not run.
	if r.RetryCount > t.refusals[r.Key.Team].count(now, r.Key.Name) &&
		(r.MayHaveRunOnOtherGateway || t.Uncertain(now)) {
		return PriorOutcomeUnknown, Entry{Key: r.Key}
	}
	if !t.ensureCapacity(now, r.Key.Team) {
		return CapacityExceeded, Entry{Key: r.Key}
	}
	entry := Entry{Key: r.Key, Digest: r.Digest, State: StateRunning, Since: now, RequestID: r.RequestID}
	t.add(entry)
	return Run, entry
}

// decideByEntry decides on a request whose key is remembered. It never returns Run.
func decideByEntry(e *Entry, r Request) Decision {
	switch {
	case e.Digest != r.Digest:
		return KeyReused
	case e.State == StateRunning:
		return InProgress
	case e.State == StateUnknown:
		return PriorOutcomeUnknown
	case e.Answer == nil:
		return AnswerUnavailable
	}
	return Replay
}

// End records the outcome of a request that Begin decided to run; requestID is the ID passed to Begin. It
// returns the entry, or false if the entry was removed or does not match.
func (t *Table) End(
	now time.Time, k Key, requestID string, outcome Outcome, contentType string, answer []byte,
) (Entry, bool) {
	e := t.entries[k]
	if e == nil || e.RequestID != requestID || e.State != StateRunning {
		return Entry{}, false
	}
	e.Since = now
	switch outcome {
	case OutcomeNotRun:
		t.remove(e)
		t.RecordRefusal(now, k)
		return Entry{}, false
	case OutcomeCompleted:
		e.State, e.ContentType = StateComplete, contentType
		t.storeAnswer(e, answer)
	default:
		e.State = StateUnknown
	}
	return *e, true
}

// RecordRefusal records that an attempt under a key was refused and did not run.
func (t *Table) RecordRefusal(now time.Time, k Key) {
	if t.refusals[k.Team] == nil {
		t.refusals[k.Team] = &refusalHistory{}
	}
	t.refusals[k.Team].record(now, k.Name)
}

// Uncertain reports whether entries of an earlier process may be missing.
func (t *Table) Uncertain(now time.Time) bool { return now.Before(t.uncertainUntil) }

// PopRemoved returns the keys removed since the previous call, so that the caller can remove them from disk.
func (t *Table) PopRemoved() []Key {
	removed := t.removed
	t.removed = nil
	return removed
}

// Counts returns the number of remembered keys and the total size of their answers in bytes.
func (t *Table) Counts() (keys int, bytes int64) { return len(t.entries), t.answerBytes }

func (t *Table) add(e Entry) {
	t.entries[e.Key] = &e
	usage := t.teams[e.Key.Team]
	if usage == nil {
		usage = &teamUsage{}
		t.teams[e.Key.Team] = usage
	}
	usage.entries++
	usage.answerBytes += int64(len(e.Answer))
	t.answerBytes += int64(len(e.Answer))
}

func (t *Table) remove(e *Entry) {
	t.dropAnswer(e)
	delete(t.entries, e.Key)
	usage := t.teams[e.Key.Team]
	if usage.entries--; usage.entries == 0 {
		delete(t.teams, e.Key.Team)
	}
	t.removed = append(t.removed, e.Key)
}

// storeAnswer stores the answer of a complete entry unless it is empty or too large.
func (t *Table) storeAnswer(e *Entry, answer []byte) {
	if len(answer) == 0 || len(answer) > t.limits.MaxAnswerBytes {
		return
	}
	e.Answer = answer
	t.answerBytes += int64(len(answer))
	t.teams[e.Key.Team].answerBytes += int64(len(answer))
	t.evictAnswers()
}

func (t *Table) dropAnswer(e *Entry) {
	size := int64(len(e.Answer))
	e.Answer = nil
	t.teams[e.Key.Team].answerBytes -= size
	t.answerBytes -= size
}
