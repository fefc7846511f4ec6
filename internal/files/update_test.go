package files

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// Many writers that each add to the content lose none of their changes.
func TestUpdatesAreNotLost(t *testing.T) {
	const writers, updates = 4, 25
	path := filepath.Join(t.TempDir(), "f")
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for done := 0; done < updates; {
				err := Update(path, 100, func(content []byte, err error) ([]byte, error) {
					if err != nil && !errors.Is(err, fs.ErrNotExist) {
						return nil, err
					}
					n, _ := strconv.Atoi(strings.TrimSpace(string(content)))
					return fmt.Appendln(nil, n+1), nil
				})
				switch {
				case err == nil:
					done++
				case !errors.Is(err, ErrLocked): // on a slow disk a lock may be held for long
					t.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
	if text, err := os.ReadFile(path); err != nil || string(text) != fmt.Sprintln(writers*updates) {
		t.Errorf("%q, %v after %d updates", text, err, writers*updates)
	}
}

// An update that fails, or wants no change, leaves the file as it is and releases the lock. A lock that is
// held makes an update fail; a lock file that was removed locks nothing.
func TestUpdateLeavesFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	if err := WriteAtomic(path, []byte("before\n")); err != nil {
		t.Fatal(err)
	}
	refused := errors.New("refused")
	if err := Update(path, 100, func([]byte, error) ([]byte, error) { return []byte("x"), refused }); !errors.Is(err, refused) {
		t.Errorf("error %v", err)
	}
	if err := Update(path, 100, func([]byte, error) ([]byte, error) { return nil, nil }); err != nil {
		t.Error(err)
	}
	if err := Update(path, 3, func(_ []byte, err error) ([]byte, error) { return nil, err }); !errors.Is(err, ErrDamaged) {
		t.Errorf("a file over the limit: %v", err)
	}
	lock, err := acquireLock(path + lockSuffix)
	if err != nil {
		t.Fatal(err)
	}
	defer lock.Close()
	write := func([]byte, error) ([]byte, error) { return []byte("after\n"), nil }
	if err := Update(path, 100, write); !errors.Is(err, ErrLocked) {
		t.Errorf("while it is locked: %v", err)
	}
	if text, err := os.ReadFile(path); err != nil || string(text) != "before\n" {
		t.Errorf("%q, %v", text, err)
	}
	if err := os.Remove(path + lockSuffix); err != nil {
		t.Fatal(err)
	}
	if err := Update(path, 100, write); err != nil {
		t.Errorf("after the lock file was removed: %v", err)
	}
}
