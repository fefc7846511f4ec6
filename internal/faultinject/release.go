//go:build !faultinject

// Package faultinject lets system calls fail and the wall clock step, as Linux documents, in builds
// with the tag faultinject. In any other build each function does only what its name says; CI checks
// that the release holds none of the rest.
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

// Read reads from a descriptor; it may be interrupted or bring less than there is.
func Read(fd int, p []byte) (int, error) { return syscall.Read(fd, p) }

// Reader returns a reader of a file whose reads may fail.
func Reader(r io.Reader) io.Reader { return r }

// BeforeWrite is called before a file is replaced; an error stands for one of open, write, fsync or rename.
func BeforeWrite(string, []byte) error { return nil }

// WallClock returns the time on the wall clock, which may be stepped.
func WallClock() time.Time { return time.Now() }
