package requestids

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"wellgw/decide/replay"
	"wellgw/internal/faultinject"
)

const (
	fileMode   = 0o600
	readBuffer = 1024 * recordSize // bytes
)

// journal is the files that the processes of a gateway share, one for each generation. Records are appended
// by single writes, which the system does not interleave. Killed processes lose no record that was
// appended; a crash of the machine ends the clients' connections too, so files are not synced.
type journal struct {
	prefix string
	open   map[int64]*generationFile
}

// generationFile is the file of one generation, up to where it has been read.
type generationFile struct {
	*os.File
	offset int64
}

func newJournal(prefix string) *journal {
	return &journal{prefix: prefix, open: map[int64]*generationFile{}}
}

func (j *journal) path(generation int64) string {
	return j.prefix + "-" + strconv.FormatInt(generation, 10)
}

// append appends a record to the file of a generation.
func (j *journal) append(generation int64, r replay.Record) error {
	file, err := j.file(generation, os.O_CREATE)
	if err != nil {
		return err
	}
	if err := faultinject.BeforeAppend(file.Name()); err != nil {
		return err
	}
	_, err = file.Write(encode(r))
	return err
}

// read applies the records of a generation that have not been read. A file that does not exist has none.
func (j *journal) read(generation int64, table *replay.Table) error {
	file, err := j.file(generation, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	buffer := make([]byte, recordSize)
	for {
		n, err := file.ReadAt(buffer, file.offset)
		for at := 0; at+recordSize <= n; at += recordSize {
			table.Apply(decode(buffer[at:]))
			file.offset += recordSize
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if len(buffer) < readBuffer { // more than the record of the caller
			buffer = make([]byte, readBuffer)
		}
	}
}

// file returns the file of a generation, and removes those that no generation needs when it opens one.
func (j *journal) file(generation int64, flags int) (*generationFile, error) {
	if file := j.open[generation]; file != nil {
		return file, nil
	}
	file, err := os.OpenFile(j.path(generation), os.O_RDWR|os.O_APPEND|flags, fileMode)
	if err != nil {
		return nil, err
	}
	j.open[generation] = &generationFile{File: file}
	j.removeOutdated(generation)
	return j.open[generation], nil
}

// closeBefore closes the files of generations before the given one.
func (j *journal) closeBefore(generation int64) {
	for g, file := range j.open {
		if g < generation {
			file.Close()
			delete(j.open, g)
		}
	}
}

// removeOutdated removes the files of generations that are two or more away from the given one. Those of
// later generations are from before a reboot. Errors are left to the next call.
func (j *journal) removeOutdated(generation int64) {
	dir, base := filepath.Split(j.prefix)
	entries, err := os.ReadDir(filepath.Clean(dir))
	if err != nil {
		return
	}
	for _, entry := range entries {
		number, found := strings.CutPrefix(entry.Name(), base+"-")
		other, err := strconv.ParseInt(number, 10, 64)
		if distance := other - generation; found && err == nil && (distance < -2 || distance > 2) {
			_ = os.Remove(filepath.Join(dir, entry.Name()))
		}
	}
}
