package handfile

import (
	"slices"
	"testing"
)

// Two stores on one file, as the two processes of an upgrade: what one writes the
// other reads as a change, once; its own writes are no change to it.
func TestTwoProcesses(t *testing.T) {
	dir := t.TempDir()
	a, b := Open(dir, "n0"), Open(dir, "n0")
	if names, changed, err := b.Read(); err != nil || changed || len(names) != 0 {
		t.Fatalf("no file: %v %v %v", names, changed, err)
	}
	if err := a.Write([]string{"e2", "e1"}); err != nil {
		t.Fatal(err)
	}
	if _, changed, _ := a.Read(); changed {
		t.Error("a store's own write read as a change")
	}
	names, changed, err := b.Read()
	if err != nil || !changed || !slices.Equal(names, []string{"e1", "e2"}) {
		t.Fatalf("the other: %v %v %v", names, changed, err)
	}
	if _, changed, _ := b.Read(); changed {
		t.Error("read twice as a change")
	}
	if err := a.Write(nil); err != nil {
		t.Fatal(err)
	}
	if names, changed, _ := b.Read(); !changed || len(names) != 0 {
		t.Errorf("all back: %v %v", names, changed)
	}
	if Open(dir, "n1").Path() == a.Path() {
		t.Error("two gateways share a file")
	}
}
