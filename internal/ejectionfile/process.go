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

// Process identifies a process of a gateway. While two processes share the client socket, the successor
// starts accepting connections once it is ready, and the predecessor then stops accepting.
//
// Started orders the processes. It is the wall clock time at the start of the process or, if that is not
// later than all start times that processes of this gateway have recorded, the latest of them plus one
// nanosecond (see Claim). This keeps a predecessor from being treated as a successor after the wall
// clock is stepped back.
type Process struct {
	Started time.Time
	PID     int
}

// SupersededBy reports whether other started after p. Equal start times are ordered by process ID.
func (p Process) SupersededBy(other Process) bool {
	if !other.Started.Equal(p.Started) {
		return other.Started.After(p.Started)
	}
	return other.PID > p.PID
}

// Claim returns an identity for the calling process that is later than all recorded ones of its gateway,
// and records it, so that processes that start later are ordered after it even if the wall clock is
// stepped back. If Claim returns an error, the identity is still later than all that could be read.
func (s *Store) Claim(now time.Time, pid int) (Process, error) {
	self := Process{Started: now.Round(0), PID: pid}
	var errs []error
	for _, path := range []string{s.ejectionsPath, s.readyPath, s.claimPath} {
		errs = append(errs, files.RemoveStale(path))
	}
	for _, path := range []string{s.claimPath, s.readyPath} {
		recorded, err := readProcess(path)
		switch {
		case err == nil && !recorded.Started.Before(self.Started):
			self.Started = recorded.Started.Add(1)
		case err != nil && !errors.Is(err, fs.ErrNotExist):
			errs = append(errs, err)
		}
	}
	errs = append(errs, writeProcess(s.claimPath, self))
	return self, errors.Join(errs...)
}

// MarkReady writes the ready mark of self, which records that self is ready to serve.
func (s *Store) MarkReady(self Process) error { return writeProcess(s.readyPath, self) }

// ReadyProcess returns the process that was the last to write a ready mark; false if there is no mark or
// it can't be read.
func (s *Store) ReadyProcess() (Process, bool) {
	process, err := readProcess(s.readyPath)
	return process, err == nil
}

// writeProcess writes the start time of p, in nanoseconds of Unix time, and its process ID.
func writeProcess(path string, p Process) error {
	return files.WriteAtomic(path, fmt.Appendf(nil, "%d %d\n", p.Started.UnixNano(), p.PID))
}

// readProcess reads a file written by writeProcess. It rejects a truncated file with an error that wraps
// files.ErrDamaged, since cut-off numbers would identify an earlier or a later process.
func readProcess(path string) (Process, error) {
	content, err := files.Read(path, maxFileBytes)
	if err != nil {
		return Process{}, err
	}
	fields := strings.Fields(string(content))
	if len(fields) != 2 || !strings.HasSuffix(string(content), "\n") {
		return Process{}, fmt.Errorf("%s: %w: want a start time and a process ID", path, files.ErrDamaged)
	}
	started, startedErr := strconv.ParseInt(fields[0], 10, 64)
	pid, pidErr := strconv.Atoi(fields[1])
	if err := errors.Join(startedErr, pidErr); err != nil {
		return Process{}, fmt.Errorf("%s: %w: %w", path, files.ErrDamaged, err)
	}
	return Process{Started: time.Unix(0, started), PID: pid}, nil
}
