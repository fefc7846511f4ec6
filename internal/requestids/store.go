// Package requestids remembers the request ids under which a gateway has run requests, so that none runs
// twice if its client sends an id again. The processes of a gateway share the ids through files; see
// package replay for the decisions.
package requestids

import (
	"crypto/sha256"
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"wellgw/decide/replay"
	"wellgw/internal/bootclock"
)

// BytesPerID is the memory that one id takes, including the tables' spare room.
const BytesPerID = 64

// warnInterval is the least time between two warnings about the files.
const warnInterval = 10 * time.Second

// Store remembers request ids. Its methods are safe for concurrent use.
type Store struct {
	process replay.Process
	log     *slog.Logger
	origin  time.Time // of generations; it is the machine's boot, if that is known

	mu       sync.Mutex
	table    *replay.Table
	journal  *journal // nil if no other process shares the ids
	lastWarn time.Time
}

// NewStore returns a store of at most the given number of ids, which no other process shares.
func NewStore(capacity int, log *slog.Logger) *Store {
	s := &Store{process: replay.Process(rand.Uint64()), log: log, origin: time.Now(), table: replay.NewTable(capacity)}
	if now, err := bootclock.Now(); err == nil {
		s.origin = s.origin.Add(-now.Uptime)
	}
	return s
}

// Share shares the ids with the other processes of a gateway, by files whose paths begin with prefix. It
// reads the ids that they have recorded.
func (s *Store) Share(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal = newJournal(prefix)
	generation := s.advance(time.Now())
	s.warn(s.journal.read(generation-1, s.table))
	s.warn(s.journal.read(generation, s.table))
}

// Close closes the files.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.journal != nil {
		s.journal.closeBefore(1 << 62)
	}
}

// Claim decides on a request with an id and, if it may run, records the id.
func (s *Store) Claim(id string) replay.Verdict {
	key := keyOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	generation := s.advance(time.Now())
	if verdict := s.table.Check(key); verdict != replay.Admit {
		return verdict
	}
	record := replay.Record{ID: key, Process: s.process, Kind: replay.Claim}
	if s.journal == nil {
		s.table.Apply(record)
		return replay.Admit
	}
	// The claim is appended before the records of others are read: of two processes at least one then sees
	// the claim of the other, also if only one of them has begun the next generation.
	if err := s.journal.append(generation, record); err != nil {
		s.warn(err)
		s.table.Apply(record) // known to this process at least
		return replay.Admit
	}
	for _, g := range []int64{generation - 1, generation + 1, generation} {
		s.warn(s.journal.read(g, s.table))
	}
	if !s.table.HeldBy(key, s.process) {
		return replay.Replay
	}
	return replay.Admit
}

// Release forgets an id that Claim has admitted, as nothing of its request was sent to an engine.
func (s *Store) Release(id string) {
	record := replay.Record{ID: keyOf(id), Process: s.process, Kind: replay.Release}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Apply(record)
	if s.journal != nil {
		s.warn(s.journal.append(s.advance(time.Now()), record))
	}
}

// Len returns the number of ids that are remembered.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

// advance begins the generation of a time. The caller holds s.mu.
func (s *Store) advance(now time.Time) int64 {
	generation := replay.GenerationAt(now.Sub(s.origin))
	s.table.Advance(generation)
	if s.journal != nil {
		s.journal.closeBefore(generation - 1)
	}
	return generation
}

// warn logs an error of the files: the other process may not know of an id. The caller holds s.mu.
func (s *Store) warn(err error) {
	if now := time.Now(); err != nil && now.Sub(s.lastWarn) >= warnInterval {
		s.lastWarn = now
		s.log.Warn("request ids not shared with the other process", "cause", err)
	}
}

// keyOf returns the key under which an id is remembered.
func keyOf(id string) (key replay.ID) {
	sum := sha256.Sum256([]byte(id))
	copy(key[:], sum[:])
	return key
}

// recordSize is the size of a record in a file, in bytes: id, process and kind.
const recordSize = 32

func encode(r replay.Record) []byte {
	raw := make([]byte, recordSize)
	copy(raw, r.ID[:])
	binary.LittleEndian.PutUint64(raw[len(r.ID):], uint64(r.Process))
	raw[recordSize-1] = byte(r.Kind)
	return raw
}

func decode(raw []byte) (r replay.Record) {
	copy(r.ID[:], raw)
	r.Process = replay.Process(binary.LittleEndian.Uint64(raw[len(r.ID):]))
	r.Kind = replay.Kind(raw[recordSize-1])
	return r
}
