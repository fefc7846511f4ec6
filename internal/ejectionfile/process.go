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
	for _, path := range []string{s.readyPath, s.claimPath} {
		recorded, err := readProcess(path)
		if self, err = self.after(recorded, err); err != nil {
			errs = append(errs, err)
		}
	}
	err := files.Update(s.claimPath, maxFileBytes, func(content []byte, err error) ([]byte, error) {
		claimed, err := parseProcess(s.claimPath, content, err) // again, as it may have changed meanwhile
		self, _ = self.after(claimed, err)
		return self.format(), nil
	})
	return self, errors.Join(append(errs, err)...)
}

// after returns p with a start time after that of a recorded process, which was read with the given error.
func (p Process) after(recorded Process, err error) (Process, error) {
	if err == nil && !recorded.Started.Before(p.Started) {
		p.Started = recorded.Started.Add(1)
	}
	if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	return p, err
}

// MarkReady writes the ready mark of self, which records that self is ready to serve, unless the mark is
// that of a process that started later.
func (s *Store) MarkReady(self Process) error {
	return files.Update(s.readyPath, maxFileBytes, func(content []byte, err error) ([]byte, error) {
		if ready, err := parseProcess(s.readyPath, content, err); err == nil && self.SupersededBy(ready) {
			return nil, nil
		}
		return self.format(), nil
	})
}

// ReadyProcess returns the process that was the last to write a ready mark; false if there is no mark or
// it can't be read.
func (s *Store) ReadyProcess() (Process, bool) {
	process, err := readProcess(s.readyPath)
	return process, err == nil
}

// format returns the start time of p, in nanoseconds of Unix time, and its process ID.
func (p Process) format() []byte { return fmt.Appendf(nil, "%d %d\n", p.Started.UnixNano(), p.PID) }

// readProcess reads a file with the format of Process.format.
func readProcess(path string) (Process, error) {
	content, err := files.Read(path, maxFileBytes)
	return parseProcess(path, content, err)
}

// parseProcess parses the content of the file at path, which was read with the given error. It rejects a
// truncated file with an error that wraps files.ErrDamaged, since cut-off numbers would identify an earlier
// or a later process.
func parseProcess(path string, content []byte, err error) (Process, error) {
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
