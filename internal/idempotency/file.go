package idempotency

import (
	"errors"
	"fmt"
	"runtime/debug"
	"strings"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"wellgw/decide/deduplication"
	"wellgw/internal/bootclock"
)

const (
	lockTimeout = 2 * time.Second // another process may hold the file for so long
	fileMode    = 0o600           // answers are in it
)

// Buckets, keys and values of the database.
var (
	bucketMeta = []byte("meta")
	bucketKeys = []byte("keys")
	metaClean  = []byte("clean")
	metaFormat = []byte("format")
	format     = []byte("1")
	yes        = []byte("yes")
)

var errDamaged = errors.New("the file is damaged")

// file is the database on disk.
type file struct{ db *bbolt.DB }

// content is what a file held when it was opened.
type content struct {
	entries []deduplication.Entry
	clean   bool // it was closed in good order
}

// openFile opens the file at path, reads all of it, and marks it as in use. now returns the present
// moment, by which ages are told. An error wraps errDamaged if the file can't be what this package
// wrote.
func openFile(path string, now func() bootclock.Moment) (f *file, c content, err error) {
	// bbolt meets damaged pages with a panic, or with a fault where they are mapped into memory.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	var db *bbolt.DB
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errDamaged, p)
		}
		if err != nil {
			f, c = nil, content{}
			closeDamaged(db)
		}
	}()
	db, err = bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		if isDamage(err) {
			err = fmt.Errorf("%w: %w", errDamaged, err)
		}
		return nil, content{}, err
	}
	moment := now()
	err = db.Update(func(tx *bbolt.Tx) error {
		var err error
		c, err = readAndMarkInUse(tx, moment)
		return err
	})
	return &file{db}, c, err
}

// closeDamaged closes a database that may be damaged, if there is one. It may panic again.
func closeDamaged(db *bbolt.DB) {
	if db == nil {
		return
	}
	defer func() { _ = recover() }()
	_ = db.Close()
}

// isDamage tells errors about the file's content from others of bbolt.Open. For a file that is too
// short bbolt has no error value, only a text.
func isDamage(err error) bool {
	for _, damage := range []error{bolterrors.ErrInvalid, bolterrors.ErrChecksum, bolterrors.ErrVersionMismatch} {
		if errors.Is(err, damage) {
			return true
		}
	}
	return strings.Contains(err.Error(), "file size too small") || strings.Contains(err.Error(), "unexpected EOF")
}

// readAndMarkInUse checks the database and reads its entries. It creates what a new file lacks, and
// removes the mark of a file that was closed in good order.
func readAndMarkInUse(tx *bbolt.Tx, now bootclock.Moment) (content, error) {
	for problem := range tx.Check() {
		return content{}, fmt.Errorf("%w: %w", errDamaged, problem)
	}
	meta, err := tx.CreateBucketIfNotExists(bucketMeta)
	if err != nil {
		return content{}, err
	}
	if found := meta.Get(metaFormat); found != nil && string(found) != string(format) {
		return content{}, fmt.Errorf("it has format %q, which this version does not know", found)
	}
	keys, err := tx.CreateBucketIfNotExists(bucketKeys)
	if err != nil {
		return content{}, err
	}
	entries, err := readEntries(keys, now)
	if err != nil {
		return content{}, err
	}
	c := content{entries: entries, clean: string(meta.Get(metaClean)) == string(yes)}
	if err := meta.Put(metaFormat, format); err != nil {
		return content{}, err
	}
	return c, meta.Delete(metaClean)
}

func readEntries(keys *bbolt.Bucket, now bootclock.Moment) (entries []deduplication.Entry, err error) {
	err = keys.ForEach(func(name, raw []byte) error {
		e, err := decodeRecord(raw, now)
		if err != nil {
			return fmt.Errorf("%w: key %q: %w", errDamaged, name, err)
		}
		entries = append(entries, e)
		return nil
	})
	return entries, err
}

// changes are entries to be written, by key; nil removes the key.
type changes map[deduplication.Key]*deduplication.Entry

// write writes changes in one transaction. now is the present moment. final marks the file as closed in
// good order.
func (f *file) write(pending changes, now bootclock.Moment, final bool) error {
	return f.db.Update(func(tx *bbolt.Tx) error {
		keys := tx.Bucket(bucketKeys)
		for key, e := range pending {
			if err := writeEntry(keys, key, e, now); err != nil {
				return err
			}
		}
		if final {
			return tx.Bucket(bucketMeta).Put(metaClean, yes)
		}
		return nil
	})
}

func writeEntry(keys *bbolt.Bucket, key deduplication.Key, e *deduplication.Entry, now bootclock.Moment) error {
	if e == nil {
		return keys.Delete(databaseKey(key))
	}
	raw, err := encodeRecord(*e, now)
	if err != nil {
		return err
	}
	return keys.Put(databaseKey(key), raw)
}

func (f *file) close() error { return f.db.Close() }
