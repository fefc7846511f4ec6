// Package files reads and replaces small files whole.
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

// ErrDamaged is wrapped by errors about what a file holds.
var ErrDamaged = errors.New("the file is damaged")

const (
	mode     = 0o600
	staleAge = time.Minute // a temporary file that old was left by a process that was killed
)

// Read returns what the file at path holds. One that is larger than limit bytes wraps ErrDamaged.
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

// WriteAtomic replaces the file at path: written beside it under a name of its own, synced, then
// renamed. A reader sees the former content or the new one, and so does the next process if this
// one is killed meanwhile.
func WriteAtomic(path string, text []byte) error {
	if err := faultinject.BeforeWrite(path, text); err != nil {
		return err
	}
	return renameio.WriteFile(path, text, mode, renameio.WithTempDir(filepath.Dir(path)))
}

// RemoveStale removes what processes that were killed have left beside path of WriteAtomic.
func RemoveStale(path string) error {
	dir, base := filepath.Split(path)
	entries, err := os.ReadDir(filepath.Clean(dir))
	if err != nil {
		return err
	}
	var errs []error
	for _, entry := range entries {
		number, temporary := strings.CutPrefix(entry.Name(), "."+base)
		if !temporary || strings.Trim(number, "0123456789") != "" || number == "" {
			continue
		}
		info, err := entry.Info()
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err == nil && time.Since(info.ModTime()) > staleAge {
			err = os.Remove(filepath.Join(dir, entry.Name()))
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
