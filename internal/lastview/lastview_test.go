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

func sample() View {
	src := roster.Source{Origin: roster.Catalogue, Name: "llm"}
	return View{
		SavedAt: time.Now().Round(0), Indexes: []Index{{src, 7}},
		Entries: []roster.StoredEntry{{Source: src, Entry: roster.Entry{ID: "a", Addr: "127.0.0.1:1", Mark: roster.Critical, Started: time.Now().Round(0)}, LastSeen: time.Now().Round(0)}},
	}
}

func TestSaveAndLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "view")
	if _, err := Load(path); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("no file: %v", err)
	}
	want := sample()
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
		t.Error("the index is lost")
	}
}

// Whatever byte of the file is lost or changed, it is known as damaged.
func TestDamage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "view")
	if err := Save(path, sample()); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	write := func(raw []byte) error {
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(path)
		return err
	}
	for i := range whole {
		flipped := append([]byte(nil), whole...)
		flipped[i] ^= 4
		for _, raw := range [][]byte{whole[:i], flipped} {
			if err := write(raw); !errors.Is(err, ErrDamaged) {
				t.Fatalf("byte %d: %v", i, err)
			}
		}
	}
	aside, err := RenameDamaged(path, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(aside); err != nil {
		t.Error(err)
	}
	if _, err := Load(path); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("set aside: %v", err)
	}
}
