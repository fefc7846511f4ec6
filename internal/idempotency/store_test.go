package idempotency

import (
	"encoding/binary"
	"fmt"
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
	s, err := Open(path, deduplication.DefaultLimits(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newRequest(name string) deduplication.Request {
	return deduplication.Request{Key: deduplication.Key{Team: "a", Name: name}, Digest: "d", RequestID: "id" + name}
}

func begin(t *testing.T, s *Store, name string, want deduplication.Decision) deduplication.Entry {
	t.Helper()
	decision, e := s.Begin(newRequest(name))
	if decision != want {
		t.Errorf("%s: %v, want %v", name, decision, want)
	}
	return e
}

func TestRestartKeepsKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	s := open(t, path)
	for _, name := range []string{"completed", "indeterminate", "refused", "running"} {
		begin(t, s, name, deduplication.Run)
	}
	s.End(newRequest("completed").Key, "idcompleted", deduplication.OutcomeCompleted, "text/event-stream", []byte("data: x\n\n"))
	s.End(newRequest("indeterminate").Key, "idindeterminate", deduplication.OutcomeIndeterminate, "", nil)
	s.End(newRequest("refused").Key, "idrefused", deduplication.OutcomeNotRun, "", nil)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	ageUncertainty(t, path, deduplication.DefaultLimits().UncertaintyPeriod)
	s = open(t, path)
	defer s.Close()
	if e := begin(t, s, "completed", deduplication.Replay); string(e.Answer) != "data: x\n\n" || e.ContentType != "text/event-stream" || e.RequestID != "idcompleted" {
		t.Errorf("%+v", e)
	}
	begin(t, s, "indeterminate", deduplication.PriorOutcomeUnknown)
	begin(t, s, "running", deduplication.PriorOutcomeUnknown)
	begin(t, s, "refused", deduplication.Run)
	retry := newRequest("unseen")
	retry.RetryCount = 1
	if decision, _ := s.Begin(retry); decision != deduplication.Run {
		t.Errorf("retry after a clean restart: %v, want Run", decision)
	}
}

// A process that ends without closing the file may have lost keys, so a retry under an unseen key is not
// run.
func TestCrashIsDetected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	s := open(t, path)
	begin(t, s, "written", deduplication.Run)
	if err := s.flush(); err != nil {
		t.Fatal(err)
	}
	begin(t, s, "lost", deduplication.Run)
	if err := s.file.close(); err != nil { // releases the file lock without the clean mark, as a crash does
		t.Fatal(err)
	}
	s = open(t, path)
	defer s.Close()
	begin(t, s, "written", deduplication.PriorOutcomeUnknown)
	for _, name := range []string{"lost", "unseen"} {
		retry := newRequest(name)
		retry.RetryCount = 1
		if decision, _ := s.Begin(retry); decision != deduplication.PriorOutcomeUnknown {
			t.Errorf("retry under the key %s: %v, want PriorOutcomeUnknown", name, decision)
		}
	}
	begin(t, s, "new", deduplication.Run)
}

func TestDamagedFileIsRenamed(t *testing.T) {
	for name, damage := range map[string]func([]byte) []byte{
		"truncated":      func(b []byte) []byte { return b[:len(b)/4] },
		"one byte":       func([]byte) []byte { return []byte("x") },
		"zeros":          func([]byte) []byte { return []byte(string(make([]byte, 16<<10))) },
		"damaged record": func(b []byte) []byte { return damageRecord(b) },
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "keys")
			s := open(t, path)
			begin(t, s, "one", deduplication.Run)
			s.End(newRequest("one").Key, "idone", deduplication.OutcomeCompleted, "text/plain", []byte("an answer that is easily found"))
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			raw, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, damage(raw), 0o600); err != nil {
				t.Fatal(err)
			}
			s = open(t, path)
			defer s.Close()
			retry := newRequest("one")
			retry.RetryCount = 1
			if decision, _ := s.Begin(retry); decision != deduplication.PriorOutcomeUnknown {
				t.Errorf("retry after the file was damaged: %v, want PriorOutcomeUnknown", decision)
			}
			if renamed, _ := filepath.Glob(path + ".damaged-*"); len(renamed) != 1 {
				t.Errorf("renamed files: %v, want one", renamed)
			}
		})
	}
}

// damageRecord changes a byte in each copy of the record in the database file.
func damageRecord(b []byte) []byte {
	const mark = `"idone"`
	for i := 0; i+len(mark) < len(b); i++ {
		if string(b[i:i+len(mark)]) == mark {
			b[i+2] = 'X'
		}
	}
	return b
}

// A key is stored for its full retention even if the wall clock is stepped before the next start, since
// its age is measured by the boot clock.
func TestAgeOfKeysIgnoresWallClock(t *testing.T) {
	now, err := bootclock.Now()
	if err != nil {
		t.Fatal(err)
	}
	const hour = time.Hour
	for _, c := range []struct {
		name  string
		since time.Duration // age of the key by the wall clock, which may have been stepped
		at    bootclock.Moment
		want  time.Duration
	}{
		{"no step", hour, now.Ago(hour), hour},
		{"stepped forward", 100 * hour, now.Ago(hour), hour},
		{"stepped back", -100 * hour, now.Ago(hour), hour},
		{"machine rebooted", 100 * hour, bootclock.Moment{BootID: "another", Uptime: 1}, 0},
		{"written by an earlier version", 100 * hour, bootclock.Moment{}, 0},
	} {
		e := deduplication.Entry{Key: newRequest("a").Key, Digest: "d", State: deduplication.StateComplete, Since: time.Now().Add(-c.since)}
		body, err := jsoniter.Marshal(record{Key: recordKey(e.Key), Digest: e.Digest, State: e.State, Since: e.Since, At: c.at})
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeRecord(append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body...), instant{time.Now(), now})
		if err != nil {
			t.Fatal(err)
		}
		if age := time.Since(got.Since); age < c.want || age > c.want+time.Minute {
			t.Errorf("%s: age %v, want %v", c.name, age, c.want)
		}
	}
}

