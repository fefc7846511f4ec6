package invariant

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Violations are counted, or panic in a debug build.
func TestAssert(t *testing.T) {
	c := New()
	if !c.Assert(true, "a") || len(c.Violations()) > 0 {
		t.Error("a satisfied invariant is reported as violated")
	}
	defer func() {
		if p := recover(); (p != nil) != fatal {
			t.Errorf("panic: %v", p)
		}
	}()
	for _, name := range []string{"b", "a", "b"} {
		if c.Assert(false, name) {
			t.Error("a violated invariant is reported as satisfied")
		}
	}
	if diff := cmp.Diff([]string{"a: 1", "b: 2"}, c.Violations()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
