package bootclock

import (
	"testing"
	"time"
)

// Moments of one boot can be subtracted. Moments of different boots, unknown moments, reversed moments
// and malformed kernel files are rejected.
func TestMoments(t *testing.T) {
	now, err := Now()
	if err != nil || now.BootID == "" || now.Uptime <= 0 {
		t.Fatalf("Now: %+v, error %v", now, err)
	}
	if d, ok := now.Since(now.Ago(time.Second)); !ok || d != time.Second {
		t.Errorf("since one second ago: %v, %v", d, ok)
	}
	for name, earlier := range map[string]Moment{"another boot": {"x", 1}, "unknown": {}, "later": {now.BootID, now.Uptime + 1}} {
		if _, ok := now.Since(earlier); ok {
			t.Errorf("%s: Since accepted the earlier moment", name)
		}
	}
	for _, text := range []string{"", "x 1", "-1 0", " 3"} {
		if m, err := parse("id", text); err == nil {
			t.Errorf("uptime %q: parsed as %+v, want an error", text, m)
		}
	}
}
