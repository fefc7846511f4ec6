// Package idempotency stores the idempotency keys of requests. If a file is configured, they are also
// stored on disk, so that they survive a restart. decide/deduplication decides whether a request under a
// key is run; Store makes its table safe for concurrent use and writes it to disk.
//
// The file is a bbolt database (file.go). A request under a new key is run only once its record is on
// disk; records that arrive during a write are written together in the next one (commit.go). Other changes
// are written every FlushInterval. The file records whether it was closed cleanly and from when on keys may
// be missing: decide/deduplication refuses retries under unseen keys for a while after a start that may have
// lost some. Each record has a checksum (record.go). A damaged file is renamed, and a new one is created.
package idempotency

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"wellgw/decide/deduplication"
	"wellgw/internal/bootclock"
)

const (
	// FlushInterval is how often changes are written to the file for which no request waits.
	FlushInterval = 50 * time.Millisecond
	// expireInterval is how often keys past their retention are removed.
	expireInterval = time.Minute
)

// Store is a deduplication.Table that is safe for concurrent use and persisted to disk.
type Store struct {
	log    *slog.Logger
	limits deduplication.Limits
	clock  clock

	// writing is held during a write, so that changes reach the file in order. It is locked before mu.
	writing sync.Mutex

	mu           sync.Mutex
	table        *deduplication.Table
	pending      changes // changes since the last write
	batch        *batch  // the requests that wait for pending to be written; nil if none does
	committing   bool    // commitBatches runs
	file         *file   // nil if none is configured, and after Close
	writeFailing bool    // the last write failed
}

// Open returns a store with the content of the file at path; with an empty path nothing is stored on
// disk. A damaged file is renamed, and the error is logged. Open returns an error for invalid limits and
// for a file that can't be opened.
func Open(path string, l deduplication.Limits, log *slog.Logger) (*Store, error) {
	return openStore(path, l, log, clock{wall: time.Now, boot: func() bootclock.Moment { return bootMoment(log) }})
}

func openStore(path string, l deduplication.Limits, log *slog.Logger, c clock) (*Store, error) {
	table, err := deduplication.NewTable(l)
	if err != nil {
		return nil, err
	}
	s := &Store{log: log, limits: l, clock: c, table: table, pending: changes{}}
	if path == "" {
		table.Restore(c.wall(), nil, l.UncertaintyPeriod) // the keys of an earlier process are lost
		return s, nil
	}
	stored, err := s.openFile(path)
	if err != nil {
		return nil, fmt.Errorf("idempotency file: %w", err)
	}
	table.Restore(c.wall(), stored.entries, stored.uncertainty)
	log.Info("idempotency keys loaded", "file", path, "keys", len(stored.entries), "clean", stored.clean,
		"refusing unseen retries for", stored.uncertainty.Round(time.Second).String())
	return s, nil
}

// openFile opens the file at path, or a new one in place of a damaged one.
func (s *Store) openFile(path string) (stored content, err error) {
	s.file, stored, err = openFile(path, s.clock, s.limits.UncertaintyPeriod)
	if errors.Is(err, errDamaged) {
		renamed := fmt.Sprintf("%s.damaged-%d", path, time.Now().Unix())
		if renameErr := os.Rename(path, renamed); renameErr != nil {
			return content{}, errors.Join(err, renameErr)
		}
		s.log.Error("idempotency file damaged and renamed, refusing retries under unseen keys for a while", "file", renamed, "cause", err)
		s.file, stored, err = openFile(path, s.clock, s.limits.UncertaintyPeriod)
	}
	return stored, err
}

// Begin decides whether to run a request; see deduplication.Table. After deduplication.Run, the caller
// must call End. With a file, that decision is returned once the request's record is on disk, so that a
// process that starts after a kill finds it. If it can't be written, the request is not run.
func (s *Store) Begin(r deduplication.Request) (deduplication.Decision, deduplication.Entry) {
	decision, e, waiting := s.begin(r)
	if decision != deduplication.Run || waiting == nil || waiting.wait() == nil {
		return decision, e
	}
	return s.refuse(r)
}

