// Package replay decides whether a request may run under a client's request id: an id under which a request
// may have run already must not run again. Ids are remembered for a bounded time, in two generations, and in
// a bounded number: once that is reached, a new id is refused, as none may be forgotten early.
//
// Two processes of a gateway share ids through a log of records, which both apply in the same order: of two
// claims of an id, the first in the log holds.
package replay

import "time"

// Generation is the time covered by one generation of ids. An id is remembered for one to two of them.
const Generation = 2 * time.Minute

// ID identifies a client's request id.
type ID [16]byte

// Process identifies a process of the gateway.
type Process uint64

// Kind is the kind of a record.
type Kind uint8

// The kinds of records.
const (
	Claim   Kind = iota + 1 // the process is about to run a request under the id
	Release                 // nothing of that request was sent to an engine
)

// Record is a change of the ids, as it is shared between processes.
type Record struct {
	ID      ID
	Process Process
	Kind    Kind
}

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	Admit  Verdict = iota // the id is new
	Replay                // a request with this id may have run
	Full                  // no further id can be remembered
)

// Table holds the ids that are remembered. The zero value is not usable; see NewTable.
type Table struct {
	capacity          int
	generation        int64
	current, previous map[ID]Process
}

// NewTable returns a table of at most the given number of ids.
func NewTable(capacity int) *Table {
	return &Table{capacity: capacity, current: map[ID]Process{}, previous: map[ID]Process{}}
}

// GenerationAt returns the number of the generation at a time since a common origin.
func GenerationAt(sinceOrigin time.Duration) int64 { return int64(sinceOrigin / Generation) }

// Advance begins a generation, and forgets the ids of those before the previous one. An earlier generation
// than the current one changes nothing.
func (t *Table) Advance(generation int64) {
	switch steps := generation - t.generation; {
	case steps <= 0:
		return
	case steps == 1:
		t.previous = t.current
	default:
		t.previous = map[ID]Process{}
	}
	t.current, t.generation = map[ID]Process{}, generation
}

// Len returns the number of ids that are remembered.
func (t *Table) Len() int { return len(t.current) + len(t.previous) }

// Check returns the decision on a request with an id, before the id is claimed.
func (t *Table) Check(id ID) Verdict {
	if _, known := t.holder(id); known {
		return Replay
	}
	if t.Len() >= t.capacity {
		return Full
	}
	return Admit
}

// Apply applies a record. A claim of an id that is claimed already has no effect; nor has the release of an
// id that another process holds. Records of other processes are applied beyond the capacity.
func (t *Table) Apply(r Record) {
	holder, known := t.holder(r.ID)
	switch {
	case r.Kind == Claim && !known:
		t.current[r.ID] = r.Process
	case r.Kind == Release && known && holder == r.Process:
		delete(t.current, r.ID)
		delete(t.previous, r.ID)
	}
}

// HeldBy reports whether an id is claimed by a process.
func (t *Table) HeldBy(id ID, process Process) bool {
	holder, known := t.holder(id)
	return known && holder == process
}

func (t *Table) holder(id ID) (Process, bool) {
	if holder, known := t.current[id]; known {
		return holder, true
	}
	holder, known := t.previous[id]
	return holder, known
}
