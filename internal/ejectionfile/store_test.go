package ejectionfile

import (
	"slices"
	"testing"
	"time"
)

// Two stores in one directory, as the two processes of an upgrade have them: what one writes, the other
// reads as a change once; its own writes are no change to it. The predecessor learns of the successor
// once that has marked itself ready.
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
		t.Fatalf("no file: %v %v", names, changed)
	}
	for _, set := range [][]string{{"e2", "e1"}, nil} {
		if err := a.Write(set); err != nil {
			t.Fatal(err)
		}
		if _, changed := read(a); changed {
			t.Error("a store's own write read as a change")
		}
		want := slices.Sorted(slices.Values(set))
		if names, changed := read(b); !changed || !slices.Equal(names, want) {
			t.Errorf("the other read %v %v, want %v", names, changed, want)
		}
		if _, changed := read(b); changed {
			t.Error("read twice as a change")
		}
	}
	if Open(dir, "n1").Path() == a.Path() {
		t.Error("two gateways share a file")
	}

	predecessor, successor := Process{Started: time.Unix(1000, 0), PID: 10}, Process{Started: time.Unix(1001, 0), PID: 9}
	if !predecessor.SupersededBy(successor) || successor.SupersededBy(predecessor) || predecessor.SupersededBy(predecessor) || !predecessor.SupersededBy(Process{Started: predecessor.Started, PID: 11}) {
		t.Fatal("SupersededBy is wrong")
	}
	if _, ok := b.ReadyProcess(); ok {
		t.Fatal("a ready mark that nobody wrote")
	}
	if err := a.MarkReady(successor); err != nil {
		t.Fatal(err)
	}
	if s, ok := b.ReadyProcess(); !ok || !s.Started.Equal(successor.Started) || s.PID != successor.PID {
		t.Errorf("ready: %+v %v", s, ok)
	}
}
