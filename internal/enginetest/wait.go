package enginetest

import (
	"testing"
	"time"
)

// Eventually waits for a condition, for as long as a slow machine may need.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// Within states that something takes no longer than a limit. A busy machine may
// stall once or twice; what really waits too long does so every time.
func Within(t testing.TB, limit time.Duration, take func() time.Duration) {
	t.Helper()
	var took time.Duration
	for range 3 {
		if took = take(); took <= limit {
			return
		}
	}
	t.Errorf("took %v, over %v, three times in a row", took, limit)
}
