package peers

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A gateway starts with any content of its incarnation file, and when the file can't be written. Its
// incarnation is above the one in the file, even if the wall clock was set back or forward.
func TestStartIncarnation(t *testing.T) {
	wall := time.Unix(1_800_000_000, 0)
	for name, c := range map[string]struct {
		text    string
		wall    time.Time
		want    uint64
		wantErr bool
	}{
		"first start":       {"", wall, 1_800_000_000, false},
		"clock set back":    {"1800000007\n", wall.Add(-time.Hour), 1_800_000_008, false},
		"clock set forward": {"1800000007\n", wall.Add(time.Hour), 1_800_003_600, false},
		"truncated number":  {"18000", wall, 1_800_000_000, false},
		"not a number":      {"{\"v\":2}", wall, 1_800_000_000, true},
	} {
		path := filepath.Join(t.TempDir(), "incarnation")
		if c.text != "" {
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if got, err := startIncarnation(path, c.wall); got != c.want || (err != nil) != c.wantErr {
			t.Errorf("%s: got incarnation %d, error %v; want %d, error %v", name, got, err, c.want, c.wantErr)
		}
	}
	if got, err := startIncarnation(filepath.Join(t.TempDir(), "none", "incarnation"), wall); got != 1_800_000_000 || err == nil {
		t.Errorf("missing directory: got incarnation %d, error %v", got, err)
	}
}
