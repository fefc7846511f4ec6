package membership

import (
	"fmt"
	"testing"
	"time"
)

// TestSmallTiersExhaustively simulates three gateways with the same view. In each run one message of
// the fault window is lost, duplicated or delayed, without a restart or with one at each of eight
// times. It checks for every message, fault and restart:
//   - no running gateway is declared dead, since no gateway is unresponsive for as long as the
//     suspicion timeout;
//   - the incarnation of a member in the view of another gateway never decreases;
//   - all gateways have the same view 5 s after the end of the fault window.
func TestSmallTiersExhaustively(t *testing.T) {
	const (
		settled     = 3 * time.Second
		faultWindow = 500 * ms
	)
	base := func() *tier {
		w := newTier(1, 3)
		w.run(settled)
		if err := w.checkAgreement(); err != nil {
			t.Fatalf("before any fault: %v", err)
		}
		return w
	}
	faultFree := base()
	before := faultFree.sent
	faultFree.run(settled + faultWindow)
	messages := faultFree.sent - before
	runs, states := 0, 0
	for restart := -1; restart < 8; restart++ {
		for _, fault := range []string{"lost", "duplicated", "delayed"} {
			for at := 0; at < messages; at++ {
				w := base()
				w.injectMessageFault(before+at+1, fault)
				maxIncarnations := map[string]uint64{}
				restartAt := settled + time.Duration(restart)*faultWindow/8
				for end := settled + faultWindow + 5*time.Second; w.now < end; {
					w.run(w.now + 50*ms)
					if restart >= 0 && w.now >= restartAt && w.nodes["g001"].generation == 1 {
						w.start("g001", 2)
					}
					states++
					for _, id := range w.names {
						for _, x := range w.nodes[id].byName {
							key := fmt.Sprint(id, w.nodes[id].generation, x.ID)
							if x.Incarnation < maxIncarnations[key] {
								t.Fatalf("message %d %s, restart %d: %s lowers the incarnation of %s to %d", at, fault, restart, id, x.ID, x.Incarnation)
							}
							maxIncarnations[key] = x.Incarnation
						}
					}
					if bad := w.falseDeaths(); len(bad) > 0 {
						t.Fatalf("message %d %s, restart %d: false deaths: %v", at, fault, restart, bad)
					}
				}
				if err := w.checkAgreement(); err != nil {
					t.Fatalf("message %d %s, restart %d: %v", at, fault, restart, err)
				}
				runs++
			}
		}
	}
	t.Logf("%d runs, %d states checked, %d messages each", runs, states, messages)
	if runs < 1000 {
		t.Errorf("only %d runs, want at least 1000", runs)
	}
}

// injectMessageFault loses, duplicates or delays the n-th message sent.
func (t *tier) injectMessageFault(n int, fault string) {
	done := false
	t.drops = func(string, string) bool {
		if t.sent != n || done {
			return false
		}
		done = true
		switch fault {
		case "lost":
			return true
		case "delayed":
			t.delayNext = 700 * ms
		case "duplicated":
			t.duplicateNext = true
		}
		return false
	}
}
