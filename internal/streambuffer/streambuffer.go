// Package streambuffer forwards an attempt's stream to a client, and decouples the two: a client
// that is slow to read must not occupy an engine's slot.
//
// As long as the client keeps up, one goroutine reads and writes in turn, and events that arrive
// together are written together. Once a write has blocked for StallTimeout, a second goroutine reads
// ahead into a bounded buffer, so that the engine can finish. A stream that outgrows the buffer is
// cancelled at once, and the client's stream ends with an error.
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

// ErrClientDisconnected is wrapped by errors of the client's connection, as opposed to the stream's.
var ErrClientDisconnected = errors.New("the client has gone")

// ErrSlowClient means that a client has not read what was buffered for it.
var ErrSlowClient = errors.New("the client reads too slowly")

// Limits bound the buffers of slow clients.
type Limits struct {
	StallTimeout time.Duration // a write that blocks for longer is slow
	PerClient    int           // bytes that are buffered for one client
	available    atomic.Int64  // bytes for all clients together
}

// NewLimits returns limits with a total of all bytes for all clients together.
func NewLimits(stall time.Duration, each int, all int64) *Limits {
	l := &Limits{StallTimeout: stall, PerClient: each}
	l.available.Store(all)
	return l
}

// Available returns how many bytes may still be buffered.
func (l *Limits) Available() int64 { return l.available.Load() }

// Pipe connects a stream with its client.
type Pipe struct {
	// Convert appends to dst what the client gets for p, which has just arrived. It is called by one
	// goroutine at a time; an error cancels the stream.
	Convert func(dst, p []byte) ([]byte, error)
	// End does the same once the stream has ended completely.
	End func(dst []byte) ([]byte, error)
	// Write writes to the client. It may block for as long as the client's write timeout; an error
	// means that the client has disconnected.
	Write func(p []byte) error
}

// Ticket is notified how the stream ended; see core.Ticket.
type Ticket interface{ Finish(core.Result) }

// Sizes of buffers, in bytes. An output buffer that has grown past maxPooledOutput is not pooled.
const (
	readSize        = 16 << 10
	outputSize      = 16 << 10
	maxPooledOutput = 64 << 10
)

var (
	buffers = sync.Pool{New: func() any { return new([readSize]byte) }}
	outputs = sync.Pool{New: func() any { b := make([]byte, 0, outputSize); return &b }}
)

// forwarder forwards one stream.
type forwarder struct {
	Pipe
	limits *Limits
	ctx    context.Context
	stream core.Stream
	ticket Ticket

	mu           sync.Mutex
	changed      sync.Cond // buffered or readDone has changed
	writeStarted time.Time // of the current write; zero without
	buffering    bool      // readAhead owns the stream
	buffered     []byte
	readDone     bool // readAhead has reached the end
	err          error
	stopped      bool
	stallTimer   *time.Timer
}

// Run forwards a stream until it ends, reports the end to the ticket, and returns nil only if it was
// forwarded completely. When ctx ends, the client has disconnected: the attempt is closed at once.
func Run(ctx context.Context, t Ticket, s core.Stream, p Pipe, l *Limits) error {
	f := &forwarder{Pipe: p, limits: l, ctx: ctx, stream: s, ticket: t}
	f.changed.L = &f.mu
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	defer s.Close()
	f.mu.Lock()
	f.stallTimer = time.AfterFunc(l.StallTimeout, f.checkStall)
	f.mu.Unlock()
	defer f.stop()
	buf := buffers.Get().(*[readSize]byte)
	defer buffers.Put(buf)
	store := outputs.Get().(*[]byte)
	out := *store
	defer func() {
		if cap(out) > 0 && cap(out) <= maxPooledOutput {
			*store = out[:0]
			outputs.Put(store)
		}
	}()
	for {
		var err error
		var over bool
		out, over, err = f.read(out[:0], buf[:])
		if over {
			f.stop() // there is nothing left to read ahead
		}
		if len(out) > 0 {
			readingAhead, werr := f.write(out)
			if werr != nil {
				return f.clientGone(over, readingAhead, werr)
			}
			if readingAhead && !over {
				held := out
				out = nil // writeBuffered swaps it with the buffer
				return f.writeBuffered(held)
			}
		}
		if over {
			return err
		}
		// Other goroutines that are ready run first, and events that arrive meanwhile are written
		// together. If none is ready, this returns at once.
		runtime.Gosched()
	}
}

