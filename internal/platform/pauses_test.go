package platform

import (
	"testing"
	"time"

	"wellgw/decide/watch"
)

// Gateways that discovery rejects at the same time must not retry at the same time: the backoffs of a
// fleet must differ and stay within their bounds.
func TestWatchRetryJitter(t *testing.T) {
	lastBackoffs := map[time.Duration]bool{}
	timing := watch.TimingFor(2*time.Second, heartbeatInterval)
	for range 80 {
		b := newBackoff(timing)
		for n, mean := 0, timing.InitialBackoff; n < 8; n, mean = n+1, min(2*mean, timing.MaxBackoff) {
			interval := b.NextBackOff()
			if spread := time.Duration(timing.Jitter * float64(mean)); interval < mean-spread || interval > mean+spread {
				t.Fatalf("backoff %d: %v, want %v +/- %v", n, interval, mean, spread)
			}
			if n == 7 {
				lastBackoffs[interval] = true
			}
		}
	}
	if len(lastBackoffs) < 40 {
		t.Errorf("80 gateways have %d different backoffs, want at least 40", len(lastBackoffs))
	}
}
