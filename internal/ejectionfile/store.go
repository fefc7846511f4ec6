// Package ejectionfile stores the state that the two processes of a gateway share during an upgrade, as
// files in a directory that both can access ($TMPDIR on the platform): the engines that operators have
// ejected manually, the process that is ready to serve, and the process that started last.
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

// Limits on the content that is read, far above what a gateway writes.
const (
	maxFileBytes = 1 << 20
	maxNameBytes = 1 << 10
)

// Store gives access to the files of one gateway. It is safe for concurrent use.
type Store struct {
	ejectionsPath string // names of ejected engines
	readyPath     string // the process that is ready to serve
	claimPath     string // the process that started last
	requestsPath  string // prefix of the paths of request ids; see package requestids

	mu          sync.Mutex
	lastContent []byte // content of the ejections file when this store last wrote or read it
}

// Open returns the store in dir of the gateway with this name. It accesses no files.
func Open(dir, gateway string) *Store {
	fileName := strings.Map(func(r rune) rune {
		if r == '/' || r == 0 {
			return '_'
		}
		return r
	}, gateway)
	path := func(kind string) string { return filepath.Join(dir, "wellgw-"+kind+"-"+fileName) }
	return &Store{ejectionsPath: path("bans"), readyPath: path("ready"), claimPath: path("start"), requestsPath: path("requests")}
}

// Path returns the path of the ejections file.
func (s *Store) Path() string { return s.ejectionsPath }

// RequestIDsPath returns the prefix of the paths of the files with request ids.
func (s *Store) RequestIDsPath() string { return s.requestsPath }

// Write replaces the content of the ejections file with names.
func (s *Store) Write(names []string) error {
	return s.Update(func([]string, error) ([]string, error) { return names, nil })
}

// Update replaces the names in the ejections file by those that change returns. No other process changes the
// file meanwhile. Without a file there are no names; err is as that of Read. An error of change is returned,
// and leaves the file as it is.
func (s *Store) Update(change func(names []string, err error) ([]string, error)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var written []byte
	err := files.Update(s.ejectionsPath, maxFileBytes, func(content []byte, err error) ([]byte, error) {
		names, _, err := s.parse(content, err)
		if names, err = change(names, err); err != nil {
			return nil, err
		}
		written = []byte(strings.Join(slices.Sorted(slices.Values(names)), "\n") + "\n")
		return written, nil
	})
	if err != nil {
		return fmt.Errorf("ejections: %w", err)
	}
	s.lastContent = written
	return nil
}

// Read returns the names in the ejections file, and whether the file has changed since this store last
// wrote or read it. A missing file is an empty set. A file that Write can't have written, such as a
// truncated one, is reported as unchanged, with an error that wraps files.ErrDamaged.
func (s *Store) Read() (names []string, changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names, content, err := s.parse(files.Read(s.ejectionsPath, maxFileBytes))
	if err != nil {
		return nil, false, err
	}
	stillEmpty := len(names) == 0 && s.lastContent == nil // before the first read the set is empty
	changed = !bytes.Equal(content, s.lastContent) && !stillEmpty
	s.lastContent = content
	return names, changed, nil
}

// parse returns the names in the content of the ejections file, which was read with the given error, and
// the content; that of a missing file is an empty set.
func (s *Store) parse(content []byte, err error) ([]string, []byte, error) {
	if errors.Is(err, fs.ErrNotExist) {
		content, err = []byte("\n"), nil
	}
	var names []string
	if err == nil {
		names, err = parseNames(content)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("ejections: %s: %w", s.ejectionsPath, err)
	}
	return names, content, nil
}

// parseNames parses one name per line. A last line without a line feed means that the file is truncated.
func parseNames(content []byte) (names []string, err error) {
	if !bytes.HasSuffix(content, []byte("\n")) {
		return nil, fmt.Errorf("%w: last line has no line feed", files.ErrDamaged)
	}
	for line := range strings.Lines(string(content)) {
		name := strings.TrimSpace(line)
		if name == "" {
			continue
		}
		if len(name) > maxNameBytes || strings.ContainsFunc(name, isControl) {
			return nil, fmt.Errorf("%w: line is not an engine name", files.ErrDamaged)
		}
		names = append(names, name)
	}
	return names, nil
}

// isControl reports whether r is an ASCII control character.
func isControl(r rune) bool { return r < ' ' || r == 0x7f }
