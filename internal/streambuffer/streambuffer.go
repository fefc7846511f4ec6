// Package streambuffer forwards an attempt's stream to a client, and decouples the two: a client that
// reads slowly must not occupy an engine's slot.
//
// While the client reads fast enough, one goroutine alternately reads and writes, and events that arrive
// together are written together. When a write has blocked for StallTimeout, a second goroutine begins to
// read ahead into a bounded buffer, so that the engine can finish. A stream that exceeds the buffer is
// cancelled immediately, and the client's stream ends with an error.
package streambuffer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"wellgw/internal/core"
	"wellgw/routing"
)

// ErrClientDisconnected is wrapped by errors of the client's connection, as opposed to errors of the
// stream.
var ErrClientDisconnected = errors.New("the client has disconnected")

// ErrSlowClient is returned for a stream that was cancelled because the bytes buffered for its client
// exceeded a limit.
var ErrSlowClient = errors.New("the client reads too slowly")

// Limits are the limits on the buffers of slow clients.
type Limits struct {
	StallTimeout time.Duration // a write that blocks for longer starts reading ahead
	PerClient    int           // maximum bytes that are buffered for one client
	available    atomic.Int64  // bytes that may still be buffered for all clients together
}

// NewLimits returns limits of perClient bytes for one client and of total bytes for all clients
// together.
func NewLimits(stallTimeout time.Duration, perClient int, total int64) *Limits {
	l := &Limits{StallTimeout: stallTimeout, PerClient: perClient}
	l.available.Store(total)
	return l
}

// Available returns the number of bytes that may still be buffered for all clients together.
func (l *Limits) Available() int64 { return l.available.Load() }

// Pipe has the functions that convert a stream's bytes and write them to the client.
type Pipe struct {
	// Convert appends to dst the bytes for the client that result from p, which has just arrived. It is
	// called by one goroutine at a time. An error cancels the stream.
	Convert func(dst, p []byte) ([]byte, error)
	// End appends the final bytes for the client after the stream has ended successfully.
	End func(dst []byte) ([]byte, error)
	// Write writes to the client. It may block until the client's write timeout. An error means that
	// the client has disconnected.
	Write func(p []byte) error
}

// Ticket receives the result of the stream; see core.Ticket.
type Ticket interface{ Finish(core.Result) }

// Sizes of buffers, in bytes. An output buffer that has grown past maxPooledOutput is not pooled.
const (
	readSize        = 16 << 10
	outputSize      = 16 << 10
	maxPooledOutput = 64 << 10
)

var (
	readBuffers   = sync.Pool{New: func() any { return new([readSize]byte) }}
	outputBuffers = sync.Pool{New: func() any { b := make([]byte, 0, outputSize); return &b }}
)

// forwarder forwards one stream.
type forwarder struct {
	Pipe
	limits *Limits
	ctx    context.Context
	stream core.Stream
	ticket Ticket

	mu            sync.Mutex
	bufferChanged sync.Cond // signalled when buffered or readDone changes
	writeStarted  time.Time // of the current write; zero if there is none
	buffering     bool      // readAhead owns the stream
	buffered      []byte
	readDone      bool        // readAhead has read the end of the stream or cancelled it
	err           error       // why readAhead ended; nil after a complete stream
	stopped       bool        // readAhead must not be started
	stallTimer    *time.Timer // calls checkStall
}

// Run forwards a stream until it ends, and reports the result to the ticket. It returns nil only if the
// stream was forwarded completely. The caller cancels ctx when the client disconnects; Run then closes
// the attempt immediately.
func Run(ctx context.Context, t Ticket, s core.Stream, p Pipe, l *Limits) error {
	f := &forwarder{Pipe: p, limits: l, ctx: ctx, stream: s, ticket: t}
	f.bufferChanged.L = &f.mu
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	defer s.Close()
	f.mu.Lock()
	f.stallTimer = time.AfterFunc(l.StallTimeout, f.checkStall)
	f.mu.Unlock()
	defer f.stop()
	buf := readBuffers.Get().(*[readSize]byte)
	defer readBuffers.Put(buf)
	pooled := outputBuffers.Get().(*[]byte)
	out := *pooled
	defer func() {
		if cap(out) > 0 && cap(out) <= maxPooledOutput {
			*pooled = out[:0]
			outputBuffers.Put(pooled)
		}
	}()
	for {
		var err error
		var ended bool
		out, ended, err = f.read(out[:0], buf[:])
		if ended {
			f.stop() // the stream has ended: nothing remains to be read ahead
		}
		if len(out) > 0 {
			readingAhead, writeErr := f.write(out)
			if writeErr != nil {
				return f.clientDisconnected(ended, readingAhead, writeErr)
			}
			if readingAhead && !ended {
				swap := out
				out = nil // writeBuffered swaps it with the buffer, so it must not be pooled
				return f.writeBuffered(swap)
			}
		}
		if ended {
			return err
		}
		// Yields to other goroutines that are ready, so that events that arrive meanwhile are written
		// together. Gosched returns immediately if no goroutine is ready.
		runtime.Gosched()
	}
}

