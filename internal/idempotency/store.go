// Package idempotency keeps the idempotency keys of requests, on disk as well where a file is set, so
// that they outlive a restart. decide/deduplication decides what becomes of a request under a key;
// Store makes its table safe for concurrent use and writes it to disk.
//
// The file is a bbolt database (file.go). Changes are written every FlushInterval, in one transaction.
// The file records whether it was closed in good order: after a crash the changes of the last moment may
// be missing, and decide/deduplication does not trust unseen keys for a while. Each record carries a
// checksum (record.go). A file that can't be read is renamed, and a new one begun.
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
	// FlushInterval is how often changes are written to the file.
	FlushInterval = 50 * time.Millisecond
	// expireInterval is how often keys past their retention are looked for.
	expireInterval = time.Minute
)

// Store is a deduplication.Table that is safe for concurrent use and kept on disk.
type Store struct {
	log    *slog.Logger
	limits deduplication.Limits

	mu      sync.Mutex
	table   *deduplication.Table
	pending changes // not written yet
	file    *file   // nil without one, and once it is closed
	failing bool    // the last write failed
}

// Open returns a store with the content of the file at path; with an empty path nothing is kept on disk.
// A damaged file is renamed, and the log says so. An error is about invalid limits, or a file that can't
// be opened at all.
func Open(path string, l deduplication.Limits, log *slog.Logger) (*Store, error) {
	table, err := deduplication.NewTable(l)
	if err != nil {
		return nil, err
	}
	s := &Store{log: log, limits: l, table: table, pending: changes{}}
	if path == "" {
		table.Restore(time.Now(), nil, false) // an earlier process's keys are lost
		return s, nil
	}
	stored, err := s.openFile(path)
	if err != nil {
		return nil, fmt.Errorf("idempotency file: %w", err)
	}
	table.Restore(time.Now(), stored.entries, stored.clean)
	log.Info("idempotency keys loaded", "file", path, "keys", len(stored.entries), "clean", stored.clean)
	return s, nil
}

// openFile opens the file at path, or a new one in place of a damaged one.
func (s *Store) openFile(path string) (stored content, err error) {
	_, statErr := os.Stat(path)
	isNew := errors.Is(statErr, os.ErrNotExist)
	s.file, stored, err = openFile(path, s.bootMoment)
	if errors.Is(err, errDamaged) {
		renamed := fmt.Sprintf("%s.damaged-%d", path, time.Now().Unix())
		if renameErr := os.Rename(path, renamed); renameErr != nil {
			return content{}, errors.Join(err, renameErr)
		}
		s.log.Error("idempotency file damaged and renamed, refusing retries under unseen keys for a while", "file", renamed, "cause", err)
		s.file, stored, err = openFile(path, s.bootMoment)
		stored.clean, isNew = false, false
	}
	if err != nil {
		return content{}, err
	}
	stored.clean = stored.clean || isNew // there is no earlier process whose keys could be missing
	return stored, nil
}

// Begin decides on a request; see deduplication.Table. After deduplication.Run, End must follow. While
// the file can't be written nothing is run: a process started after a kill would not know of it.
func (s *Store) Begin(r deduplication.Request) (deduplication.Decision, deduplication.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision, e := s.table.Begin(time.Now(), r)
	if decision == deduplication.Run && s.failing {
		s.table.End(time.Now(), r.Key, r.RequestID, deduplication.OutcomeNotRun, "", nil)
		s.trackRemoved()
		return deduplication.CapacityExceeded, deduplication.Entry{Key: r.Key}
	}
	s.trackRemoved()
	if decision == deduplication.Run {
		s.trackChanged(e)
	}
	return decision, e
}

// End records how a request ended that Begin decided to run; see deduplication.Table.
func (s *Store) End(key deduplication.Key, requestID string, outcome deduplication.Outcome, contentType string, answer []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, kept := s.table.End(time.Now(), key, requestID, outcome, contentType, answer)
	s.trackRemoved()
	if kept {
		s.trackChanged(e)
	}
}

// RecordRefusal records that an attempt under a key was refused and did not run.
func (s *Store) RecordRefusal(key deduplication.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordRefusal(time.Now(), key)
}

// MaxAnswerBytes returns the size of the largest answer that is kept.
func (s *Store) MaxAnswerBytes() int { return s.limits.MaxAnswerBytes }

// Counts returns how many keys are remembered, and the bytes of their answers.
func (s *Store) Counts() (keys int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Counts()
}

// trackRemoved notes the keys that the table has removed for the next flush. An entry that is changed
// after that is to be noted after it. s.mu is held.
func (s *Store) trackRemoved() {
	removed := s.table.PopRemoved()
	if s.file == nil {
		return
	}
	for _, key := range removed {
		s.pending[key] = nil
	}
}

// trackChanged notes an entry for the next flush. s.mu is held.
func (s *Store) trackChanged(e deduplication.Entry) {
	if s.file != nil {
		s.pending[e.Key] = &e
	}
}

// Run writes changes and removes keys past their retention until ctx ends; then it closes the file in
// good order. Nothing may be begun after that.
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

// flushAndLog writes changes, logs when writing begins to fail or works again, and reports whether it
// fails.
func (s *Store) flushAndLog(wasFailing bool) (failing bool) {
	err := s.flush(false)
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
	s.table.Expire(time.Now())
	s.trackRemoved()
}

// flush writes what has changed; after an error the next flush tries again. final marks the file as
// closed in good order. The lock is not held while the file is written.
func (s *Store) flush(final bool) error {
	s.mu.Lock()
	pending, f := s.pending, s.file
	if f == nil || len(pending) == 0 && !final {
		s.mu.Unlock()
		return nil
	}
	s.pending = changes{}
	s.mu.Unlock()
	err := f.write(pending, s.bootMoment(), final)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = err != nil
	if err != nil {
		s.restorePending(pending)
	}
	return err
}

// restorePending puts back changes that could not be written, except where there is a newer one. s.mu
// is held.
func (s *Store) restorePending(unwritten changes) {
	for key, e := range unwritten {
		if _, newer := s.pending[key]; !newer {
			s.pending[key] = e
		}
	}
}

// bootMoment returns the present moment, or the zero value, by which ages are unknown.
func (s *Store) bootMoment() bootclock.Moment {
	m, err := bootclock.Now()
	if err != nil {
		s.log.Warn("boot clock unavailable, keeping idempotency keys for longer", "cause", err)
	}
	return m
}

// Close writes what has changed and closes the file. A request that still runs is stored as running; the
// next process takes its outcome as unknown.
func (s *Store) Close() error {
	err := s.flush(true)
	s.mu.Lock()
	f := s.file
	s.file = nil
	s.mu.Unlock()
	if f == nil {
		return err
	}
	return errors.Join(err, f.close())
}
