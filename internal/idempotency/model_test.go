package idempotency

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wellgw/decide/deduplication"
)

// modelOrder is an order and its client, which counts its attempts and stops once it has a final answer.
type modelOrder struct {
	attempts int    // by the client
	ran      bool   // an attempt was sent to an engine
	running  string // id of the request in progress; "" if there is none
}

// keyModel drives a store and its file by drawn steps, and checks that no order runs twice.
type keyModel struct {
	t      *rapid.T
	clock  *testClock
	path   string
	store  *Store
	orders map[string]*modelOrder
	lost   bool // the file was lost at some time, so that only marked retries are safe
	number int
}

// attempt makes a client's attempt at an order. The process may be killed before the order leaves.
func (m *keyModel) attempt(name string, killedBeforeSending bool) {
	o := m.orders[name]
	if o == nil {
		o = &modelOrder{}
		m.orders[name] = o
	}
	m.number++
	request := newRequest(name)
	request.RequestID, request.RetryCount = fmt.Sprint("id", m.number), o.attempts
	if !m.lost && rapid.Bool().Draw(m.t, "retry count missing") {
		request.RetryCount = 0
	}
	o.attempts++
	decision, _ := m.store.Begin(request)
	if decision != deduplication.Run {
		return
	}
	if killedBeforeSending {
		m.kill()
		return
	}
	if o.ran {
		m.t.Fatalf("order %s runs a second time", name)
	}
	o.ran, o.running = true, request.RequestID
}

// end ends the request in progress of an order.
func (m *keyModel) end(name string, outcome deduplication.Outcome) {
	o := m.orders[name]
	if o == nil || o.running == "" {
		return
	}
	m.store.End(newRequest(name).Key, o.running, outcome, "text/plain", []byte("answer"))
	o.running = ""
	if outcome == deduplication.OutcomeNotRun {
		o.ran = false
	}
}

// processEnded records that the requests in progress were cut off.
func (m *keyModel) processEnded() {
	for _, o := range m.orders {
		o.running = ""
	}
}

// kill ends the process without a last write and starts another one.
func (m *keyModel) kill() {
	if m.store.file != nil {
		m.store.writing.Lock() // a write is either on disk or not begun: bbolt commits it as one
		if err := m.store.file.close(); err != nil {
			m.t.Fatal(err)
		}
		m.store.writing.Unlock()
	}
	m.processEnded()
	m.store = m.clock.open(m.t, m.path)
}

// restart ends the process cleanly and starts another one, with the file at path.
func (m *keyModel) restart(path string) {
	if err := m.store.Close(); err != nil {
		m.t.Fatal(err)
	}
	m.processEnded()
	m.lost = m.lost || m.path == "" || path != m.path
	m.path = path
	m.store = m.clock.open(m.t, path)
}

// loseFile ends the process, removes or damages its file and starts another process.
func (m *keyModel) loseFile(damaged bool) {
	if err := m.store.Close(); err != nil {
		m.t.Fatal(err)
	}
	m.processEnded()
	m.lost = true
	if damaged && m.path != "" {
		if err := os.WriteFile(m.path, []byte("damaged"), fileMode); err != nil {
			m.t.Fatal(err)
		}
	} else {
		_ = os.Remove(m.path)
	}
	m.store = m.clock.open(m.t, m.path)
}

// For any sequence of attempts, kills, restarts, losses of the file and steps of the wall clock within the
// ten minutes in which keys are remembered: no order runs twice. While the file was never lost, this also
// holds for retries that their clients don't count.
func TestNoOrderRunsTwiceOverRestarts(t *testing.T) {
	base := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		dir := filepath.Join(base, fmt.Sprint(run))
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		paths := []string{filepath.Join(dir, "keys"), filepath.Join(dir, "other"), ""}
		m := &keyModel{t: t, clock: newTestClock(), path: paths[0], orders: map[string]*modelOrder{}}
		m.store = m.clock.open(t, m.path)
		defer func() { _ = m.store.Close() }()
		remaining := 9 * time.Minute // of the time in which the client retries
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "order")
			switch rapid.IntRange(0, 12).Draw(t, "operation") {
			case 0, 1, 2, 3:
				m.attempt(name, false)
			case 4:
				m.attempt(name, true)
			case 5, 6:
				m.end(name, rapid.SampledFrom([]deduplication.Outcome{deduplication.OutcomeNotRun, deduplication.OutcomeCompleted, deduplication.OutcomeIndeterminate}).Draw(t, "outcome"))
			case 7:
				if err := m.store.flush(); err != nil {
					t.Fatal(err)
				}
			case 8:
				m.kill()
			case 9:
				m.restart(m.path)
			case 10:
				m.restart(rapid.SampledFrom(paths).Draw(t, "path"))
			case 11:
				m.loseFile(rapid.Bool().Draw(t, "damaged"))
			default:
				m.clock.wallTime = m.clock.wallTime.Add(-time.Duration(rapid.IntRange(0, 7200).Draw(t, "seconds back")) * time.Second)
			}
			pause := min(remaining, time.Duration(rapid.IntRange(0, 90).Draw(t, "pause"))*time.Second)
			remaining -= pause
			m.clock.advance(pause)
		}
	})
}
