package core

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Counters are known by these names outside: in metrics, on pages and by who searches logs.
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
