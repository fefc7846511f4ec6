package platform

import (
	"testing"
	"time"

	"wellgw/decide/watch"
)

// Gateways refused by discovery together must not call again together: the pauses
// of a fleet spread out and keep their bounds.
func TestWatchRetryJitter(t *testing.T) {
	last := map[time.Duration]bool{}
	pace := watch.TimingFor(2*time.Second, heartbeatInterval)
	for range 80 {
		b := newBackoff(pace)
		for n, mean := 0, pace.InitialBackoff; n < 8; n, mean = n+1, min(2*mean, pace.MaxBackoff) {
			p := b.NextBackOff()
			if spread := time.Duration(pace.Jitter * float64(mean)); p < mean-spread || p > mean+spread {
				t.Fatalf("pause %d: %v, want %v within %v", n, p, mean, spread)
			}
			if n == 7 {
				last[p] = true
			}
		}
	}
	if len(last) < 40 {
		t.Errorf("80 gateways drew %d different pauses", len(last))
	}
}
