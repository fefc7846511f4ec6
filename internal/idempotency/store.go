// Package idempotency keeps the keys under which clients ask, over restarts as well. What
// becomes of a request under a key is decided in decide/deduplication; this package holds the
// table for many goroutines and writes it to disk.
//
// The file is a bbolt database. Changes are written together every WriteEvery, in one
// transaction, and the file says whether it was closed in good order: after a crash, what
// the last moment began may be missing, and decide/deduplication doubts unseen keys for a while.
// Each record carries a checksum. A file that can't be read is set aside.
package idempotency

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"wellgw/decide/deduplication"
	"wellgw/internal/bootclock"
)

// How often the file is written and old keys are looked for, and how long another
// process may hold the file.
const (
	WriteEvery  = 50 * time.Millisecond
	expireEvery = time.Minute
	lockWait    = 2 * time.Second
	fileMode    = 0o600 // answers to orders are in it
)

var (
	bucketMeta = []byte("meta")
	bucketKeys = []byte("keys")
	metaClean  = []byte("clean")
	metaFormat = []byte("format")
	format     = []byte("1")
	yes        = []byte("yes")
)

var errDamaged = errors.New("the file is damaged")

// Keeper is a table for many goroutines.
type Keeper struct {
	log    *slog.Logger
	limits deduplication.Limits

	mu      sync.Mutex
	table   *deduplication.Table
	changed map[deduplication.Key]*deduplication.Entry // to be written; nil = to be deleted
	db      *bbolt.DB                                  // nil without a file
	failing bool                                       // the file could not be written the last time
}

// Open returns a keeper with what the file at path holds; path may be empty. A file that
// is damaged is set aside with a log line. An error tells of limits that can't be used, or
// of a file that can't be opened at all.
func Open(path string, l deduplication.Limits, log *slog.Logger) (*Keeper, error) {
	table, err := deduplication.NewTable(l)
	if err != nil {
		return nil, err
	}
	k := &Keeper{log: log, limits: l, table: table, changed: map[deduplication.Key]*deduplication.Entry{}}
	if path == "" {
		table.Restore(time.Now(), nil, false) // an earlier run's keys are gone
		return k, nil
	}
	_, statErr := os.Stat(path)
	entries, clean, err := k.load(path)
	if errors.Is(err, errDamaged) {
		aside := fmt.Sprintf("%s.damaged-%d", path, time.Now().Unix())
		if rerr := os.Rename(path, aside); rerr != nil {
			return nil, fmt.Errorf("idempotency file: %w", errors.Join(err, rerr))
		}
		log.Error("idempotency file set aside: orders sent again under keys of before are not run for a while", "file", aside, "cause", err)
		entries, _, err = k.load(path)
		clean, statErr = false, nil
	}
	if err != nil {
		return nil, fmt.Errorf("idempotency file: %w", err)
	}
	if errors.Is(statErr, os.ErrNotExist) {
		clean = true // there has been no earlier run
	}
	table.Restore(time.Now(), entries, clean)
	log.Info("idempotency keys read", "file", path, "keys", len(entries), "clean", clean)
	return k, nil
}

// load opens the file, reads it whole, and marks it as in use. Pages that are damaged may
// be met as a panic or a fault in bbolt.
func (k *Keeper) load(path string) (entries []deduplication.Entry, clean bool, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	var db *bbolt.DB
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errDamaged, p)
		}
		if err != nil && db != nil {
			func() {
				defer func() { _ = recover() }()
				_ = db.Close()
			}()
		}
	}()
	db, err = bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockWait})
	if err != nil {
		if errors.Is(err, bolterrors.ErrInvalid) || errors.Is(err, bolterrors.ErrChecksum) || errors.Is(err, bolterrors.ErrVersionMismatch) ||
			strings.Contains(err.Error(), "file size too small") || strings.Contains(err.Error(), "unexpected EOF") {
			err = fmt.Errorf("%w: %w", errDamaged, err)
		}
		return nil, false, err
	}
	moment := k.moment()
	err = db.Update(func(tx *bbolt.Tx) error {
		for wrong := range tx.Check() {
			return fmt.Errorf("%w: %w", errDamaged, wrong)
		}
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		if f := meta.Get(metaFormat); f != nil && string(f) != string(format) {
			return fmt.Errorf("it has format %q, which this version does not know", f)
		}
		clean = string(meta.Get(metaClean)) == string(yes)
		keys, err := tx.CreateBucketIfNotExists(bucketKeys)
		if err != nil {
			return err
		}
		if err := keys.ForEach(func(name, raw []byte) error {
			e, err := decodeRecord(raw, moment)
			if err != nil {
				return fmt.Errorf("%w: key %q: %w", errDamaged, name, err)
			}
			entries = append(entries, e)
			return nil
		}); err != nil {
			return err
		}
		if err := meta.Put(metaFormat, format); err != nil {
			return err
		}
		return meta.Delete(metaClean)
	})
	if err != nil {
		return nil, false, err
	}
	k.db = db
	return entries, clean, nil
}

