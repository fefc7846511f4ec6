package idempotency

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"wellgw/decide/deduplication"
)

func open(t *testing.T, path string) *Keeper {
	t.Helper()
	k, err := Open(path, deduplication.DefaultLimits(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func ask(name string) deduplication.Ask {
	return deduplication.Ask{Key: deduplication.Key{Team: "a", Name: name}, Digest: "d", ID: "id" + name}
}

func begin(t *testing.T, k *Keeper, name string, want deduplication.Verdict) deduplication.Entry {
	t.Helper()
	v, e := k.Begin(ask(name))
	if v != want {
		t.Errorf("%s: %v, want %v", name, v, want)
	}
	return e
}

func TestRestartKeepsKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	k := open(t, path)
	for _, name := range []string{"whole", "broken", "refused", "running"} {
		begin(t, k, name, deduplication.Run)
	}
	k.End(ask("whole").Key, "idwhole", deduplication.Whole, "text/event-stream", []byte("data: x\n\n"))
	k.End(ask("broken").Key, "idbroken", deduplication.Broken, "", nil)
	k.End(ask("refused").Key, "idrefused", deduplication.NotRun, "", nil)
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
	k = open(t, path)
	defer k.Close()
	if e := begin(t, k, "whole", deduplication.Replay); string(e.Answer) != "data: x\n\n" || e.Type != "text/event-stream" || e.ID != "idwhole" {
		t.Errorf("%+v", e)
	}
	begin(t, k, "broken", deduplication.Lost)
	begin(t, k, "running", deduplication.Lost)
	begin(t, k, "refused", deduplication.Run)
	retry := ask("unseen")
	retry.Retry = 1
	if v, _ := k.Begin(retry); v != deduplication.Run {
		t.Errorf("a retry after a restart in good order: %v", v)
	}
}

// A process that ends without closing the file may have lost the last keys: a retry under
// an unseen one is not run.
func TestCrashIsDetected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	k := open(t, path)
	begin(t, k, "written", deduplication.Run)
	if err := k.flush(false); err != nil {
		t.Fatal(err)
	}
	begin(t, k, "lost", deduplication.Run)
	if err := k.db.Close(); err != nil { // what a crash does to the lock on the file
		t.Fatal(err)
	}
	k = open(t, path)
	defer k.Close()
	begin(t, k, "written", deduplication.Lost)
	lost := ask("lost")
	lost.Retry = 1
	if v, _ := k.Begin(lost); v != deduplication.Lost {
		t.Errorf("%v", v)
	}
	begin(t, k, "new", deduplication.Run)
}

func TestDamagedFileIsRenamed(t *testing.T) {
	for name, spoil := range map[string]func([]byte) []byte{
		"cut":      func(b []byte) []byte { return b[:len(b)/4] },
		"tiny":     func([]byte) []byte { return []byte("x") },
		"no file":  func([]byte) []byte { return []byte(string(make([]byte, 16<<10))) },
		"a record": func(b []byte) []byte { return spoilRecord(b) },
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "keys")
			k := open(t, path)
			begin(t, k, "one", deduplication.Run)
			k.End(ask("one").Key, "idone", deduplication.Whole, "text/plain", []byte("an answer that is easily found"))
			if err := k.Close(); err != nil {
				t.Fatal(err)
			}
			raw, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, spoil(raw), 0o600); err != nil {
				t.Fatal(err)
			}
			k = open(t, path)
			defer k.Close()
			retry := ask("one")
			retry.Retry = 1
			if v, _ := k.Begin(retry); v != deduplication.Lost {
				t.Errorf("a retry after the file was lost: %v", v)
			}
			if aside, _ := filepath.Glob(path + ".damaged-*"); len(aside) != 1 {
				t.Errorf("set aside: %v", aside)
			}
		})
	}
}

// spoilRecord changes a byte in each copy of the record.
func spoilRecord(b []byte) []byte {
	const mark = `"idone"`
	for i := 0; i+len(mark) < len(b); i++ {
		if string(b[i:i+len(mark)]) == mark {
			b[i+2] = 'X'
		}
	}
	return b
}
