package ejectionfile

import (
	"errors"
	"fmt"
	"io/fs"
	"strconv"
	"strings"
	"time"

	"wellgw/internal/files"
)

// Self is one process of a gateway. Of two that share the clients' socket, the
// newer takes the clients once it is ready; the older then takes nothing new.
//
// Started orders the processes. It is the wall clock's time at the start or, where that is not
// later, one more than any process of this gateway has had (see Claim): a clock that was put back
// makes no earlier process the newer one.
type Self struct {
	Started time.Time
	PID     int
}

// Newer tells whether o began after s; a tie goes by the process id.
func (s Self) Newer(o Self) bool {
	if !o.Started.Equal(s.Started) {
		return o.Started.After(s.Started)
	}
	return o.PID > s.PID
}

// Claim returns this process as the newest of its gateway, and writes that down: a process that
// starts later is newer, whatever the wall clock says by then. With an error the result is still
// newer than all that could be read.
func (s *Store) Claim(wall time.Time, pid int) (Self, error) {
	self := Self{Started: wall.Round(0), PID: pid}
	var errs []error
	for _, path := range []string{s.path, s.ready, s.claim} {
		errs = append(errs, files.RemoveStale(path))
	}
	for _, path := range []string{s.claim, s.ready} {
		former, err := readSelf(path)
		switch {
		case err == nil && !former.Started.Before(self.Started):
			self.Started = former.Started.Add(1)
		case err != nil && !errors.Is(err, fs.ErrNotExist):
			errs = append(errs, err)
		}
	}
	errs = append(errs, writeSelf(s.claim, self))
	return self, errors.Join(errs...)
}

// MarkReady says in the file beside the ejections that self is ready to serve.
func (s *Store) MarkReady(self Self) error { return writeSelf(s.ready, self) }

// Ready returns the process that last said it was ready; false if none did.
func (s *Store) Ready() (Self, bool) {
	self, err := readSelf(s.ready)
	return self, err == nil
}

func writeSelf(path string, self Self) error {
	return files.WriteAtomic(path, []byte(strconv.FormatInt(self.Started.UnixNano(), 10)+" "+strconv.Itoa(self.PID)+"\n"))
}

// readSelf reads a process. Half a file, which could name an earlier or later one, is an error.
func readSelf(path string) (Self, error) {
	text, err := files.Read(path, maxSize)
	if err != nil {
		return Self{}, err
	}
	field := strings.Fields(string(text))
	if len(field) != 2 || !strings.HasSuffix(string(text), "\n") {
		return Self{}, fmt.Errorf("%s: %w: not a start and a process id", path, files.ErrDamaged)
	}
	started, err1 := strconv.ParseInt(field[0], 10, 64)
	pid, err2 := strconv.Atoi(field[1])
	if err := errors.Join(err1, err2); err != nil {
		return Self{}, fmt.Errorf("%s: %w: %w", path, files.ErrDamaged, err)
	}
	return Self{Started: time.Unix(0, started), PID: pid}, nil
}
