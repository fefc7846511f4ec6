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
)

const (
	lockTimeout = 2 * time.Second // how long to wait while another process has the file locked
	fileMode    = 0o600           // the file contains answers
)

// Buckets, keys and values of the database.
//
// metaClean has cleanValue in a file that was closed cleanly by a process that stored each key before
// its request ran. Earlier versions stored keys later and wrote "yes"; a file with that value may lack
// keys of a process before the last, as those versions did not store metaUncertain.
//
// metaUncertain is noUncertainty, or the moment, as JSON, from which keys may be missing; see
// uncertainty.go.
var (
	bucketMeta    = []byte("meta")
	bucketKeys    = []byte("keys")
	metaClean     = []byte("clean")
	metaUncertain = []byte("uncertain")
	metaFormat    = []byte("format")
	formatVersion = []byte("1")
	cleanValue    = []byte("write-ahead")
	noUncertainty = []byte("none")
)

var errDamaged = errors.New("the file is damaged")

// file is the database on disk.
type file struct{ db *bbolt.DB }

// content is the content of a file when it was opened.
type content struct {
	entries     []deduplication.Entry
	clean       bool          // the file was closed cleanly
	uncertainty time.Duration // how much longer keys may be missing; 0 if none is
}

// openFile opens the file at path, reads all of it, and marks it as in use. Keys may be missing for uncertaintyPeriod after a start at which
// the file can't prove that it is complete. An error wraps errDamaged if this package can't have written
// the content of the file.
func openFile(path string, c clock, uncertaintyPeriod time.Duration) (f *file, stored content, err error) {
	// On damaged pages, bbolt panics or causes a memory fault, as it maps the file into memory.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	var db *bbolt.DB
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errDamaged, p)
		}
		if err != nil {
			f, stored = nil, content{}
			closeDamaged(db)
		}
	}()
	if err := checkFile(path); err != nil {
		return nil, content{}, err
	}
	db, err = bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		if isDamage(err) {
			err = fmt.Errorf("%w: %w", errDamaged, err)
		}
		return nil, content{}, err
	}
	opened := c.now()
	err = db.Update(func(tx *bbolt.Tx) error {
		var err error
		stored, err = readAndMarkInUse(tx, opened, uncertaintyPeriod)
		return err
	})
	return &file{db}, stored, err
}

// closeDamaged closes db, which may be damaged or nil. It ignores a panic of bbolt.
func closeDamaged(db *bbolt.DB) {
	if db == nil {
		return
	}
	defer func() { _ = recover() }()
	_ = db.Close()
}

// isDamage reports whether an error of bbolt.Open is about the content of the file. For a file that is
// too short, bbolt has no error value, so its error text is compared.
func isDamage(err error) bool {
	for _, damage := range []error{bolterrors.ErrInvalid, bolterrors.ErrChecksum, bolterrors.ErrVersionMismatch} {
		if errors.Is(err, damage) {
			return true
		}
	}
	return strings.Contains(err.Error(), "file size too small") || strings.Contains(err.Error(), "unexpected EOF")
}

// readAndMarkInUse checks the database and reads its entries. It creates missing buckets, writes the
// format version and the uncertainty, and removes the mark of a cleanly closed file.
func readAndMarkInUse(tx *bbolt.Tx, now instant, uncertaintyPeriod time.Duration) (content, error) {
	if err := checkReferences(tx); err != nil {
		return content{}, err
	}
	meta, err := tx.CreateBucketIfNotExists(bucketMeta)
	if err != nil {
		return content{}, err
	}
	if found := meta.Get(metaFormat); found != nil && string(found) != string(formatVersion) {
		return content{}, fmt.Errorf("unsupported file format %q", found)
	}
	keys, err := tx.CreateBucketIfNotExists(bucketKeys)
	if err != nil {
		return content{}, err
	}
	entries, err := readEntries(keys, now)
	if err != nil {
		return content{}, err
	}
	c := content{entries: entries, clean: string(meta.Get(metaClean)) == string(cleanValue)}
	if c.uncertainty, err = updateUncertainty(meta, c.clean, now.boot, uncertaintyPeriod); err != nil {
		return content{}, err
	}
	if err := meta.Put(metaFormat, formatVersion); err != nil {
		return content{}, err
	}
	return c, meta.Delete(metaClean)
}

// checkReferences checks that each page is either free or in use once, and the order of keys. It waits for
// the end of the check, which runs in a goroutine of its own and reads memory that a close would unmap.
func checkReferences(tx *bbolt.Tx) (err error) {
	for damage := range tx.Check() {
		if err == nil {
			err = fmt.Errorf("%w: %w", errDamaged, damage)
		}
	}
	return err
}

func readEntries(keys *bbolt.Bucket, now instant) (entries []deduplication.Entry, err error) {
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

// changes holds the entries to be written, by key; nil removes the key.
type changes map[deduplication.Key]*deduplication.Entry

// closing says how a file is closed.
type closing struct {
	complete bool // no key can be missing any more
}

// write writes pending in one transaction, which is on disk when it returns. With a closing, it marks the
// file as cleanly closed.
func (f *file) write(pending changes, now instant, end *closing) error {
	return f.db.Update(func(tx *bbolt.Tx) error {
		keys := tx.Bucket(bucketKeys)
		for key, e := range pending {
			if err := writeEntry(keys, key, e, now); err != nil {
				return err
			}
		}
		if end == nil {
			return nil
		}
		meta := tx.Bucket(bucketMeta)
		if end.complete {
			if err := meta.Put(metaUncertain, noUncertainty); err != nil {
				return err
			}
		}
		return meta.Put(metaClean, cleanValue)
	})
}

func writeEntry(keys *bbolt.Bucket, key deduplication.Key, e *deduplication.Entry, now instant) error {
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