// read reads the next part. Once the stream has ended it has notified the ticket.
func (f *forwarder) read(out, buf []byte) (_ []byte, over bool, err error) {
	n, err := f.stream.Read(buf)
	if n > 0 {
		var takeErr error
		if out, takeErr = f.Convert(out, buf[:n]); takeErr != nil {
			f.stream.Close()
			f.ticket.Finish(core.Result{Status: routing.StatusError, Cause: takeErr})
			return out, true, takeErr
		}
	}
	if err == nil {
		return out, false, nil
	}
	res := f.stream.Result()
	if res.Status == routing.StatusServed {
		var takeErr error
		if out, takeErr = f.End(out); takeErr != nil {
			res.Status, res.Cause, err = routing.StatusError, takeErr, takeErr
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

// write writes to the client, and reports whether readAhead has taken over the stream.
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

// clientGone ends the forwarding after a failed write; over means that the stream had ended before.
func (f *forwarder) clientGone(over, readingAhead bool, err error) error {
	f.stream.Close()
	switch {
	case readingAhead: // readAhead notifies the ticket, and is about to return
		f.mu.Lock()
		for !f.readDone {
			f.changed.Wait()
		}
		f.limits.available.Add(int64(len(f.buffered)))
		f.buffered = nil
		f.mu.Unlock()
	case !over:
		f.ticket.Finish(core.Result{Status: routing.StatusCancelled, Cause: err})
	}
	return fmt.Errorf("%w: %w", ErrClientDisconnected, err)
}

// checkStall begins to read ahead if a write has blocked for too long.
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

func (f *forwarder) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	f.stallTimer.Stop()
}

// readAhead reads the rest of the stream into the buffer. It owns the stream from then on, and ends
// with it: Run closes the stream when it returns.
func (f *forwarder) readAhead() {
	buf := buffers.Get().(*[readSize]byte)
	defer buffers.Put(buf)
	var out []byte
	for {
		var err error
		var over bool
		out, over, err = f.read(out[:0], buf[:])
		f.mu.Lock()
		fits := len(f.buffered)+len(out) <= f.limits.PerClient
		if fits && f.limits.available.Add(-int64(len(out))) < 0 {
			f.limits.available.Add(int64(len(out)))
			fits = false
		}
		if fits {
			f.buffered = append(f.buffered, out...)
		}
		if !fits && !over {
			f.mu.Unlock()
			f.stream.Close()
			f.ticket.Finish(core.Result{Status: routing.StatusCancelled, Cause: ErrSlowClient})
			f.mu.Lock()
		}
		if !fits {
			over, err = true, ErrSlowClient
		}
		f.readDone, f.err = over, err
		f.changed.Signal()
		f.mu.Unlock()
		if over {
			return
		}
	}
}

// writeBuffered writes what readAhead has read until the end.
func (f *forwarder) writeBuffered(out []byte) error {
	for {
		f.mu.Lock()
		for len(f.buffered) == 0 && !f.readDone {
			f.changed.Wait()
		}
		out, f.buffered = f.buffered, out[:0]
		f.limits.available.Add(int64(len(out)))
		ended, err := f.readDone, f.err
		f.mu.Unlock()
		if len(out) > 0 {
			if werr := f.Write(out); werr != nil {
				return f.clientGone(ended, true, werr)
			}
			continue
		}
		if ended {
			return err
		}
	}
}
