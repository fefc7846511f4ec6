package watch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any drain grace, the response of a source that has recovered arrives within nine tenths of it, and
// timeouts and backoffs are long enough to prevent a tight loop.
func TestMaxDelayIsWithinGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "grace"))
		timing := TimingFor(grace, 2*time.Second)
		limit := grace
		if grace == 0 {
			limit = defaultGrace
		}
		if limit = max(limit, minGrace); timing.MaxDelay() > limit*9/10 {
			t.Errorf("grace %v: longest delay %v", grace, timing.MaxDelay())
		}
		if timing.ResponseTimeout < 50*time.Millisecond || timing.InitialBackoff < 50*time.Millisecond || timing.InitialBackoff > timing.MaxBackoff || timing.IdleTimeout < 2200*time.Millisecond {
			t.Errorf("grace %v: timing %+v", grace, timing)
		}
	})
}
