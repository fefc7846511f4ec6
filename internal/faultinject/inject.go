//go:build faultinject

// Package faultinject makes system calls fail and the wall clock step, in ways that Linux
// documents, by a schedule that is derived from a seed.
package faultinject

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// EnvVar is the environment variable that contains a Schedule as JSON.
const EnvVar = "WELLGW_FAULTS"

// Schedule configures the faults. Times are in milliseconds since the start of the process.
type Schedule struct {
	Seed    uint64        `json:"seed"`
	Accept  float64       `json:"accept"`  // fraction of accepts that fail
	Connect float64       `json:"connect"` // fraction of connects that fail
	Read    float64       `json:"read"`    // fraction of reads from clients that are interrupted or short
	Break   float64       `json:"break"`   // fraction of reads from engines that fail with a network error
	Files   []FaultWindow `json:"files"`   // periods in which files can't be written and, with EIO, not read
	Steps   []Step        `json:"steps"`   // steps of the wall clock
	// Number of the file write in the middle of which the process is killed; 0 for none.
	Kill int `json:"kill"`
}

// FaultWindow is a period of time in which file operations fail with an error.
type FaultWindow struct {
	From  int64         `json:"from"`
	To    int64         `json:"to"`
	Errno syscall.Errno `json:"errno"`
}

// Step is a step of the wall clock.
type Step struct {
	At int64 `json:"at"`
	By int64 `json:"by"`
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

var (
	started  = time.Now()
	schedule = loadSchedule()
	mu       sync.Mutex
	random   = rand.New(rand.NewPCG(schedule.Seed, 1))
	writes   int
)

func loadSchedule() (s Schedule) {
	value := os.Getenv(EnvVar)
	if value == "" {
		return s
	}
	if err := json.Unmarshal([]byte(value), &s); err != nil {
		panic(fmt.Sprintf("%s: %v", EnvVar, err))
	}
	return s
}

// drawFault returns true with the given probability.
func drawFault(probability float64) bool {
	mu.Lock()
	defer mu.Unlock()
	return probability > 0 && random.Float64() < probability
}

func pickErrno(errnos []syscall.Errno) syscall.Errno {
	mu.Lock()
	defer mu.Unlock()
	return errnos[random.IntN(len(errnos))]
}

func netError(op string, errno syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, errno)}
}

type listener struct{ net.Listener }

// Listener returns a listener whose Accept may fail.
func Listener(l net.Listener) net.Listener { return listener{l} }

// Accept fails at random. A later call accepts the pending connection.
func (l listener) Accept() (net.Conn, error) {
	if drawFault(schedule.Accept) {
		return nil, netError("accept", pickErrno([]syscall.Errno{
			syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN,
		}))
	}
	return l.Listener.Accept()
}

// Dial opens a connection, which may fail.
func Dial(ctx context.Context, network, address string, dial DialFunc) (net.Conn, error) {
	if drawFault(schedule.Connect) {
		return nil, netError("connect", pickErrno([]syscall.Errno{
			syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.ENFILE, syscall.EHOSTUNREACH, syscall.ETIMEDOUT,
		}))
	}
	c, err := dial(ctx, network, address)
	if err != nil || schedule.Break <= 0 {
		return c, err
	}
	return &conn{c}, nil
}

// conn is a connection to an engine whose reads may fail with a network error.
type conn struct{ net.Conn }

func (c *conn) Read(p []byte) (int, error) {
	if drawFault(schedule.Break) {
		c.Conn.Close()
		return 0, netError("read", pickErrno([]syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET}))
	}
	return c.Conn.Read(p)
}

// SyscallConn returns access to the file descriptor, as *net.TCPConn does.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Read reads from a file descriptor. It may be interrupted or return fewer bytes than are
// available.
func Read(fd int, p []byte) (int, error) {
	if drawFault(schedule.Read) {
		if drawFault(0.5) {
			return -1, syscall.EINTR
		}
		p = p[:min(len(p), 1)]
	}
	return syscall.Read(fd, p)
}

// fileError returns the error with which file operations fail now, nil for none.
func fileError() error {
	now := time.Since(started).Milliseconds()
	for _, s := range schedule.Files {
		if now >= s.From && now < s.To {
			return s.Errno
		}
	}
	return nil
}

type reader struct{ io.Reader }

// Reader returns a reader of a file whose reads may fail.
func Reader(r io.Reader) io.Reader { return reader{r} }

func (r reader) Read(p []byte) (int, error) {
	if err := fileError(); err == syscall.EIO {
		return 0, err
	}
	return r.Reader.Read(p)
}

// BeforeAppend is called before a file is appended to. Its error simulates a failed open or write.
func BeforeAppend(path string) error {
	if err := fileError(); err != nil {
		return &os.PathError{Op: "write", Path: path, Err: err}
	}
	return nil
}

// BeforeWrite is called before a file is replaced. Its error simulates a failed open, write, fsync
// or rename.
func BeforeWrite(path string, data []byte) error {
	mu.Lock()
	writes++
	kill := writes == schedule.Kill
	mu.Unlock()
	if kill {
		partial := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+"1")
		_ = os.WriteFile(partial, data[:len(data)/2], 0o600)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	if err := fileError(); err != nil {
		return &os.PathError{Op: "write", Path: path, Err: err}
	}
	return nil
}

// WallClock returns the wall clock time, to which steps may be applied.
func WallClock() time.Time {
	now := time.Now()
	elapsed := now.Sub(started).Milliseconds()
	for _, s := range schedule.Steps {
		if elapsed >= s.At {
			now = now.Add(time.Duration(s.By) * time.Millisecond)
		}
	}
	return now
}