// begin is Begin without the wait for the disk: it returns the batch of the request's record, nil if there
// is no file.
func (s *Store) begin(r deduplication.Request) (deduplication.Decision, deduplication.Entry, *batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision, e := s.table.Begin(s.clock.wall(), r)
	s.trackRemoved()
	if decision != deduplication.Run || s.file == nil {
		return decision, e, nil
	}
	if s.writeFailing {
		decision, e = s.refuseLocked(r)
		return decision, e, nil
	}
	s.trackChanged(e)
	return decision, e, s.joinBatch()
}

// refuse withdraws a request that Begin would have run.
func (s *Store) refuse(r deduplication.Request) (deduplication.Decision, deduplication.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuseLocked(r)
}

// refuseLocked is refuse with s.mu held.
func (s *Store) refuseLocked(r deduplication.Request) (deduplication.Decision, deduplication.Entry) {
	s.table.End(s.clock.wall(), r.Key, r.RequestID, deduplication.OutcomeNotRun, "", nil)
	s.trackRemoved()
	return deduplication.CapacityExceeded, deduplication.Entry{Key: r.Key}
}

// End records the outcome of a request that Begin decided to run; see deduplication.Table.
func (s *Store) End(key deduplication.Key, requestID string, outcome deduplication.Outcome, contentType string, answer []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, stored := s.table.End(s.clock.wall(), key, requestID, outcome, contentType, answer)
	s.trackRemoved()
	if stored {
		s.trackChanged(e)
	}
}

// RecordRefusal records that an attempt under a key was refused and did not run.
func (s *Store) RecordRefusal(key deduplication.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordRefusal(s.clock.wall(), key)
}

// MaxAnswerBytes returns the maximum size of an answer that is stored.
func (s *Store) MaxAnswerBytes() int { return s.limits.MaxAnswerBytes }

// Counts returns the number of stored keys and the total size of their answers.
func (s *Store) Counts() (keys int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Counts()
}

// trackRemoved adds the keys that the table has removed to the pending changes. It must be called before
// trackChanged, so that a removed key that was added again is not deleted. s.mu must be held.
func (s *Store) trackRemoved() {
	removed := s.table.PopRemoved()
	if s.file == nil {
		return
	}
	for _, key := range removed {
		s.pending[key] = nil
	}
}

// trackChanged adds an entry to the pending changes. s.mu must be held.
func (s *Store) trackChanged(e deduplication.Entry) {
	if s.file != nil {
		s.pending[e.Key] = &e
	}
}

// Run writes changes and removes keys past their retention until ctx is done; then it closes the file
// cleanly. Begin must not be called after that.
func (s *Store) Run(ctx context.Context) {
	flush, expire := time.NewTicker(FlushInterval), time.NewTicker(expireInterval)
	defer flush.Stop()
	defer expire.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			if err := s.Close(); err != nil {
				s.log.Error("idempotency file close failed", "cause", err)
			}
			return
		case <-flush.C:
			failing = s.flushAndLog(failing)
		case <-expire.C:
			s.expire()
		}
	}
}

// flushAndLog flushes changes and reports whether that failed. It logs the first failure and the
// recovery.
func (s *Store) flushAndLog(wasFailing bool) (failing bool) {
	err := s.flush()
	if err != nil && !wasFailing {
		s.log.Error("idempotency file write failed, refusing requests under new keys", "cause", err)
	}
	if err == nil && wasFailing {
		s.log.Info("idempotency file write recovered")
	}
	return err != nil
}

func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(s.clock.wall())
	s.trackRemoved()
}

// bootMoment returns the current moment, or the zero value, with which ages are unknown.
func bootMoment(log *slog.Logger) bootclock.Moment {
	m, err := bootclock.Now()
	if err != nil {
		log.Warn("boot clock unavailable, keeping idempotency keys for longer", "cause", err)
	}
	return m
}
