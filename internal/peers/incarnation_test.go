package peers

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A gateway starts whatever its file holds and whether or not it can be written, and never below
// what the file says, whichever way the wall clock was stepped.
func TestStartIncarnation(t *testing.T) {
	wall := time.Unix(1_800_000_000, 0)
	for name, c := range map[string]struct {
		text string
		wall time.Time
		want uint64
		errs bool
	}{
		"first start":       {"", wall, 1_800_000_000, false},
		"clock put back":    {"1800000007\n", wall.Add(-time.Hour), 1_800_000_008, false},
		"clock put forward": {"1800000007\n", wall.Add(time.Hour), 1_800_003_600, false},
		"half a number":     {"18000", wall, 1_800_000_000, false},
		"foreign":           {"{\"v\":2}", wall, 1_800_000_000, true},
	} {
		path := filepath.Join(t.TempDir(), "incarnation")
		if c.text != "" {
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if got, err := startIncarnation(path, c.wall); got != c.want || (err != nil) != c.errs {
			t.Errorf("%s: %d, %v", name, got, err)
		}
	}
	if got, err := startIncarnation(filepath.Join(t.TempDir(), "none", "incarnation"), wall); got != 1_800_000_000 || err == nil {
		t.Errorf("a folder that is not there: %d, %v", got, err)
	}
}
