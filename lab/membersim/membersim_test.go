package membersim

import (
	"testing"
	"time"
)

func TestATierOfThirty(t *testing.T) {
	tier := New(1, 30)
	if _, ok := tier.Until(20 * time.Second); !ok {
		t.Fatal("thirty gateways do not agree within 20 s of their start")
	}
	begun := tier.Now
	tier.Kill("g007")
	tier.Run(6 * time.Second)
	all, everybody := tier.Knows("g007")
	if !everybody || len(all) != 29 {
		t.Fatalf("%d of 29 know of the kill", len(all))
	}
	for _, at := range all {
		if took := at - begun; took < 2*time.Second || took > 4*time.Second {
			t.Errorf("one knew after %v", took)
		}
	}
}