// Begin decides on a request; see deduplication.Table. With deduplication.Run, End must follow.
// While the file can't be written nothing is run: a process killed then would not know of it.
func (k *Keeper) Begin(a deduplication.Request) (deduplication.Decision, deduplication.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v, e := k.table.Begin(time.Now(), a)
	if v == deduplication.Run && k.failing {
		k.table.End(time.Now(), a.Key, a.RequestID, deduplication.OutcomeNotRun, "", nil)
		k.note(deduplication.Entry{}, false)
		return deduplication.CapacityExceeded, deduplication.Entry{Key: a.Key}
	}
	k.note(e, v == deduplication.Run)
	return v, e
}

// End tells how a request that was run has ended.
func (k *Keeper) End(key deduplication.Key, id string, how deduplication.Outcome, kind string, answer []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, kept := k.table.End(time.Now(), key, id, how, kind, answer)
	k.note(e, kept)
}

// Spare takes it that a try under a key was turned away and did not run.
func (k *Keeper) Spare(key deduplication.Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.RecordRefusal(time.Now(), key)
}

// note has what has changed written. The lock is held.
func (k *Keeper) note(e deduplication.Entry, changed bool) {
	dropped := k.table.TakeRemoved()
	if k.db == nil {
		return
	}
	for _, key := range dropped {
		k.changed[key] = nil
	}
	if changed {
		k.changed[e.Key] = &e
	}
}

// Answer returns the most bytes of an answer that is kept.
func (k *Keeper) Answer() int { return k.limits.MaxAnswerBytes }

// Counts returns how many keys are remembered, and the bytes of their answers.
func (k *Keeper) Counts() (keys int, bytes int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Counts()
}

// Run writes what changes and forgets what is old until ctx ends; then it closes the file
// in good order. Nothing may be begun after that.
func (k *Keeper) Run(ctx context.Context) {
	write, expire := time.NewTicker(WriteEvery), time.NewTicker(expireEvery)
	defer write.Stop()
	defer expire.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			if err := k.Close(); err != nil {
				k.log.Error("idempotency file not closed in good order", "cause", err)
			}
			return
		case <-write.C:
			err := k.flush(false)
			if err != nil && !failing {
				k.log.Error("idempotency keys can't be written; orders under new ones are refused meanwhile", "cause", err)
			}
			if err == nil && failing {
				k.log.Info("idempotency keys are written again")
			}
			failing = err != nil
		case <-expire.C:
			k.mu.Lock()
			k.table.Expire(time.Now())
			k.note(deduplication.Entry{}, false)
			k.mu.Unlock()
		}
	}
}

// flush writes what has changed; what could not be written is tried again.
func (k *Keeper) flush(last bool) error {
	k.mu.Lock()
	todo, db := k.changed, k.db
	if db == nil || len(todo) == 0 && !last {
		k.mu.Unlock()
		return nil
	}
	k.changed = map[deduplication.Key]*deduplication.Entry{}
	k.mu.Unlock()
	moment := k.moment()
	err := db.Update(func(tx *bbolt.Tx) error {
		keys := tx.Bucket(bucketKeys)
		for key, e := range todo {
			if e == nil {
				if err := keys.Delete(databaseKey(key)); err != nil {
					return err
				}
				continue
			}
			raw, err := encodeRecord(*e, moment)
			if err != nil {
				return err
			}
			if err := keys.Put(databaseKey(key), raw); err != nil {
				return err
			}
		}
		if last {
			return tx.Bucket(bucketMeta).Put(metaClean, yes)
		}
		return nil
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failing = err != nil; k.failing {
		for key, e := range todo {
			if _, newer := k.changed[key]; !newer {
				k.changed[key] = e
			}
		}
	}
	return err
}

// moment is the present one, or the zero value, with which ages can't be told.
func (k *Keeper) moment() bootclock.Moment {
	m, err := bootclock.Now()
	if err != nil {
		k.log.Warn("ages of idempotency keys can't be told; they are remembered for longer", "cause", err)
	}
	return m
}

// Close writes what is left and closes the file. A request that still runs is in it as
// such, and so counts as one whose fate is unknown when it is read.
func (k *Keeper) Close() error {
	err := k.flush(true)
	k.mu.Lock()
	db := k.db
	k.db = nil
	k.mu.Unlock()
	if db == nil {
		return err
	}
	return errors.Join(err, db.Close())
}
