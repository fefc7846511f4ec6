package enginetest

import (
	"testing"
	"time"
)

// Eventually polls a condition until it is true. It fails the test after one minute, which is ample on a
// slow machine.
func Eventually(t testing.TB, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within a minute: %s", condition)
		}
	}
}

// Within checks that a measured duration does not exceed a limit in at least one of three runs. A busy
// machine may exceed it once or twice; code that is too slow exceeds it every time.
func Within(t testing.TB, limit time.Duration, measure func() time.Duration) {
	t.Helper()
	var duration time.Duration
	for range 3 {
		if duration = measure(); duration <= limit {
			return
		}
	}
	t.Errorf("took %v, limit %v, exceeded three times in a row", duration, limit)
}
