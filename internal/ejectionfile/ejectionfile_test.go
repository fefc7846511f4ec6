package ejectionfile

import (
	"slices"
	"testing"
	"time"
)

// Two stores on one directory, as the two processes of an upgrade: what one
// writes the other reads as a change, once; its own writes are no change to it.
// The older hears of the newer once that says it is ready.
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

	old, young := Self{Started: time.Unix(1000, 0), PID: 10}, Self{Started: time.Unix(1001, 0), PID: 9}
	if !old.Newer(young) || young.Newer(old) || old.Newer(old) || !old.Newer(Self{Started: old.Started, PID: 11}) {
		t.Fatal("Newer is wrong")
	}
	if _, ok := b.Ready(); ok {
		t.Fatal("nobody said it was ready")
	}
	if err := a.MarkReady(young); err != nil {
		t.Fatal(err)
	}
	if s, ok := b.Ready(); !ok || !s.Started.Equal(young.Started) || s.PID != young.PID {
		t.Errorf("ready: %+v %v", s, ok)
	}
}
