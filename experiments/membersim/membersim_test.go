package membersim

import (
	"strings"
	"testing"
	"time"

	"wellgw/internal/peers"
)

func TestTierOfThirty(t *testing.T) {
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

// Where messages are long under way, each hop of an accusation must not make it younger:
// nobody would ever die.
func TestDeathDetectedOverLongDelays(t *testing.T) {
	for _, way := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond} {
		tier := New(1, 9)
		tier.Way = way
		tier.Run(10 * time.Second) // at 200 ms answers come after the time for them: views never rest
		begun := tier.Now
		tier.Kill("g004")
		tier.Run(5 * time.Second)
		all, everybody := tier.Knows("g004")
		if !everybody {
			t.Errorf("ways of up to %v: after 5 s %d of 8 know of the kill", way, len(all))
		}
		for _, at := range all {
			if at-begun < 2*time.Second {
				t.Errorf("ways of up to %v: dead after %v already", way, at-begun)
			}
		}
	}
}

// A newcomer, and a half that comes back, know all within seconds, among sixty too.
func TestAntiEntropyMergesViews(t *testing.T) {
	tier := New(1, 60)
	if _, ok := tier.Until(20 * time.Second); !ok {
		t.Fatal("sixty that start together do not agree within 20 s")
	}
	tier.Start("late", 1)
	if took, ok := tier.Until(5 * time.Second); !ok {
		t.Errorf("one more is not known to all after %v", took)
	}
	tier.Lost = func(a, b string) bool { return (a < "g030") != (b < "g030") }
	tier.Run(6 * time.Second)
	tier.Lost = nil
	if took, ok := tier.Until(10 * time.Second); !ok {
		t.Errorf("halves do not agree %v after the heal", took)
	}
}

// Where names are long a datagram has room for fewer updates than a message holds: what is
// left out must not be left out of every walk.
func TestAntiEntropyWithLongNames(t *testing.T) {
	tier := New(1, 2)
	tier.Fits = peers.CountFittingUpdates
	for i := range 40 {
		tier.Start(strings.Repeat("x", 22)+string(rune('A'+i/26))+string(rune('a'+i%26)), 1)
	}
	if took, ok := tier.Until(30 * time.Second); !ok {
		t.Fatalf("not agreed after %v", took)
	}
	late := strings.Repeat("w", 24)
	tier.Start(late, 1)
	tier.Until(10 * time.Second)
	if v := tier.nodes[late].View(); len(v.Peers) != 42 {
		t.Errorf("after 10 s the newcomer knows of %d others", len(v.Peers))
	}
}
