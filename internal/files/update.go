package files

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"
)

const (
	lockSuffix  = ".lock"
	lockTimeout = 200 * time.Millisecond // a process that holds a lock for longer is stopped, or its disk is
	lockRetry   = 2 * time.Millisecond
)

// ErrLocked is wrapped by the error of Update if another process holds the lock of the file.
var ErrLocked = errors.New("the file is locked by another process")

// Update replaces the file at path by what change makes of its content. Processes that use Update change
// the file one after the other, so that none overwrites a change that it has not read. content and err are
// the results of Read with the limit. With an error, or nil as the new content, the file is left as it is.
//
// The lock is on a file of its own beside path, since the file itself is replaced. The system releases it
// at the end of a process, however it ends; the file at path then has the previous or the new content.
func Update(path string, limit int64, change func(content []byte, err error) ([]byte, error)) error {
	lock, err := acquireLock(path + lockSuffix)
	if err != nil {
		return err
	}
	defer lock.Close()
	next, err := change(Read(path, limit))
	if err != nil || next == nil {
		return err
	}
	return WriteAtomic(path, next)
}

// acquireLock returns the lock file at path, locked until it is closed.
func acquireLock(path string) (*os.File, error) {
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetry) {
		lock, err := tryLock(path)
		if !errors.Is(err, ErrLocked) || time.Now().After(deadline) {
			return lock, err
		}
	}
}

// tryLock locks the file at path. A file that was removed meanwhile counts as locked: its lock excludes
// nobody.
func tryLock(path string) (*os.File, error) {
	lock, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil && isCurrent(lock, path) {
		return lock, nil
	}
	lock.Close()
	if err == nil || errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EINTR) {
		return nil, fmt.Errorf("%s: %w", path, ErrLocked)
	}
	return nil, fmt.Errorf("lock %s: %w", path, err)
}

// isCurrent reports whether path still names the open file.
func isCurrent(open *os.File, path string) bool {
	opened, openErr := open.Stat()
	named, namedErr := os.Stat(path)
	return openErr == nil && namedErr == nil && os.SameFile(opened, named)
}
