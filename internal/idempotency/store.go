// Package idempotency stores the idempotency keys of requests. If a file is configured, they are also
// stored on disk, so that they survive a restart. decide/deduplication decides whether a request under a
// key is run; Store makes its table safe for concurrent use and writes it to disk.
//
// The file is a bbolt database (file.go). Changes are written every FlushInterval, in one transaction.
// The file records whether it was closed cleanly: after a crash, the changes since the last flush may be
// missing, and decide/deduplication refuses retries under unseen keys for a while. Each record has a
// checksum (record.go). A damaged file is renamed, and a new one is created.
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
	// expireInterval is how often keys past their retention are removed.
	expireInterval = time.Minute
)

// Store is a deduplication.Table that is safe for concurrent use and persisted to disk.
type Store struct {
	log    *slog.Logger
	limits deduplication.Limits

	mu           sync.Mutex
	table        *deduplication.Table
	pending      changes // changes since the last flush
	file         *file   // nil if none is configured, and after Close
	writeFailing bool    // the last write failed
}

// Open returns a store with the content of the file at path; with an empty path nothing is stored on
// disk. A damaged file is renamed, and the error is logged. Open returns an error for invalid limits and
// for a file that can't be opened.
func Open(path string, l deduplication.Limits, log *slog.Logger) (*Store, error) {
	table, err := deduplication.NewTable(l)
	if err != nil {
		return nil, err
	}
	s := &Store{log: log, limits: l, table: table, pending: changes{}}
	if path == "" {
		table.Restore(time.Now(), nil, false) // the keys of an earlier process are lost
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
	stored.clean = stored.clean || isNew // without an earlier process, no keys can be missing
	return stored, nil
}

// Begin decides whether to run a request; see deduplication.Table. After deduplication.Run, the caller
// must call End. While writing the file fails, no request is run, since a process that starts after a
// kill would find no key of it.
func (s *Store) Begin(r deduplication.Request) (deduplication.Decision, deduplication.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision, e := s.table.Begin(time.Now(), r)
	if decision == deduplication.Run && s.writeFailing {
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

// End records the outcome of a request that Begin decided to run; see deduplication.Table.
func (s *Store) End(key deduplication.Key, requestID string, outcome deduplication.Outcome, contentType string, answer []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, stored := s.table.End(time.Now(), key, requestID, outcome, contentType, answer)
	s.trackRemoved()
	if stored {
		s.trackChanged(e)
	}
}

// RecordRefusal records that an attempt under a key was refused and did not run.
func (s *Store) RecordRefusal(key deduplication.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordRefusal(time.Now(), key)
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

// flush writes the pending changes to the file; after an error the next flush retries them. final marks
// the file as cleanly closed. s.mu is not held during the write.
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
	s.writeFailing = err != nil
	if err != nil {
		s.restorePending(pending)
	}
	return err
}

// restorePending adds unwritten changes to the pending ones again, except for keys with a newer change.
// s.mu must be held.
func (s *Store) restorePending(unwritten changes) {
	for key, e := range unwritten {
		if _, newer := s.pending[key]; !newer {
			s.pending[key] = e
		}
	}
}

// bootMoment returns the current moment, or the zero value, with which ages are unknown.
func (s *Store) bootMoment() bootclock.Moment {
	m, err := bootclock.Now()
	if err != nil {
		s.log.Warn("boot clock unavailable, keeping idempotency keys for longer", "cause", err)
	}
	return m
}

// Close writes the pending changes and closes the file. A request that is still running is stored as
// running; the next process treats its outcome as unknown.
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
