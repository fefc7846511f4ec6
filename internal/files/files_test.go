package files

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// WriteAtomic must write a file's content, and must fail if the directory does not exist. Read must reject
// a file over its limit.
func TestWriteAtomic(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "f")
	if err := WriteAtomic(path, []byte("one\n")); err != nil {
		t.Fatal(err)
	}
	if err := WriteAtomic(filepath.Join(dir, "none", "f"), nil); err == nil {
		t.Error("write into a missing directory: no error")
	}
	if text, err := Read(path, 4); err != nil || string(text) != "one\n" {
		t.Errorf("content %q, error %v", text, err)
	}
	if _, err := Read(path, 3); !errors.Is(err, ErrDamaged) {
		t.Errorf("file over the limit: error %v, want ErrDamaged", err)
	}
}

// RemoveStale must remove the old temporary files of killed processes, and no other files.
func TestRemoveStale(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "f")
	old := time.Now().Add(-2 * staleAge)
	for name, remains := range map[string]bool{".f123": false, ".f124": true, ".fx1": true, ".f": true, "f": true, ".g123": true} {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		if name != ".f124" { // still being written: not stale
			if err := os.Chtimes(file, old, old); err != nil {
				t.Fatal(err)
			}
		}
		defer func() {
			if _, err := os.Stat(file); (err == nil) != remains {
				t.Errorf("%s: stat error %v, want the file to remain: %v", name, err, remains)
			}
		}()
	}
	if err := RemoveStale(path); err != nil {
		t.Error(err)
	}
}
