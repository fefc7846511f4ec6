package idempotency

import (
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"wellgw/decide/deduplication"
	"wellgw/internal/bootclock"
)

// changeMeta changes the metadata of a closed file.
func changeMeta(t *testing.T, path string, change func(meta *bbolt.Bucket) error) {
	t.Helper()
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	if err := db.Update(func(tx *bbolt.Tx) error { return change(tx.Bucket(bucketMeta)) }); err != nil {
		t.Fatal(err)
	}
}

// ageUncertainty changes a closed file as though its uncertainty had begun d earlier.
func ageUncertainty(t *testing.T, path string, d time.Duration) {
	t.Helper()
	changeMeta(t, path, func(meta *bbolt.Bucket) error {
		var began bootclock.Moment
		if err := json.Unmarshal(meta.Get(metaUncertain), &began); err != nil {
			return err
		}
		raw, err := json.Marshal(began.Ago(d))
		if err != nil {
			return err
		}
		return meta.Put(metaUncertain, raw)
	})
}

// testClock is a clock that only the test moves.
type testClock struct {
	wallTime time.Time
	uptime   time.Duration
	bootID   string
}

func newTestClock() *testClock {
	return &testClock{wallTime: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), uptime: time.Hour, bootID: "boot 1"}
}

func (c *testClock) clock() clock {
	return clock{
		wall: func() time.Time { return c.wallTime },
		boot: func() bootclock.Moment { return bootclock.Moment{BootID: c.bootID, Uptime: c.uptime} },
	}
}

// advance lets time pass.
func (c *testClock) advance(d time.Duration) { c.wallTime, c.uptime = c.wallTime.Add(d), c.uptime+d }

func (c *testClock) open(t interface {
	Helper()
	Fatal(...any)
}, path string) *Store {
	t.Helper()
	s, err := openStore(path, deduplication.DefaultLimits(), slog.New(slog.DiscardHandler), c.clock())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Retries under unseen keys are refused for ten minutes after any start at which keys may be missing,
// however often the process is restarted meanwhile. This time used to be known to one process alone, and
// a first start counted as complete.
func TestUncertaintySurvivesRestarts(t *testing.T) {
	restart := func(t *testing.T, c *testClock, s *Store, path string) *Store {
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		return c.open(t, path)
	}
	kill := func(t *testing.T, c *testClock, s *Store, path string) *Store {
		if err := s.file.close(); err != nil { // no mark of a clean end
			t.Fatal(err)
		}
		return c.open(t, path)
	}
	// complete returns a store of whose file no key can be missing.
	complete := func(t *testing.T, c *testClock, path string) *Store {
		s := c.open(t, path)
		c.advance(10 * time.Minute)
		return restart(t, c, s, path)
	}
	for name, c := range map[string]struct {
		prepare func(t *testing.T, c *testClock, path string) *Store
		certain bool
	}{
		"first start":                    {func(t *testing.T, c *testClock, path string) *Store { return c.open(t, path) }, false},
		"no file configured":             {func(t *testing.T, c *testClock, _ string) *Store { return c.open(t, "") }, false},
		"clean end of a complete file":   {complete, true},
		"several ends of a complete one": {func(t *testing.T, c *testClock, path string) *Store { return restart(t, c, complete(t, c, path), path) }, true},
		"kill":                           {func(t *testing.T, c *testClock, path string) *Store { return kill(t, c, complete(t, c, path), path) }, false},
		"kill, clean end": {func(t *testing.T, c *testClock, path string) *Store {
			return restart(t, c, kill(t, c, complete(t, c, path), path), path)
		}, false},
		"first start, two clean ends within 9 minutes": {func(t *testing.T, c *testClock, path string) *Store {
			s := c.open(t, path)
			for range 2 {
				c.advance(4 * time.Minute)
				s = restart(t, c, s, path)
			}
			return s
		}, false},
		"first start, clean ends for 12 minutes": {func(t *testing.T, c *testClock, path string) *Store {
			s := c.open(t, path)
			for range 3 {
				c.advance(4 * time.Minute)
				s = restart(t, c, s, path)
			}
			return s
		}, true},
		"wall clock set forward": {func(t *testing.T, c *testClock, path string) *Store {
			s := c.open(t, path)
			c.wallTime = c.wallTime.Add(24 * time.Hour)
			_ = s.file.write(nil, s.clock.now(), &closing{}) // a process that sees no step in its monotonic clock
			_ = s.file.close()
			return c.open(t, path)
		}, false},
		"reboot while uncertain": {func(t *testing.T, c *testClock, path string) *Store {
			s := c.open(t, path)
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			c.bootID, c.uptime = "boot 2", 2*time.Hour
			return c.open(t, path)
		}, false},
		"reboot of a complete file": {func(t *testing.T, c *testClock, path string) *Store {
			s := c.open(t, path)
			c.advance(time.Hour)
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			c.bootID, c.uptime = "boot 2", time.Minute
			return c.open(t, path)
		}, true},
		"complete file without its mark": {func(t *testing.T, c *testClock, path string) *Store {
			if err := complete(t, c, path).Close(); err != nil {
				t.Fatal(err)
			}
			changeMeta(t, path, func(meta *bbolt.Bucket) error { return meta.Delete(metaUncertain) })
			return c.open(t, path)
		}, false},
		"file removed": {func(t *testing.T, c *testClock, path string) *Store {
			if err := complete(t, c, path).Close(); err != nil {
				t.Fatal(err)
			}
			if err := os.Remove(path); err != nil {
				t.Fatal(err)
			}
			return c.open(t, path)
		}, false},
		"file damaged, clean end": {func(t *testing.T, c *testClock, path string) *Store {
			if err := complete(t, c, path).Close(); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, []byte("x"), fileMode); err != nil {
				t.Fatal(err)
			}
			return restart(t, c, c.open(t, path), path)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			clock := newTestClock()
			s := c.prepare(t, clock, filepath.Join(t.TempDir(), "keys"))
			defer s.Close()
			want := deduplication.PriorOutcomeUnknown
			if c.certain {
				want = deduplication.Run
			}
			retry := newRequest("unseen")
			retry.RetryCount = 1
			if decision, _ := s.Begin(retry); decision != want {
				t.Errorf("a retry under an unseen key: %v, want %v", decision, want)
			}
			clock.advance(10 * time.Minute)
			later := newRequest("unseen, later")
			later.RetryCount = 1
			if decision, _ := s.Begin(later); decision != deduplication.Run {
				t.Errorf("a retry under an unseen key ten minutes later: %v, want Run", decision)
			}
		})
	}
}
