package core

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The names of counters must not change: metrics, documentation and log searches use them.
func TestCounterNames(t *testing.T) {
	got := []Counter{
		countOpenRequests, countRequests, countAttempts, countDuplicates, countClientsGone,
		countReleases, countReleasesFailed, countStatesExpired,
	}
	got = append(append(got, statusNames[:]...), verdictNames[:]...)
	want := []Counter{
		"open", "requests", "attempts", "duplicate id", "gone", "releases", "releases failed", "states expired",
		"served", "read", "error", "full", "timeout", "no connect", "reset", "cancelled", "unsent",
		"refused", "failed", "overdue", "duplicate", "serving",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("names (-want +got):\n%s", diff)
	}
}