// read reads from the stream, and appends the converted bytes to out. If it returns ended, it has
// reported the result to the ticket.
func (f *forwarder) read(out, buf []byte) (_ []byte, ended bool, err error) {
	n, err := f.stream.Read(buf)
	if n > 0 {
		var convertErr error
		if out, convertErr = f.Convert(out, buf[:n]); convertErr != nil {
			f.stream.Close()
			f.ticket.Finish(core.Result{Status: routing.StatusError, Cause: convertErr})
			return out, true, convertErr
		}
	}
	if err == nil {
		return out, false, nil
	}
	res := f.stream.Result()
	if res.Status == routing.StatusServed {
		var convertErr error
		if out, convertErr = f.End(out); convertErr != nil {
			res.Status, res.Cause, err = routing.StatusError, convertErr, convertErr
		}
	}
	if f.ctx.Err() != nil && res.Status != routing.StatusServed {
		res.Status = routing.StatusCancelled
	}
	f.ticket.Finish(res)
	if res.Status == routing.StatusServed {
		err = nil
	} else if err == nil || errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return out, true, err
}

// write writes to the client, and reports whether readAhead owns the stream.
func (f *forwarder) write(out []byte) (readingAhead bool, err error) {
	f.mu.Lock()
	f.writeStarted = time.Now()
	f.mu.Unlock()
	err = f.Write(out)
	f.mu.Lock()
	f.writeStarted = time.Time{}
	readingAhead = f.buffering
	f.mu.Unlock()
	return readingAhead, err
}

// clientDisconnected ends the forwarding after a failed write. If ended is true, the stream had ended
// before.
func (f *forwarder) clientDisconnected(ended, readingAhead bool, err error) error {
	f.stream.Close()
	switch {
	case readingAhead: // readAhead reports to the ticket, and returns soon
		f.mu.Lock()
		for !f.readDone {
			f.bufferChanged.Wait()
		}
		f.limits.available.Add(int64(len(f.buffered)))
		f.buffered = nil
		f.mu.Unlock()
	case !ended:
		f.ticket.Finish(core.Result{Status: routing.StatusCancelled, Cause: err})
	}
	return fmt.Errorf("%w: %w", ErrClientDisconnected, err)
}

// checkStall starts readAhead if the current write has blocked for StallTimeout, and otherwise runs again
// after StallTimeout.
func (f *forwarder) checkStall() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped || f.buffering {
		return
	}
	if f.writeStarted.IsZero() || time.Since(f.writeStarted) < f.limits.StallTimeout {
		f.stallTimer.Reset(f.limits.StallTimeout)
		return
	}
	f.buffering = true
	go f.readAhead()
}

// stop prevents readAhead from being started.
func (f *forwarder) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	f.stallTimer.Stop()
}

// readAhead reads the remaining stream into the buffer. It owns the stream, and returns when the stream
// has ended or is closed: Run closes it when Run returns.
func (f *forwarder) readAhead() {
	buf := readBuffers.Get().(*[readSize]byte)
	defer readBuffers.Put(buf)
	var out []byte
	for {
		var err error
		var ended bool
		out, ended, err = f.read(out[:0], buf[:])
		f.mu.Lock()
		fits := len(f.buffered)+len(out) <= f.limits.PerClient
		if fits && f.limits.available.Add(-int64(len(out))) < 0 {
			f.limits.available.Add(int64(len(out)))
			fits = false
		}
		if fits {
			f.buffered = append(f.buffered, out...)
		}
		if !fits && !ended {
			f.mu.Unlock()
			f.stream.Close()
			f.ticket.Finish(core.Result{Status: routing.StatusCancelled, Cause: ErrSlowClient})
			f.mu.Lock()
		}
		if !fits {
			ended, err = true, ErrSlowClient
		}
		f.readDone, f.err = ended, err
		f.bufferChanged.Signal()
		f.mu.Unlock()
		if ended {
			return
		}
	}
}

// writeBuffered writes the bytes that readAhead buffers, until the stream has ended. It reuses out as
// the next buffer.
func (f *forwarder) writeBuffered(out []byte) error {
	for {
		f.mu.Lock()
		for len(f.buffered) == 0 && !f.readDone {
			f.bufferChanged.Wait()
		}
		out, f.buffered = f.buffered, out[:0]
		f.limits.available.Add(int64(len(out)))
		ended, err := f.readDone, f.err
		f.mu.Unlock()
		if len(out) > 0 {
			if writeErr := f.Write(out); writeErr != nil {
				return f.clientDisconnected(ended, true, writeErr)
			}
			continue
		}
		if ended {
			return err
		}
	}
}
