package idempotency

import (
	"errors"
	"time"
)

// commitTimeout is how long a request waits for its record to be on disk before it is refused.
const commitTimeout = 2 * time.Second

var (
	errCommitTimeout = errors.New("the record was not written in time")
	errClosed        = errors.New("the file is closed")
)

// batch is a group of requests whose records are written in one transaction.
type batch struct {
	done chan struct{} // closed when the write has ended
	err  error         // of the write; set before done is closed
}

// wait waits until the batch is on disk.
func (b *batch) wait() error {
	timer := time.NewTimer(commitTimeout)
	defer timer.Stop()
	select {
	case <-b.done:
		return b.err
	case <-timer.C:
		return errCommitTimeout
	}
}

// end ends the wait of the batch's requests.
func (b *batch) end(err error) {
	if b != nil {
		b.err = err
		close(b.done)
	}
}

// joinBatch returns the batch that the next write commits, and starts that write if none is due. s.mu must
// be held.
func (s *Store) joinBatch() *batch {
	if s.batch == nil {
		s.batch = &batch{done: make(chan struct{})}
	}
	if !s.committing {
		s.committing = true
		go s.commitBatches()
	}
	return s.batch
}

// commitBatches writes changes until no request waits. The requests that come during a write share the
// next one.
func (s *Store) commitBatches() {
	for s.hasBatch() {
		_ = s.flush() // the requests of the batch get the error
	}
}

// hasBatch reports whether requests wait for a write. If not, the caller must return from commitBatches.
func (s *Store) hasBatch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.committing = s.batch != nil
	return s.committing
}

// flush writes the pending changes to the file; after an error the next flush retries them. s.mu is not
// held during the write.
func (s *Store) flush() error {
	s.writing.Lock()
	defer s.writing.Unlock()
	return s.writePending(nil)
}

// writePending writes the pending changes, and marks the file as closed with end. s.writing must be held.
func (s *Store) writePending(end *closing) error {
	s.mu.Lock()
	pending, waiting, f := s.pending, s.batch, s.file
	s.batch = nil
	if f == nil {
		s.mu.Unlock()
		waiting.end(errClosed)
		return nil
	}
	if len(pending) == 0 && end == nil {
		s.mu.Unlock()
		waiting.end(nil)
		return nil
	}
	s.pending = changes{}
	s.mu.Unlock()
	err := f.write(pending, s.clock.now(), end)
	s.mu.Lock()
	s.writeFailing = err != nil
	if err != nil {
		s.restorePending(pending)
	}
	s.mu.Unlock()
	waiting.end(err)
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

// Close writes the pending changes and closes the file. A request that is still running is stored as
// running; the next process treats its outcome as unknown.
func (s *Store) Close() error {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.Lock()
	end := &closing{complete: !s.table.Uncertain(s.clock.wall())}
	s.mu.Unlock()
	err := s.writePending(end)
	s.mu.Lock()
	f := s.file
	s.file = nil
	s.mu.Unlock()
	if f == nil {
		return err
	}
	return errors.Join(err, f.close())
}
