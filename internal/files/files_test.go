package files

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// What replaces a file leaves the former content where it fails, and nothing beside it.
func TestWriteAtomic(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "f")
	if err := WriteAtomic(path, []byte("one\n")); err != nil {
		t.Fatal(err)
	}
	if err := WriteAtomic(filepath.Join(dir, "none", "f"), nil); err == nil {
		t.Error("written to a folder that is not there")
	}
	if text, err := Read(path, 4); err != nil || string(text) != "one\n" {
		t.Errorf("%q, %v", text, err)
	}
	if _, err := Read(path, 3); !errors.Is(err, ErrDamaged) {
		t.Errorf("a file that is too long: %v", err)
	}
}

// What a process that was killed left beside a file is removed, and nothing else.
func TestRemoveStale(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "f")
	old := time.Now().Add(-2 * staleAge)
	for name, left := range map[string]bool{".f123": false, ".f124": true, ".fx1": true, ".f": true, "f": true, ".g123": true} {
		at := filepath.Join(dir, name)
		if err := os.WriteFile(at, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		if name != ".f124" { // which is being written
			if err := os.Chtimes(at, old, old); err != nil {
				t.Fatal(err)
			}
		}
		defer func() {
			if _, err := os.Stat(at); (err == nil) != left {
				t.Errorf("%s: %v", name, err)
			}
		}()
	}
	if err := RemoveStale(path); err != nil {
		t.Error(err)
	}
}
