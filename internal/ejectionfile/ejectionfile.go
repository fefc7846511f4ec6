// Package ejectionfile keeps what the two processes of one gateway share over an
// upgrade, in files in a directory both see ($TMPDIR on the platform): the
// engines that operators took out by hand, and which process is ready to serve.
package ejectionfile

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

// maxSize bounds what is read of the file, in bytes.
const maxSize = 1 << 20

// Store is the file of one gateway's ejections. It is safe for use by several
// goroutines.
type Store struct {
	path  string // of the ejections
	ready string // of the process that is ready
	mu    sync.Mutex
	last  []byte // the content last written or read here
}

// Open returns the store at dir for the gateway of this name; nothing is read yet.
func Open(dir, gateway string) *Store {
	clean := strings.Map(func(r rune) rune {
		if r == '/' || r == 0 {
			return '_'
		}
		return r
	}, gateway)
	return &Store{path: filepath.Join(dir, "wellgw-bans-"+clean), ready: filepath.Join(dir, "wellgw-ready-"+clean)}
}

// Path is the file's path.
func (s *Store) Path() string { return s.path }

// Write makes names the whole content of the file: written aside, then renamed,
// so that a reader never sees half of it.
func (s *Store) Write(names []string) error {
	names = slices.Clone(names)
	slices.Sort(names)
	text := []byte(strings.Join(names, "\n") + "\n")
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := writeAside(s.path, string(text)); err != nil {
		return fmt.Errorf("ejections: %w", err)
	}
	s.last = text
	return nil
}

// Read returns the names in the file, and whether they differ from what this
// store last wrote or read. A missing file is an empty set.
func (s *Store) Read() (names []string, changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, err := read(s.path)
	if err != nil {
		return nil, false, err
	}
	changed = !bytes.Equal(text, s.last) && (s.last != nil || len(text) > 0)
	s.last = text
	for _, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line != "" {
			names = append(names, line)
		}
	}
	return names, changed, nil
}

func read(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return []byte{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("ejections: %w", err)
	}
	if info.Size() > maxSize {
		return nil, fmt.Errorf("ejections: %s is over %d bytes", path, maxSize)
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return []byte{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("ejections: %w", err)
	}
	return text, nil
}
