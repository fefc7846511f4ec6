package ejectionfile

import (
	"slices"
	"testing"
	"time"
)

// Two stores in one directory, as used by the two processes during an upgrade: a write by one store is
// reported as a change once by the other and never by the writer itself. A ready mark written through one
// store is read through the other.
func TestTwoProcesses(t *testing.T) {
	dir := t.TempDir()
	a, b := Open(dir, "n/0"), Open(dir, "n/0")
	read := func(s *Store) ([]string, bool) {
		names, changed, err := s.Read()
		if err != nil {
			t.Fatal(err)
		}
		return names, changed
	}
	if names, changed := read(b); changed || len(names) != 0 {
		t.Fatalf("without a file: names %v, changed %v", names, changed)
	}
	for _, set := range [][]string{{"e2", "e1"}, nil} {
		if err := a.Write(set); err != nil {
			t.Fatal(err)
		}
		if _, changed := read(a); changed {
			t.Error("a store reported its own write as a change")
		}
		want := slices.Sorted(slices.Values(set))
		if names, changed := read(b); !changed || !slices.Equal(names, want) {
			t.Errorf("the other store read %v, changed %v, want %v", names, changed, want)
		}
		if _, changed := read(b); changed {
			t.Error("a change was reported twice")
		}
	}
	if Open(dir, "n1").Path() == a.Path() {
		t.Error("two gateways have the same ejections file")
	}

	predecessor, successor := Process{Started: time.Unix(1000, 0), PID: 10}, Process{Started: time.Unix(1001, 0), PID: 9}
	if !predecessor.SupersededBy(successor) || successor.SupersededBy(predecessor) ||
		predecessor.SupersededBy(predecessor) || !predecessor.SupersededBy(Process{Started: predecessor.Started, PID: 11}) {
		t.Fatal("SupersededBy orders processes incorrectly")
	}
	if _, ok := b.ReadyProcess(); ok {
		t.Fatal("ReadyProcess returned a mark before one was written")
	}
	if err := a.MarkReady(successor); err != nil {
		t.Fatal(err)
	}
	if s, ok := b.ReadyProcess(); !ok || !s.Started.Equal(successor.Started) || s.PID != successor.PID {
		t.Errorf("ready mark: %+v %v", s, ok)
	}
}
