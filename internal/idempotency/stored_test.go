package idempotency

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	gocmp "github.com/google/go-cmp/cmp"
	"go.etcd.io/bbolt"

	"wellgw/decide/deduplication"
	"wellgw/internal/bootclock"
)

// storedEntries are the entries of both files in testdata, without their times. The files were written
// before identifiers in the code were renamed: keys-closed.db by a process that was shut down cleanly,
// keys-killed.db by one that was killed. Each process had requests with every outcome.
var storedEntries = []deduplication.Entry{
	{Key: deduplication.Key{Team: "b", Name: "whole"}, Digest: "d", State: 1, RequestID: "2-whole", ContentType: "application/json", Answer: []byte(`{"a":1}`)},
	{Key: deduplication.Key{Team: "team a", Name: "broken"}, Digest: "digest of broken", State: 2, RequestID: "1-broken"},
	{Key: deduplication.Key{Team: "team a", Name: "kept not"}, Digest: "digest of kept not", State: 1, RequestID: "1-kept not", ContentType: "application/json"},
	{Key: deduplication.Key{Team: "team a", Name: "running"}, Digest: "digest of running", State: 0, RequestID: "1-running"},
	{Key: deduplication.Key{Team: "team a", Name: "whole"}, Digest: "digest of whole", State: 1, RequestID: "1-whole", ContentType: "text/event-stream", Answer: []byte("data: x\n\n\x00\xff")},
}

