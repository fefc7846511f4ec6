//go:build faultinject

// Package faultinject lets system calls fail and the wall clock step, as Linux documents, by a
// schedule that follows from a seed.
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

// Variable is the environment variable that holds a Schedule as JSON.
const Variable = "WELLGW_FAULTS"

// Schedule is what is to fail. Times are milliseconds since the start of the process.
type Schedule struct {
	Seed    uint64  `json:"seed"`
	Accept  float64 `json:"accept"`  // the part of accepts that fail
	Connect float64 `json:"connect"` // of connects
	Read    float64 `json:"read"`    // of reads of clients that are interrupted or short
	Break   float64 `json:"break"`   // of reads of engines that end with an error of the network
	Files   []Span  `json:"files"`   // in which files can't be written
	Steps   []Step  `json:"steps"`   // of the wall clock
	Kill    int     `json:"kill"`    // the process is killed in the middle of this file's write; 0 for none
}

// Span is a stretch of time with an error.
type Span struct {
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
	begun    = time.Now()
	schedule = load()
	mu       sync.Mutex
	random   = rand.New(rand.NewPCG(schedule.Seed, 1))
	writes   int
)

func load() (s Schedule) {
	text := os.Getenv(Variable)
	if text == "" {
		return s
	}
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		panic(fmt.Sprintf("%s: %v", Variable, err))
	}
	return s
}

// happens tells whether something of this probability happens now.
func happens(part float64) bool {
	mu.Lock()
	defer mu.Unlock()
	return part > 0 && random.Float64() < part
}

func pick(some []syscall.Errno) syscall.Errno {
	mu.Lock()
	defer mu.Unlock()
	return some[random.IntN(len(some))]
}

func failure(op string, errno syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, errno)}
}

type listener struct{ net.Listener }

// Listener returns a listener whose Accept may fail.
func Listener(l net.Listener) net.Listener { return listener{l} }

// Accept fails at times. The connection that waits is taken by a later call.
func (l listener) Accept() (net.Conn, error) {
	if happens(schedule.Accept) {
		return nil, failure("accept", pick([]syscall.Errno{
			syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN,
		}))
	}
	return l.Listener.Accept()
}

// Dial opens a connection, which may fail.
func Dial(ctx context.Context, network, address string, dial DialFunc) (net.Conn, error) {
	if happens(schedule.Connect) {
		return nil, failure("connect", pick([]syscall.Errno{
			syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.ENFILE, syscall.EHOSTUNREACH, syscall.ETIMEDOUT,
		}))
	}
	c, err := dial(ctx, network, address)
	if err != nil || schedule.Break <= 0 {
		return c, err
	}
	return &conn{c}, nil
}

// conn is a connection to an engine whose reads may end with an error of the network.
type conn struct{ net.Conn }

func (c *conn) Read(p []byte) (int, error) {
	if happens(schedule.Break) {
		c.Conn.Close()
		return 0, failure("read", pick([]syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET}))
	}
	return c.Conn.Read(p)
}

// SyscallConn gives the descriptor, as *net.TCPConn does.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Read reads from a descriptor; it may be interrupted or bring less than there is.
func Read(fd int, p []byte) (int, error) {
	if happens(schedule.Read) {
		if happens(0.5) {
			return -1, syscall.EINTR
		}
		p = p[:min(len(p), 1)]
	}
	return syscall.Read(fd, p)
}

// fileError is the error that files give now.
func fileError() error {
	now := time.Since(begun).Milliseconds()
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

// BeforeWrite is called before a file is replaced; an error stands for one of open, write, fsync or rename.
func BeforeWrite(path string, text []byte) error {
	mu.Lock()
	writes++
	kill := writes == schedule.Kill
	mu.Unlock()
	if kill {
		half := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+"1")
		_ = os.WriteFile(half, text[:len(text)/2], 0o600)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	if err := fileError(); err != nil {
		return &os.PathError{Op: "write", Path: path, Err: err}
	}
	return nil
}

// WallClock returns the time on the wall clock, which may be stepped.
func WallClock() time.Time {
	now := time.Now()
	since := now.Sub(begun).Milliseconds()
	for _, s := range schedule.Steps {
		if since >= s.At {
			now = now.Add(time.Duration(s.By) * time.Millisecond)
		}
	}
	return now
}
