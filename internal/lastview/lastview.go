// Package lastview keeps the last good view of the engines on disk, so that a
// gateway that starts while its sources are away serves at once.
//
// The file is one line of header and one of JSON. It is replaced whole: written
// beside, synced and renamed. A database was weighed and left (docs/design/consul.md):
// the view is small, is always written whole, and a damaged file that is mapped into
// memory can end the process.
package lastview

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/roster"
	"wellgw/internal/files"
)

// The header is magic, version, and the sum of the body in hex.
const (
	magic   = "wellgw-view"
	version = 1
	maxFile = 64 << 20
)

// ErrDamaged is wrapped by every error of Load that tells of the file's content.
var ErrDamaged = errors.New("the file is damaged")

// View is what is kept.
type View struct {
	SavedAt time.Time
	Entries []roster.StoredEntry
	Indexes []Index
}

// Index is how far a source had come.
type Index struct {
	Source roster.Source
	Index  uint64
}

// IndexOf returns the indexes by source.
func (v View) IndexOf() map[roster.Source]uint64 {
	m := make(map[roster.Source]uint64, len(v.Indexes))
	for _, i := range v.Indexes {
		m[i.Source] = i.Index
	}
	return m
}

var codec = jsoniter.ConfigCompatibleWithStandardLibrary

// Save replaces the file at path.
func Save(path string, v View) error {
	body, err := codec.Marshal(v)
	if err != nil {
		return fmt.Errorf("last view: %w", err)
	}
	text := fmt.Appendf(nil, "%s %d %016x\n", magic, version, xxhash.Sum64(body))
	if err := files.WriteAtomic(path, append(text, body...)); err != nil {
		return fmt.Errorf("last view: %w", err)
	}
	return nil
}

// Load reads the file at path. It returns an error that wraps fs.ErrNotExist if
// there is none, and one that wraps ErrDamaged if it can't be what Save wrote.
func Load(path string) (View, error) {
	raw, err := files.Read(path, maxFile)
	if errors.Is(err, files.ErrDamaged) {
		return View{}, fmt.Errorf("last view: %w: %w", ErrDamaged, err)
	}
	if err != nil {
		return View{}, fmt.Errorf("last view: %w", err)
	}
	head, body, _ := bytes.Cut(raw, []byte("\n"))
	field := bytes.Fields(head)
	if len(field) != 3 || string(field[0]) != magic {
		return View{}, fmt.Errorf("last view: %w: no header", ErrDamaged)
	}
	if string(field[1]) != strconv.Itoa(version) {
		return View{}, fmt.Errorf("last view: %w: version %s is not %d", ErrDamaged, field[1], version)
	}
	if string(field[2]) != fmt.Sprintf("%016x", xxhash.Sum64(body)) {
		return View{}, fmt.Errorf("last view: %w: the sum is wrong", ErrDamaged)
	}
	var v View
	if err := codec.Unmarshal(body, &v); err != nil {
		return View{}, fmt.Errorf("last view: %w: %w", ErrDamaged, err)
	}
	return v, nil
}

// SetAside renames a damaged file, so that the next Save does not destroy what a
// person may want to look at, and returns its new name.
func SetAside(path string, now time.Time) (string, error) {
	to := path + ".damaged-" + now.UTC().Format("20060102T150405.000")
	if err := os.Rename(path, to); err != nil {
		return "", fmt.Errorf("last view: set aside: %w", err)
	}
	return to, nil
}
