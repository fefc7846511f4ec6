package lastview

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"wellgw/decide/roster"
)

// storedView is the content of testdata/view, which was written before identifiers in the code were
// renamed.
func storedView() View {
	at := func(s int) time.Time { return time.Date(2026, 1, 2, 3, 4, s, 567890123, time.UTC) }
	catalogue, file := roster.Source{Origin: roster.Catalogue, Name: "llm"}, roster.Source{Origin: roster.File}
	return View{
		SavedAt: at(5),
		Entries: []roster.StoredEntry{
			{Source: file, Entry: roster.Entry{ID: "f1", Addr: "127.0.0.1:1"}, LastSeen: at(1)},
			{
				Source: catalogue,
				Entry: roster.Entry{
					ID: "a", Addr: "10.0.0.1:8000", Kind: "openai", Zone: "z1", Cell: 3, Mark: roster.Critical,
					Started: at(2), Registered: 17, Index: 18_446_744_073_709_551_615,
				},
				FirstListed: at(3), LastSeen: at(4), Started: at(6),
			},
			{Source: catalogue, Entry: roster.Entry{ID: "b", Addr: "[::1]:8000", Mark: roster.Maintenance}, LastSeen: at(7)},
		},
		Indexes: []Index{{catalogue, 42}, {file, 0}},
	}
}

func TestStoredViewIsRead(t *testing.T) {
	got, err := Load("testdata/view")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(storedView(), got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestNewFileEqualsStoredFile(t *testing.T) {
	want, err := os.ReadFile("testdata/view")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "view")
	if err := Save(path, storedView()); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Errorf("(-stored +new):\n%s", diff)
	}
}

// TestFileFormat reads a new file without using code of this package: a header line of magic string,
// version and checksum in hex, then one JSON document.
func TestFileFormat(t *testing.T) {
	path := filepath.Join(t.TempDir(), "view")
	if err := Save(path, storedView()); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	header, body, _ := strings.Cut(string(raw), "\n")
	if want := fmt.Sprintf("wellgw-view 1 %016x", xxhash.Sum64String(body)); header != want {
		t.Errorf("header %q, want %q", header, want)
	}
	var got struct {
		SavedAt time.Time
		Entries []struct {
			Source struct {
				Origin uint8
				Name   string
			}
			Entry struct {
				ID, Addr, Kind, Zone string
				Cell                 int
				Mark                 uint8
				Started              time.Time
				Registered, Index    uint64
			}
			Born, Seen, Begun time.Time
		}
		Indexes []struct {
			Source struct {
				Origin uint8
				Name   string
			}
			Index uint64
		}
	}
	decoder := json.NewDecoder(bytes.NewReader([]byte(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&got); err != nil {
		t.Fatal(err)
	}
	want := storedView()
	if !got.SavedAt.Equal(want.SavedAt) || len(got.Entries) != len(want.Entries) || len(got.Indexes) != len(want.Indexes) {
		t.Fatalf("%+v", got)
	}
	for i, g := range got.Entries {
		w := want.Entries[i]
		if g.Source.Origin != uint8(w.Source.Origin) || g.Source.Name != w.Source.Name ||
			g.Entry.ID != w.Entry.ID || g.Entry.Addr != w.Entry.Addr || g.Entry.Kind != w.Entry.Kind || g.Entry.Zone != w.Entry.Zone ||
			g.Entry.Cell != w.Entry.Cell || g.Entry.Mark != uint8(w.Entry.Mark) || !g.Entry.Started.Equal(w.Entry.Started) ||
			g.Entry.Registered != w.Entry.Registered || g.Entry.Index != w.Entry.Index ||
			!g.Born.Equal(w.FirstListed) || !g.Seen.Equal(w.LastSeen) || !g.Begun.Equal(w.Started) {
			t.Errorf("entry %d: %+v, want %+v", i, g, w)
		}
	}
	for i, g := range got.Indexes {
		if w := want.Indexes[i]; g.Source.Origin != uint8(w.Source.Origin) || g.Source.Name != w.Source.Name || g.Index != w.Index {
			t.Errorf("index %d: %+v, want %+v", i, g, w)
		}
	}
}
