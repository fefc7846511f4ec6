package membership

import (
	"fmt"
	"testing"
	"time"
)

// Three gateways that agree; then, at every point of the next while, one message is lost,
// doubled or comes late, with and without a restart at every point. Each world is played
// to its end, with what must hold:
//   - whoever runs is dead to nobody (no silence here lasts as long as a death takes);
//   - no incarnation that a gateway holds of another goes back;
//   - within 5 s of the last fault all hold one view.
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
		for _, fault := range []string{"lost", "doubled", "late"} {
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
								t.Fatalf("message %d %s, restart %d: %s takes %s back to incarnation %d", at, fault, restart, id, x.ID, x.Incarnation)
							}
							maxIncarnations[key] = x.Incarnation
						}
					}
					if bad := w.falseDeaths(); len(bad) > 0 {
						t.Fatalf("message %d %s, restart %d: dead falsely: %v", at, fault, restart, bad)
					}
				}
				if err := w.checkAgreement(); err != nil {
					t.Fatalf("message %d %s, restart %d: %v", at, fault, restart, err)
				}
				runs++
			}
		}
	}
	t.Logf("%d worlds, %d states looked at, %d messages each", runs, states, messages)
	if runs < 1000 {
		t.Errorf("only %d worlds", runs)
	}
}

// injectMessageFault has the n-th message sent lost, doubled or held back.
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
		case "late":
			t.delayNext = 700 * ms
		case "doubled":
			t.duplicateNext = true
		}
		return false
	}
}
