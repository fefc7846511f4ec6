// Package lastview stores the last good view of the engines on disk, so that a gateway that starts while
// its sources are unavailable can serve immediately.
//
// The file has a header line and a line of JSON, and is replaced atomically. A database is not used
// (docs/design/consul.md), because the view is small and always written completely, and because a
// damaged file that is mapped into memory can crash the process.
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

// The header consists of the magic string, the format version, and the checksum of the body in hex.
const (
	magic   = "wellgw-view"
	version = 1
)

const maxFileBytes = 64 << 20 // far above the size that Save writes

// ErrDamaged is wrapped by every error of Load about the file's content.
var ErrDamaged = errors.New("the file is damaged")

// View is the content of the file. Its JSON keys are the Go field names of its types, including types of
// package roster that have no JSON tags: renaming such a field changes the file format.
type View struct {
	SavedAt time.Time
	Entries []roster.StoredEntry
	Indexes []Index
}

// Index is the last index received from a source.
type Index struct {
	Source roster.Source
	Index  uint64
}

// IndexBySource returns the indexes by source.
func (v View) IndexBySource() map[roster.Source]uint64 {
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
	content := fmt.Appendf(nil, "%s %d %s\n", magic, version, checksum(body))
	if err := files.WriteAtomic(path, append(content, body...)); err != nil {
		return fmt.Errorf("last view: %w", err)
	}
	return nil
}

// Load reads the file at path. Its error wraps fs.ErrNotExist if there is no file, and ErrDamaged if Save
// can't have written the content of the file.
func Load(path string) (View, error) {
	raw, err := files.Read(path, maxFileBytes)
	if errors.Is(err, files.ErrDamaged) {
		return View{}, fmt.Errorf("last view: %w: %w", ErrDamaged, err)
	}
	if err != nil {
		return View{}, fmt.Errorf("last view: %w", err)
	}
	header, body, _ := bytes.Cut(raw, []byte("\n"))
	if err := checkHeader(header, body); err != nil {
		return View{}, err
	}
	var v View
	if err := codec.Unmarshal(body, &v); err != nil {
		return View{}, fmt.Errorf("last view: %w: %w", ErrDamaged, err)
	}
	return v, nil
}

// checkHeader checks the header, including its checksum of body.
func checkHeader(header, body []byte) error {
	fields := bytes.Fields(header)
	if len(fields) != 3 || string(fields[0]) != magic {
		return fmt.Errorf("last view: %w: no header", ErrDamaged)
	}
	if string(fields[1]) != strconv.Itoa(version) {
		return fmt.Errorf("last view: %w: version %s is not %d", ErrDamaged, fields[1], version)
	}
	if string(fields[2]) != checksum(body) {
		return fmt.Errorf("last view: %w: checksum mismatch", ErrDamaged)
	}
	return nil
}

func checksum(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// RenameDamaged renames a damaged file, so that the next Save does not overwrite content that may be
// needed for analysis, and returns the new path.
func RenameDamaged(path string, now time.Time) (string, error) {
	renamed := path + ".damaged-" + now.UTC().Format("20060102T150405.000")
	if err := os.Rename(path, renamed); err != nil {
		return "", fmt.Errorf("last view: rename damaged file: %w", err)
	}
	return renamed, nil
}