// While writing the file fails, requests under new keys are refused, since a process that starts after a
// kill would not find these keys. Changes made before the failure are written once writing works again.
func TestNewKeysAreRefusedWhileWritesFail(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	s := open(t, path)
	begin(t, s, "before", deduplication.Run)
	begin(t, s, "completed", deduplication.Run)
	if err := s.file.close(); err != nil { // makes every write fail
		t.Fatal(err)
	}
	s.End(newRequest("completed").Key, "idcompleted", deduplication.OutcomeCompleted, "text/plain", []byte("x"))
	begin(t, s, "new", deduplication.CapacityExceeded) // its own write fails
	if err := s.flush(); err == nil {
		t.Fatal("flush to a closed file succeeded")
	}
	begin(t, s, "new", deduplication.CapacityExceeded)
	begin(t, s, "new", deduplication.CapacityExceeded)
	begin(t, s, "before", deduplication.InProgress)
	reopened, _, err := openFile(path, s.clock, s.limits.UncertaintyPeriod)
	if err != nil {
		t.Fatal(err)
	}
	s.file = reopened // makes writes succeed again
	if err := s.flush(); err != nil {
		t.Fatal(err)
	}
	begin(t, s, "new", deduplication.Run)
	if err := s.file.close(); err != nil { // simulates a kill
		t.Fatal(err)
	}
	next := open(t, path)
	defer next.Close()
	begin(t, next, "before", deduplication.PriorOutcomeUnknown)
	begin(t, next, "completed", deduplication.Replay)
	begin(t, next, "new", deduplication.PriorOutcomeUnknown)
}

// With damage anywhere in the file, Open either succeeds or returns an error that names the idempotency
// file, and a retry under a key of the file is not run. The bytes at the beginning of each page and every
// 61st of the others are tested. Damage to sizes and references used to end the process.
func TestDamageAtAnyByte(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	s := open(t, path)
	begin(t, s, "one", deduplication.Run)
	s.End(newRequest("one").Key, "idone", deduplication.OutcomeCompleted, "text/plain", []byte("an answer"))
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	const headBytes = 64 // the header of a page and of its first elements
	for at := 0; at < len(intact); at++ {
		if at%os.Getpagesize() >= headBytes && at%61 != 0 {
			continue
		}
		for _, damage := range []func([]byte) []byte{
			func(b []byte) []byte { b[at] ^= 0xff; return b },
			func(b []byte) []byte { return b[:at] },
		} {
			damagedPath := filepath.Join(t.TempDir(), "keys")
			if err := os.WriteFile(damagedPath, damage(append([]byte(nil), intact...)), 0o600); err != nil {
				t.Fatal(err)
			}
			s, err := Open(damagedPath, deduplication.DefaultLimits(), slog.New(slog.DiscardHandler))
			if err != nil {
				if !strings.Contains(err.Error(), "idempotency file") {
					t.Errorf("byte %d: %v", at, err)
				}
				continue
			}
			retry := newRequest("one")
			retry.RetryCount = 1
			if decision, _ := s.Begin(retry); decision == deduplication.Run {
				t.Errorf("byte %d: a retry was run", at)
			}
			_ = s.Close()
		}
	}
}

// Damage to the sizes and references in the pages of a large file neither ends the process nor loses keys:
// either all keys are read, or the file is renamed.
func TestDamageToPagesOfManyKeys(t *testing.T) {
	const keys, everyPage = 400, 5
	path := filepath.Join(t.TempDir(), "keys")
	s := open(t, path)
	for i := range keys {
		name := fmt.Sprint("key number ", i)
		begin(t, s, name, deduplication.Run)
		s.End(newRequest(name).Key, "id"+name, deduplication.OutcomeCompleted, "text/plain", []byte("an answer"))
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	renamed := 0
	for page := 0; page < len(intact); page += everyPage * os.Getpagesize() {
		for _, offset := range []int{0, 8, 10, 14, 17, 21, 25, 30} { // of the header, and of the first element
			damagedPath := filepath.Join(t.TempDir(), "keys")
			damaged := append([]byte(nil), intact...)
			damaged[page+offset] ^= 0xff
			if err := os.WriteFile(damagedPath, damaged, 0o600); err != nil {
				t.Fatal(err)
			}
			s := open(t, damagedPath)
			if found, _ := s.Counts(); found == 0 {
				renamed++
			} else if found != keys {
				t.Errorf("page at %d, byte %d: %d keys of %d were read", page, offset, found, keys)
			}
			_ = s.Close()
		}
	}
	if renamed == 0 {
		t.Error("no damage was noticed")
	}
}
