// Package ejectionfile keeps what the two processes of one gateway share over an
// upgrade, in files in a directory both see ($TMPDIR on the platform): the
// engines that operators took out by hand, and which process is ready to serve.
package ejectionfile

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"wellgw/internal/files"
)

// Bounds of what is read, in bytes.
const (
	maxSize = 1 << 20
	maxName = 1 << 10
)

// Store is the file of one gateway's ejections. It is safe for use by several
// goroutines.
type Store struct {
	path  string // of the ejections
	ready string // of the process that is ready
	claim string // of the process that started last
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
	at := func(kind string) string { return filepath.Join(dir, "wellgw-"+kind+"-"+clean) }
	return &Store{path: at("bans"), ready: at("ready"), claim: at("start")}
}

// Path is the file's path.
func (s *Store) Path() string { return s.path }

// Write makes names the whole content of the file: written aside, synced, then renamed,
// so that a reader never sees half of it.
func (s *Store) Write(names []string) error {
	names = slices.Clone(names)
	slices.Sort(names)
	text := []byte(strings.Join(names, "\n") + "\n")
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := files.WriteAtomic(s.path, text); err != nil {
		return fmt.Errorf("ejections: %w", err)
	}
	s.last = text
	return nil
}

// Read returns the names in the file, and whether they differ from what this
// store last wrote or read. A missing file is an empty set. A file that Write can't have
// written, such as half of one, wraps files.ErrDamaged and counts as unchanged.
func (s *Store) Read() (names []string, changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, err := files.Read(s.path, maxSize)
	if errors.Is(err, fs.ErrNotExist) {
		text, err = []byte("\n"), nil
	}
	if err == nil {
		names, err = parse(text)
	}
	if err != nil {
		return nil, false, fmt.Errorf("ejections: %s: %w", s.path, err)
	}
	empty := len(names) == 0 && s.last == nil // nothing, as before the first look
	changed = !bytes.Equal(text, s.last) && !empty
	s.last = text
	return names, changed, nil
}

// parse reads one name a line. Every line of a whole file has its end.
func parse(text []byte) (names []string, err error) {
	if !bytes.HasSuffix(text, []byte("\n")) {
		return nil, fmt.Errorf("%w: the last line has no end", files.ErrDamaged)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		if len(line) > maxName || strings.ContainsFunc(line, func(r rune) bool { return r < ' ' || r == 0x7f }) {
			return nil, fmt.Errorf("%w: a line is no engine's name", files.ErrDamaged)
		}
		names = append(names, line)
	}
	return names, nil
}
