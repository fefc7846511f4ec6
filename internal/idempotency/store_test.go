package idempotency

import (
	"encoding/binary"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/deduplication"
	"wellgw/internal/bootclock"
)

func open(t *testing.T, path string) *Store {
	t.Helper()
	k, err := Open(path, deduplication.DefaultLimits(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func newRequest(name string) deduplication.Request {
	return deduplication.Request{Key: deduplication.Key{Team: "a", Name: name}, Digest: "d", RequestID: "id" + name}
}

func begin(t *testing.T, k *Store, name string, want deduplication.Decision) deduplication.Entry {
	t.Helper()
	v, e := k.Begin(newRequest(name))
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
	k.End(newRequest("whole").Key, "idwhole", deduplication.OutcomeCompleted, "text/event-stream", []byte("data: x\n\n"))
	k.End(newRequest("broken").Key, "idbroken", deduplication.OutcomeIndeterminate, "", nil)
	k.End(newRequest("refused").Key, "idrefused", deduplication.OutcomeNotRun, "", nil)
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
	k = open(t, path)
	defer k.Close()
	if e := begin(t, k, "whole", deduplication.Replay); string(e.Answer) != "data: x\n\n" || e.ContentType != "text/event-stream" || e.RequestID != "idwhole" {
		t.Errorf("%+v", e)
	}
	begin(t, k, "broken", deduplication.PriorOutcomeUnknown)
	begin(t, k, "running", deduplication.PriorOutcomeUnknown)
	begin(t, k, "refused", deduplication.Run)
	retry := newRequest("unseen")
	retry.RetryCount = 1
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
	if err := k.file.close(); err != nil { // what a crash does to the lock on the file
		t.Fatal(err)
	}
	k = open(t, path)
	defer k.Close()
	begin(t, k, "written", deduplication.PriorOutcomeUnknown)
	lost := newRequest("lost")
	lost.RetryCount = 1
	if v, _ := k.Begin(lost); v != deduplication.PriorOutcomeUnknown {
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
			k.End(newRequest("one").Key, "idone", deduplication.OutcomeCompleted, "text/plain", []byte("an answer that is easily found"))
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
			retry := newRequest("one")
			retry.RetryCount = 1
			if v, _ := k.Begin(retry); v != deduplication.PriorOutcomeUnknown {
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

// A key is remembered for its whole age, whatever the wall clock says at the next start: its age
// goes by how long the machine has run.
func TestAgeOfKeysIgnoresWallClock(t *testing.T) {
	now, err := bootclock.Now()
	if err != nil {
		t.Fatal(err)
	}
	const hour = time.Hour
	for _, c := range []struct {
		name  string
		since time.Duration // how old the key is by the wall clock, which may have been stepped
		at    bootclock.Moment
		want  time.Duration
	}{
		{"no step", hour, now.Ago(hour), hour},
		{"stepped forward", 100 * hour, now.Ago(hour), hour},
		{"put back", -100 * hour, now.Ago(hour), hour},
		{"the machine was started anew", 100 * hour, bootclock.Moment{BootID: "another", Uptime: 1}, 0},
		{"written by an earlier version", 100 * hour, bootclock.Moment{}, 0},
	} {
		e := deduplication.Entry{Key: newRequest("a").Key, Digest: "d", State: deduplication.StateComplete, Since: time.Now().Add(-c.since)}
		body, err := jsoniter.Marshal(record{Key: recordKey(e.Key), Digest: e.Digest, State: e.State, Since: e.Since, At: c.at})
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeRecord(append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body...), now)
		if err != nil {
			t.Fatal(err)
		}
		if age := time.Since(got.Since); age < c.want || age > c.want+time.Minute {
			t.Errorf("%s: %v old, want %v", c.name, age, c.want)
		}
	}
}

// While the file can't be written no request is run that a process started after a kill would not know
// of; what was begun before is written as soon as it can be.
func TestNoOrdersWhileFileCannotBeWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	k := open(t, path)
	begin(t, k, "before", deduplication.Run)
	if err := k.file.close(); err != nil { // every write fails from now on
		t.Fatal(err)
	}
	if err := k.flush(false); err == nil {
		t.Fatal("written to a closed file")
	}
	begin(t, k, "new", deduplication.CapacityExceeded)
	begin(t, k, "new", deduplication.CapacityExceeded)
	begin(t, k, "before", deduplication.InProgress)
	reopened, _, err := openFile(path, k.bootMoment)
	if err != nil {
		t.Fatal(err)
	}
	k.file = reopened // it can be written again
	if err := k.flush(false); err != nil {
		t.Fatal(err)
	}
	begin(t, k, "new", deduplication.Run)
	if err := k.file.close(); err != nil { // a kill
		t.Fatal(err)
	}
	next := open(t, path)
	defer next.Close()
	begin(t, next, "before", deduplication.PriorOutcomeUnknown)
}

// Whatever byte of the file is damaged, the process starts or names the file, and an order that is
// known to be sent again under a key of the file is not run.
func TestDamageAtAnyByte(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	k := open(t, path)
	begin(t, k, "one", deduplication.Run)
	k.End(newRequest("one").Key, "idone", deduplication.OutcomeCompleted, "text/plain", []byte("an answer"))
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for at := 0; at < len(whole); at += 61 {
		for _, spoil := range []func([]byte) []byte{
			func(b []byte) []byte { b[at] ^= 0xff; return b },
			func(b []byte) []byte { return b[:at] },
		} {
			spoilt := filepath.Join(t.TempDir(), "keys")
			if err := os.WriteFile(spoilt, spoil(append([]byte(nil), whole...)), 0o600); err != nil {
				t.Fatal(err)
			}
			k, err := Open(spoilt, deduplication.DefaultLimits(), slog.New(slog.DiscardHandler))
			if err != nil {
				if !strings.Contains(err.Error(), "idempotency file") {
					t.Errorf("byte %d: %v", at, err)
				}
				continue
			}
			retry := newRequest("one")
			retry.RetryCount = 1
			if v, _ := k.Begin(retry); v == deduplication.Run {
				t.Errorf("byte %d: an order sent again is run", at)
			}
			_ = k.Close()
		}
	}
}
