package bootclock

import (
	"testing"
	"time"
)

func TestMoments(t *testing.T) {
	now, err := Now()
	if err != nil || now.BootID == "" || now.Uptime <= 0 {
		t.Fatalf("%+v, %v", now, err)
	}
	if d, ok := now.Since(now.Ago(time.Second)); !ok || d != time.Second {
		t.Errorf("a second ago: %v %v", d, ok)
	}
	for name, earlier := range map[string]Moment{"another run": {"x", 1}, "no run": {}, "later": {now.BootID, now.Uptime + 1}} {
		if _, ok := now.Since(earlier); ok {
			t.Errorf("%s: compared", name)
		}
	}
	for _, text := range []string{"", "x 1", "-1 0", " 3"} {
		if m, err := parse("id", text); err == nil {
			t.Errorf("%q: %+v", text, m)
		}
	}
}
