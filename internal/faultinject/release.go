//go:build !faultinject

// Package faultinject makes system calls fail and the wall clock step, in ways that Linux
// documents, in builds with the tag faultinject. In other builds each function only forwards to the
// real operation; CI checks that the release binary contains no other code of this package.
package faultinject

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"
)

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Listener returns a listener whose Accept may fail.
func Listener(l net.Listener) net.Listener { return l }

// Dial opens a connection, which may fail.
func Dial(ctx context.Context, network, address string, dial DialFunc) (net.Conn, error) {
	return dial(ctx, network, address)
}

// Read reads from a file descriptor. It may be interrupted or return fewer bytes than are
// available.
func Read(fd int, p []byte) (int, error) { return syscall.Read(fd, p) }

// Reader returns a reader of a file whose reads may fail.
func Reader(r io.Reader) io.Reader { return r }

// BeforeWrite is called before a file is replaced. Its error simulates a failed open, write, fsync
// or rename.
func BeforeWrite(string, []byte) error { return nil }

// BeforeAppend is called before a file is appended to. Its error simulates a failed open or write.
func BeforeAppend(string) error { return nil }

// WallClock returns the wall clock time, to which steps may be applied.
func WallClock() time.Time { return time.Now() }
