package invariant

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Broken statements are counted, or panic in a debug build.
func TestHold(t *testing.T) {
	c := New()
	if !c.Assert(true, "a") || len(c.Violations()) > 0 {
		t.Error("a statement that holds is held to be broken")
	}
	defer func() {
		if p := recover(); (p != nil) != fatal {
			t.Errorf("panic: %v", p)
		}
	}()
	for _, what := range []string{"b", "a", "b"} {
		if c.Assert(false, what) {
			t.Error("a broken statement is held to hold")
		}
	}
	if diff := cmp.Diff([]string{"a: 1", "b: 2"}, c.Violations()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
