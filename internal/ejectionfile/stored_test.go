package ejectionfile

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// Content of the files in testdata, which were written by processes of the gateway "n/0" before
// identifiers in the code were renamed.
var (
	storedEjections = []string{"engine-a", "engine-b", "engine/ü c"}
	storedReady     = Process{Started: time.Unix(1760000000, 123456789), PID: 4242}
	storedClaim     = Process{Started: time.Unix(1760000000, 123456790), PID: 4343}
)

const storedGateway = "n/0"

// copyTestdata copies testdata to a temporary directory, so that a test can write to it.
func copyTestdata(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata")); err != nil {
		t.Fatal(err)
	}
	return dir
}

func TestStoredFilesAreRead(t *testing.T) {
	s := Open(copyTestdata(t), storedGateway)
	names, changed, err := s.Read()
	if err != nil || !changed || !slices.Equal(names, storedEjections) {
		t.Errorf("ejections: %q %v %v", names, changed, err)
	}
	if ready, ok := s.ReadyProcess(); !ok || !ready.Started.Equal(storedReady.Started) || ready.PID != storedReady.PID {
		t.Errorf("ready: %+v %v", ready, ok)
	}
	// A process that starts with a clock that is behind is ordered after the one with the last claim.
	self, err := s.Claim(time.Unix(1, 0), 5)
	if err != nil || !self.Started.Equal(storedClaim.Started.Add(1)) || self.PID != 5 {
		t.Errorf("claim: %+v %v", self, err)
	}
}

func TestNewFilesEqualStoredFiles(t *testing.T) {
	dir := t.TempDir()
	s := Open(dir, storedGateway)
	if err := s.Write([]string{"engine/ü c", "engine-b", "engine-a"}); err != nil {
		t.Fatal(err)
	}
	if err := s.MarkReady(storedReady); err != nil {
		t.Fatal(err)
	}
	if claim, err := s.Claim(time.Unix(1760000000, 5), storedClaim.PID); err != nil || !claim.Started.Equal(storedClaim.Started) {
		t.Errorf("claim: %+v %v", claim, err)
	}
	want, got := readDir(t, "testdata"), readDir(t, dir)
	for name := range maps.Clone(want) {
		want[name+".lock"] = "" // see files.Update
	}
	if len(want) != 6 || len(got) != len(want) {
		t.Errorf("files %q, want %q", got, want)
	}
	for name, content := range want {
		if got[name] != content {
			t.Errorf("%s: %q, want %q", name, got[name], content)
		}
	}
}

// TestFileFormat checks new files against docs/operations.md: one engine per line in wellgw-bans-NAME,
// start time and process ID in wellgw-ready-NAME, accessible only to the user of the gateway.
func TestFileFormat(t *testing.T) {
	dir := t.TempDir()
	s := Open(dir, "gw")
	if err := s.Write([]string{"b", "a"}); err != nil {
		t.Fatal(err)
	}
	if err := s.MarkReady(Process{Started: time.Unix(7, 9), PID: 11}); err != nil {
		t.Fatal(err)
	}
	got := readDir(t, dir)
	if lines := strings.Split(got["wellgw-bans-gw"], "\n"); !slices.Equal(lines, []string{"a", "b", ""}) {
		t.Errorf("ejections: %q", lines)
	}
	if fields := strings.Fields(got["wellgw-ready-gw"]); !slices.Equal(fields, []string{"7000000009", "11"}) {
		t.Errorf("ready: %q", fields)
	}
	for name := range got {
		info, err := os.Stat(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		if info.Mode().Perm() != 0o600 {
			t.Errorf("%s: mode %v", name, info.Mode())
		}
	}
	// Read also accepts a file edited by an operator.
	if err := os.WriteFile(filepath.Join(dir, "wellgw-bans-gw"), []byte("x\n\n y \n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if names, changed, err := s.Read(); err != nil || !changed || !slices.Equal(names, []string{"x", "y"}) {
		t.Errorf("file edited by an operator: %q %v %v", names, changed, err)
	}
}

// readDir returns the content of the files in dir by file name.
func readDir(t *testing.T, dir string) map[string]string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	contents := map[string]string{}
	for _, e := range entries {
		content, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		contents[e.Name()] = string(content)
	}
	return contents
}
