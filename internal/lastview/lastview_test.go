package lastview

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wellgw/decide/roster"
)

func sampleView() View {
	src := roster.Source{Origin: roster.Catalogue, Name: "llm"}
	return View{
		SavedAt: time.Now().Round(0), Indexes: []Index{{src, 7}},
		Entries: []roster.StoredEntry{{Source: src, Entry: roster.Entry{ID: "a", Addr: "127.0.0.1:1", Mark: roster.Critical, Started: time.Now().Round(0)}, LastSeen: time.Now().Round(0)}},
	}
}

func TestSaveAndLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "view")
	if _, err := Load(path); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("without a file: %v, want fs.ErrNotExist", err)
	}
	want := sampleView()
	for range 2 { // the second replaces the first
		if err := Save(path, want); err != nil {
			t.Fatal(err)
		}
	}
	got, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-saved +loaded):\n%s", diff)
	}
	if got.IndexBySource()[want.Indexes[0].Source] != 7 {
		t.Error("the loaded view has no index of the source")
	}
}

// Load detects a file that is truncated at any byte, and one with any byte changed.
func TestDamagedFileIsDetected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "view")
	if err := Save(path, sampleView()); err != nil {
		t.Fatal(err)
	}
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	loadBytes := func(raw []byte) error {
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(path)
		return err
	}
	for i := range intact {
		flipped := append([]byte(nil), intact...)
		flipped[i] ^= 4
		for _, raw := range [][]byte{intact[:i], flipped} {
			if err := loadBytes(raw); !errors.Is(err, ErrDamaged) {
				t.Fatalf("byte %d: %v, want ErrDamaged", i, err)
			}
		}
	}
	renamed, err := RenameDamaged(path, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(renamed); err != nil {
		t.Error(err)
	}
	if _, err := Load(path); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("after RenameDamaged: %v, want fs.ErrNotExist", err)
	}
}