// storedCopy copies a file of testdata, since opening a file marks it as in use.
func storedCopy(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// unlimitedAge returns limits with which no key of testdata exceeds its retention on any machine.
func unlimitedAge() deduplication.Limits {
	l := deduplication.DefaultLimits()
	l.Retention = 1 << 62
	return l
}

func TestStoredKeysAreRead(t *testing.T) {
	const period = time.Minute
	for _, file := range []string{"keys-closed.db", "keys-killed.db"} {
		t.Run(file, func(t *testing.T) {
			f, stored, err := openFile(storedCopy(t, file), open(t, "").clock, period)
			if err != nil {
				t.Fatal(err)
			}
			defer f.close()
			if stored.clean || stored.uncertainty != period {
				t.Errorf("clean %v, uncertain for %v: no file of that version proves that it has all keys", stored.clean, stored.uncertainty)
			}
			entries := stored.entries
			for i := range entries {
				if entries[i].Since.IsZero() || entries[i].Since.After(time.Now()) {
					t.Errorf("%v since %v", entries[i].Key, entries[i].Since)
				}
				entries[i].Since = time.Time{}
			}
			if diff := gocmp.Diff(storedEntries, entries); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

func TestStoredKeysAreInForce(t *testing.T) {
	for _, file := range []string{"keys-closed.db", "keys-killed.db"} {
		t.Run(file, func(t *testing.T) {
			s, err := Open(storedCopy(t, file), unlimitedAge(), slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if keys, bytes := s.Counts(); keys != 5 || bytes != 18 {
				t.Errorf("%d keys, %d bytes", keys, bytes)
			}
			for _, c := range []struct {
				team, name, digest      string
				retry                   int
				want                    deduplication.Decision
				contentType, answer, id string
			}{
				{"b", "whole", "d", 0, deduplication.Replay, "application/json", `{"a":1}`, "2-whole"},
				{"team a", "whole", "digest of whole", 0, deduplication.Replay, "text/event-stream", "data: x\n\n\x00\xff", "1-whole"},
				{"team a", "whole", "d", 0, deduplication.KeyReused, "text/event-stream", "data: x\n\n\x00\xff", "1-whole"},
				{"team a", "kept not", "digest of kept not", 0, deduplication.AnswerUnavailable, "application/json", "", "1-kept not"},
				{"team a", "broken", "digest of broken", 0, deduplication.PriorOutcomeUnknown, "", "", "1-broken"},
				{"team a", "running", "digest of running", 0, deduplication.PriorOutcomeUnknown, "", "", "1-running"},
				{"team a", "unseen", "d", 1, deduplication.PriorOutcomeUnknown, "", "", ""},
				{"team a", "refused", "d", 0, deduplication.Run, "", "", "3-refused"},
			} {
				req := deduplication.Request{Key: deduplication.Key{Team: c.team, Name: c.name}, Digest: c.digest, RequestID: "3-" + c.name, RetryCount: c.retry}
				decision, e := s.Begin(req)
				if decision != c.want {
					t.Errorf("%s %s: %v, want %v", c.team, c.name, decision, c.want)
				}
				if c.name != "unseen" && (e.ContentType != c.contentType || string(e.Answer) != c.answer || e.RequestID != c.id) {
					t.Errorf("%s %s: %+v", c.team, c.name, e)
				}
			}
		})
	}
}

// storedRecord is the JSON of a record, as the documented file format describes it. In the database, an
// eight-byte checksum precedes the JSON.
type storedRecord struct {
	Key    struct{ Team, Name string }
	Digest string
	State  uint8
	Since  time.Time
	ID     string
	Type   string
	Answer []byte
	At     struct {
		Boot string
		Up   int64
	}
}

// readStored reads the metadata of a file and its records by key, without using code of this package.
func readStored(t *testing.T, path string) (meta map[string]string, records map[string]storedRecord) {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	meta, records = map[string]string{}, map[string]storedRecord{}
	err = db.View(func(tx *bbolt.Tx) error {
		if err := tx.Bucket([]byte("meta")).ForEach(func(name, value []byte) error {
			meta[string(name)] = string(value)
			return nil
		}); err != nil {
			return err
		}
		return tx.Bucket([]byte("keys")).ForEach(func(name, raw []byte) error {
			if binary.BigEndian.Uint64(raw) != xxhash.Sum64(raw[8:]) {
				t.Errorf("%q: wrong checksum", name)
			}
			decoder := json.NewDecoder(strings.NewReader(string(raw[8:])))
			decoder.DisallowUnknownFields()
			var r storedRecord
			if err := decoder.Decode(&r); err != nil {
				return err
			}
			records[string(name)] = r
			return nil
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return meta, records
}

// checkRecords compares records with the entries in want, without their times.
func checkRecords(t *testing.T, records map[string]storedRecord, want []deduplication.Entry) {
	t.Helper()
	var got []deduplication.Entry
	for name, r := range records {
		if name != r.Key.Team+"\x00"+r.Key.Name {
			t.Errorf("database key %q has the record of %+v", name, r.Key)
		}
		if r.Since.IsZero() {
			t.Errorf("%q has no time", name)
		}
		got = append(got, deduplication.Entry{
			Key: deduplication.Key{Team: r.Key.Team, Name: r.Key.Name}, Digest: r.Digest, State: deduplication.State(r.State),
			RequestID: r.ID, ContentType: r.Type, Answer: r.Answer,
		})
	}
	slices.SortFunc(got, func(a, b deduplication.Entry) int {
		return cmp.Or(cmp.Compare(a.Key.Team, b.Key.Team), cmp.Compare(a.Key.Name, b.Key.Name))
	})
	if diff := gocmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// checkUncertain checks the stored moment from which keys may be missing, which is a moment ago.
func checkUncertain(t *testing.T, text string) {
	t.Helper()
	var began struct {
		Boot string
		Up   int64
	}
	if err := json.Unmarshal([]byte(text), &began); err != nil {
		t.Fatal(err)
	}
	if now, err := bootclock.Now(); err == nil && (began.Boot != now.BootID || began.Up <= 0 || began.Up > int64(now.Uptime)) {
		t.Errorf("uncertain since %+v, now %+v", began, now)
	}
}

// TestFileFormat writes the entries of testdata to a new file and checks both files against the documented
// format.
func TestFileFormat(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	l := deduplication.DefaultLimits()
	l.MaxAnswerBytes = 64
	s, err := Open(path, l, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range storedEntries {
		s.Begin(deduplication.Request{Key: e.Key, Digest: e.Digest, RequestID: e.RequestID})
		switch answer := e.Answer; e.State {
		case deduplication.StateComplete:
			if answer == nil {
				answer = make([]byte, l.MaxAnswerBytes+1)
			}
			s.End(e.Key, e.RequestID, deduplication.OutcomeCompleted, e.ContentType, answer)
		case deduplication.StateUnknown:
			s.End(e.Key, e.RequestID, deduplication.OutcomeIndeterminate, "", nil)
		}
	}
	refused := deduplication.Key{Team: "team a", Name: "refused"}
	s.Begin(deduplication.Request{Key: refused, Digest: "d", RequestID: "r"})
	s.End(refused, "r", deduplication.OutcomeNotRun, "", nil)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	for name, path := range map[string]string{"new": path, "stored": storedCopy(t, "keys-closed.db")} {
		t.Run(name, func(t *testing.T) {
			meta, records := readStored(t, path)
			want := map[string]string{"format": "1", "clean": "yes"}
			if name == "new" {
				want = map[string]string{"format": "1", "clean": "write-ahead", "uncertain": meta["uncertain"]}
				checkUncertain(t, meta["uncertain"])
			}
			if diff := gocmp.Diff(want, meta); diff != "" {
				t.Errorf("metadata (-want +got):\n%s", diff)
			}
			checkRecords(t, records, storedEntries)
			if now, err := bootclock.Now(); err == nil && name == "new" {
				for key, r := range records {
					if r.At.Boot != now.BootID || r.At.Up <= 0 || r.At.Up > int64(now.Uptime) {
						t.Errorf("%q: moment %+v, now %+v", key, r.At, now)
					}
				}
			}
		})
	}
	t.Run("killed", func(t *testing.T) {
		meta, records := readStored(t, storedCopy(t, "keys-killed.db"))
		if len(meta) != 1 || meta["format"] != "1" {
			t.Errorf("metadata %q", meta)
		}
		checkRecords(t, records, storedEntries)
	})
}

// TestStoredAge checks that the age of a record is calculated from the stored boot clock moment.
func TestStoredAge(t *testing.T) {
	body := `{"Key":{"Team":"a","Name":"k"},"Digest":"d","State":1,"Since":"2026-01-02T03:04:05Z","ID":"i","Type":"t","Answer":"eA==","At":{"Boot":"b","Up":1000000000}}`
	raw := append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(body)), body...)
	for _, c := range []struct {
		name string
		now  bootclock.Moment
		want time.Duration
	}{
		{"an hour later", bootclock.Moment{BootID: "b", Uptime: time.Hour + time.Second}, time.Hour},
		{"after a reboot", bootclock.Moment{BootID: "c", Uptime: time.Hour}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, err := decodeRecord(raw, instant{time.Now(), c.now})
			if err != nil {
				t.Fatal(err)
			}
			if age := time.Since(e.Since); age < c.want || age > c.want+time.Minute {
				t.Errorf("age %v, want %v", age, c.want)
			}
			e.Since = time.Time{}
			want := deduplication.Entry{Key: deduplication.Key{Team: "a", Name: "k"}, Digest: "d", State: 1, RequestID: "i", ContentType: "t", Answer: []byte("x")}
			if diff := gocmp.Diff(want, e); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
