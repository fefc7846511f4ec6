package directory

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/roster"
	"wellgw/internal/lastview"
)

var writeGolden = flag.Bool("write-golden", false, "rewrite the golden files in testdata")

// The view as operators read it and as `wellgw engines --json` prints it.
func TestViewJSON(t *testing.T) {
	for name, c := range map[string]struct {
		view View
		want string
	}{
		"all fields": {
			View{
				Engines: []Engine{{
					ID: "a", Address: "127.0.0.1:1", Role: "read", ListedRole: "write", Zone: "z", Cell: 2, State: "draining", StateReason: "maintenance by file",
					Confidence: "held", AgeMS: 3, UpMS: 4, Sources: []string{"file", "service x"},
				}},
				Sources: []Source{{Source: "service x", DistrustReason: "no leader", UntrustedMS: 5, AgeMS: 6, Index: 7, Engines: 8}},
				Stats:   Stats{Probes: 9, Changes: 10, Publications: 11, Saves: 12},
			},
			`{"engines":[{"id":"a","address":"127.0.0.1:1","role":"read","listed":"write","zone":"z","cell":2,"state":"draining","why":"maintenance by file",` +
				`"confidence":"held","age_ms":3,"up_ms":4,"sources":["file","service x"]}],` +
				`"sources":[{"source":"service x","doubt":"no leader","doubt_ms":5,"age_ms":6,"index":7,"engines":8}],` +
				`"stats":{"checks":9,"changes":10,"tells":11,"saves":12}}`,
		},
		"mandatory fields only": {
			View{Engines: []Engine{{}}, Sources: []Source{{}}},
			`{"engines":[{"id":"","address":"","role":"","zone":"","cell":0,"state":"","confidence":"","age_ms":0,"sources":null}],` +
				`"sources":[{"source":"","age_ms":0,"index":0,"engines":0}],"stats":{"checks":0,"changes":0,"tells":0,"saves":0}}`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := jsoniter.Marshal(c.view)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, string(got)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// The view of engines in each state, with the texts that operators read.
func TestViewStatesAndReasons(t *testing.T) {
	d, _, _ := startDirectory(t, "", func(context.Context, string) roster.ProbeResult { return roster.Answered })
	start := time.Now().Add(-time.Hour)
	e := func(id string, mark roster.Mark) roster.Entry {
		return roster.Entry{ID: id, Addr: id + ":1", Kind: "read", Zone: "z", Cell: 1, Mark: mark, Started: start}
	}
	d.With(func(r *roster.Registry, now time.Time) {
		r.Observe(now, llmSource, roster.View{Index: 9, Entries: []roster.Entry{
			e("a", roster.Clear), e("b", roster.Critical), e("c", roster.Maintenance), e("d", roster.Clear), e("e", roster.Clear),
		}})
		r.SetOverrides(now, map[string]roster.Override{"d": {Drain: true, StateReason: "changing"}, "e": {Kind: "write", Started: now}})
		r.ObserveFailure(now, llmSource, roster.Unreachable)
	})
	v := d.View()
	for i := range v.Engines {
		v.Engines[i].AgeMS, v.Engines[i].UpMS = 0, 0
	}
	for i := range v.Sources {
		v.Sources[i].AgeMS, v.Sources[i].UntrustedMS = 0, 0
	}
	v.Stats = Stats{}
	got, err := jsoniter.MarshalIndent(v, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "view.json", append(got, '\n'))
}

// compareGolden compares got with a golden file in testdata.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *writeGolden {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Errorf("%s (-want +got):\n%s", name, diff)
	}
}

// goldenLastView returns the content of testdata/lastview, in which every field is set.
func goldenLastView() lastview.View {
	at := time.Date(2026, 1, 2, 3, 4, 5, 678_000_000, time.UTC)
	x, file := roster.Source{Origin: roster.Catalogue, Name: "x"}, roster.Source{Origin: roster.File}
	return lastview.View{
		SavedAt: at,
		Entries: []roster.StoredEntry{
			{Source: file, Entry: roster.Entry{ID: "a", Addr: "127.0.0.1:1", Kind: "read", Zone: "z", Cell: 1}, LastSeen: at},
			{
				Source: x, Entry: roster.Entry{ID: "b", Addr: "127.0.0.1:2", Kind: "write", Zone: "y", Cell: 2, Mark: roster.Critical, Started: at, Registered: 3, Index: 4},
				FirstListed: at.Add(-time.Minute), LastSeen: at.Add(-time.Second), Started: at.Add(-time.Hour),
			},
			{Source: x, Entry: roster.Entry{ID: "c", Addr: "127.0.0.1:3", Kind: "both", Mark: roster.Maintenance}},
		},
		Indexes: []lastview.Index{{Source: x, Index: 77}},
	}
}

// A last good view that an earlier build wrote is readable, and is written again byte for byte. Its
// keys are names of Go fields, so the rename of a field would lose the stored value.
func TestLastViewFileFormat(t *testing.T) {
	path := filepath.Join(t.TempDir(), "view")
	if err := lastview.Save(path, goldenLastView()); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "lastview", raw)
	got, err := lastview.Load(filepath.Join("testdata", "lastview"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(goldenLastView(), got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// A directory that starts from testdata/lastview shows its engines.
func TestRestoreFromLastViewFile(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "lastview"))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "view")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	d, _, end := startDirectory(t, path, func(context.Context, string) roster.ProbeResult { return roster.NoAnswer })
	var lines []string
	for _, e := range d.View().Engines {
		lines = append(lines, strings.Join([]string{e.ID, e.Address, e.Role, e.State, e.StateReason, e.Confidence, strings.Join(e.Sources, "+")}, "|"))
	}
	end()
	want := []string{
		"a|127.0.0.1:1|read|in|restored: file: last good view from disk|restored|file",
		"b|127.0.0.1:2|write|critical|critical by service x|restored|service x",
		"c|127.0.0.1:3|both|draining|maintenance by service x|restored|service x",
	}
	if diff := cmp.Diff(want, lines); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	after, err := os.ReadFile(path)
	if err != nil || !bytes.HasPrefix(after, []byte("wellgw-view 1 ")) {
		t.Errorf("%.60s, %v", after, err)
	}
}
