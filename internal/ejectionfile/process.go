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

// Process identifies one process of a gateway. While two of them share the clients' socket, the
// successor takes the clients once it is ready, and the predecessor accepts no more.
//
// Started orders the processes. It is the wall clock's time at the start or, if that is not later
// than every stamp that this gateway's processes have recorded, the latest stamp plus one
// nanosecond (see Claim): after the clock is stepped back, no predecessor counts as a successor.
type Process struct {
	Started time.Time
	PID     int
}

// SupersededBy reports whether other started after p. The process id decides between equal stamps.
func (p Process) SupersededBy(other Process) bool {
	if !other.Started.Equal(p.Started) {
		return other.Started.After(p.Started)
	}
	return other.PID > p.PID
}

// Claim returns the identity of the calling process as the latest of its gateway, and records it, so
// that a process that starts later is ordered after it whatever the wall clock says by then. If it
// returns an error, the identity is still later than all that could be read.
func (s *Store) Claim(wall time.Time, pid int) (Process, error) {
	self := Process{Started: wall.Round(0), PID: pid}
	var errs []error
	for _, path := range []string{s.ejectionsPath, s.readyPath, s.claimPath} {
		errs = append(errs, files.RemoveStale(path))
	}
	for _, path := range []string{s.claimPath, s.readyPath} {
		former, err := readProcess(path)
		switch {
		case err == nil && !former.Started.Before(self.Started):
			self.Started = former.Started.Add(1)
		case err != nil && !errors.Is(err, fs.ErrNotExist):
			errs = append(errs, err)
		}
	}
	errs = append(errs, writeProcess(s.claimPath, self))
	return self, errors.Join(errs...)
}

// MarkReady records that self is ready to serve.
func (s *Store) MarkReady(self Process) error { return writeProcess(s.readyPath, self) }

// ReadyProcess returns the process that recorded last that it was ready; false if none did or its
// mark can't be read.
func (s *Store) ReadyProcess() (Process, bool) {
	process, err := readProcess(s.readyPath)
	return process, err == nil
}

// writeProcess writes a process as its start in nanoseconds of Unix time and its id.
func writeProcess(path string, p Process) error {
	return files.WriteAtomic(path, fmt.Appendf(nil, "%d %d\n", p.Started.UnixNano(), p.PID))
}

// readProcess reads what writeProcess wrote. A truncated file could name an earlier or a later
// process; it wraps files.ErrDamaged.
func readProcess(path string) (Process, error) {
	text, err := files.Read(path, maxFileBytes)
	if err != nil {
		return Process{}, err
	}
	fields := strings.Fields(string(text))
	if len(fields) != 2 || !strings.HasSuffix(string(text), "\n") {
		return Process{}, fmt.Errorf("%s: %w: not a start and a process id", path, files.ErrDamaged)
	}
	started, startedErr := strconv.ParseInt(fields[0], 10, 64)
	pid, pidErr := strconv.Atoi(fields[1])
	if err := errors.Join(startedErr, pidErr); err != nil {
		return Process{}, fmt.Errorf("%s: %w: %w", path, files.ErrDamaged, err)
	}
	return Process{Started: time.Unix(0, started), PID: pid}, nil
}
