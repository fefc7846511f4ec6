// Package files reads small files, and replaces them atomically, also where several processes change one.
package files

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/renameio/v2"

	"wellgw/internal/faultinject"
)

// ErrDamaged is wrapped by errors about invalid content of a file.
var ErrDamaged = errors.New("the file is damaged")

const (
	fileMode = 0o600
	staleAge = time.Minute // an older temporary file is from a process that was killed
)

// Read returns the content of the file at path. A file larger than limit bytes is an error that wraps
// ErrDamaged.
func Read(path string, limit int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(faultinject.Reader(f), limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > limit {
		return nil, fmt.Errorf("%s: %w: over %d bytes", path, ErrDamaged, limit)
	}
	return text, nil
}

// WriteAtomic replaces the file at path: it writes text to a temporary file in the same directory, syncs the
// file and renames it. Readers see either the previous or the new content, even if the process is killed
// during the call.
func WriteAtomic(path string, text []byte) error {
	if err := faultinject.BeforeWrite(path, text); err != nil {
		return err
	}
	return renameio.WriteFile(path, text, fileMode, renameio.WithTempDir(filepath.Dir(path)))
}

// RemoveStale removes the temporary files for path that WriteAtomic created in processes that were killed.
func RemoveStale(path string) error {
	dir, base := filepath.Split(path)
	entries, err := os.ReadDir(filepath.Clean(dir))
	if err != nil {
		return err
	}
	var errs []error
	for _, entry := range entries {
		if isTemporary(entry.Name(), base) {
			errs = append(errs, removeIfStale(dir, entry))
		}
	}
	return errors.Join(errs...)
}

// isTemporary reports whether name has renameio's format for a temporary file for base: a dot, base, and a
// number.
func isTemporary(name, base string) bool {
	number, ok := strings.CutPrefix(name, "."+base)
	return ok && number != "" && strings.Trim(number, "0123456789") == ""
}

func removeIfStale(dir string, entry fs.DirEntry) error {
	info, err := entry.Info()
	if errors.Is(err, fs.ErrNotExist) { // the process that created it has renamed it
		return nil
	}
	if err == nil && time.Since(info.ModTime()) > staleAge {
		err = os.Remove(filepath.Join(dir, entry.Name()))
	}
	return err
}
