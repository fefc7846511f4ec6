// Package streambuffer passes an attempt's stream on to a client, and keeps the two apart: a
// client that is slow to read must not hold an engine's slot.
//
// As long as the client takes what it is given, one goroutine reads and writes in turn,
// and what has come together goes out together. Once a write has blocked for a moment, a
// helper reads on into a bounded store, so that the engine can end its work. A stream
// that outgrows the store is given up at once, its client told in what is left to it.
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

// ErrGone is wrapped by errors that tell of the client, not of the stream.
var ErrGone = errors.New("the client has gone")

// ErrSlow tells that a client has not read what was held for it.
var ErrSlow = errors.New("the client reads too slowly")

// Bounds are what slow clients may cost.
type Bounds struct {
	Stall time.Duration // a write that blocks for longer is slow
	Each  int           // bytes that are held for one client
	left  atomic.Int64  // for all together
}

// NewBounds returns bounds of so many bytes for all clients together.
func NewBounds(stall time.Duration, each int, all int64) *Bounds {
	b := &Bounds{Stall: stall, Each: each}
	b.left.Store(all)
	return b
}

// Left returns how many bytes may still be held.
func (b *Bounds) Left() int64 { return b.left.Load() }

// Pipe is what lies between a stream and its client.
type Pipe struct {
	// Take adds what a client is to get, now that p has come, to dst. It is called by one
	// goroutine at a time; an error gives the stream up.
	Take func(dst, p []byte) ([]byte, error)
	// End does the same once the stream has ended whole.
	End func(dst []byte) ([]byte, error)
	// Write gives the client what it is to get. It may block for as long as the client
	// is waited for; an error says that it has gone.
	Write func(p []byte) error
}

// Ticket is told how the stream ended; see core.Ticket.
type Ticket interface{ Finish(core.Result) }

// The sizes of buffers. One for output that has grown past outMost is not kept.
const (
	readSize = 16 << 10
	outSize  = 16 << 10
	outMost  = 64 << 10
)

var (
	buffers = sync.Pool{New: func() any { return new([readSize]byte) }}
	outputs = sync.Pool{New: func() any { b := make([]byte, 0, outSize); return &b }}
)

// run is one stream on its way.
type run struct {
	Pipe
	bounds *Bounds
	ctx    context.Context
	stream core.Stream
	ticket Ticket

	mu      sync.Mutex
	more    sync.Cond // something is held, or the helper is at its end
	since   time.Time // of the write under way; zero without
	helped  bool      // a helper reads
	held    []byte
	ended   bool // the helper has read to the end
	err     error
	stopped bool
	alarm   *time.Timer
}

// Run passes a stream on until it ends, tells the ticket how, and returns nil only if the
// whole of it was taken. When ctx ends the client has gone: the attempt is closed at once.
func Run(ctx context.Context, t Ticket, s core.Stream, p Pipe, b *Bounds) error {
	r := &run{Pipe: p, bounds: b, ctx: ctx, stream: s, ticket: t}
	r.more.L = &r.mu
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	defer s.Close()
	r.mu.Lock()
	r.alarm = time.AfterFunc(b.Stall, r.look)
	r.mu.Unlock()
	defer r.stop()
	buf := buffers.Get().(*[readSize]byte)
	defer buffers.Put(buf)
	store := outputs.Get().(*[]byte)
	out := *store
	defer func() {
		if cap(out) > 0 && cap(out) <= outMost {
			*store = out[:0]
			outputs.Put(store)
		}
	}()
	for {
		var err error
		var over bool
		out, over, err = r.read(out[:0], buf[:])
		if over {
			r.stop() // there is nothing left to help with
		}
		if len(out) > 0 {
			helped, werr := r.write(out)
			if werr != nil {
				return r.left(over, helped, werr)
			}
			if helped && !over {
				held := out
				out = nil // follow trades it for what is held
				return r.follow(held)
			}
		}
		if over {
			return err
		}
		// Others that are ready to run go first; what comes meanwhile goes out together. Where
		// none is, this returns at once.
		runtime.Gosched()
	}
}

// read takes in what comes next. Once the stream is over it has told the ticket how.
func (r *run) read(out, buf []byte) (_ []byte, over bool, err error) {
	n, err := r.stream.Read(buf)
	if n > 0 {
		var wrong error
		if out, wrong = r.Take(out, buf[:n]); wrong != nil {
			r.stream.Close()
			r.ticket.Finish(core.Result{Status: routing.StatusError, Cause: wrong})
			return out, true, wrong
		}
	}
	if err == nil {
		return out, false, nil
	}
	res := r.stream.Result()
	if res.Status == routing.StatusServed {
		var wrong error
		if out, wrong = r.End(out); wrong != nil {
			res.Status, res.Cause, err = routing.StatusError, wrong, wrong
		}
	}
	if r.ctx.Err() != nil && res.Status != routing.StatusServed {
		res.Status = routing.StatusCancelled
	}
	r.ticket.Finish(res)
	if res.Status == routing.StatusServed {
		err = nil
	} else if err == nil || errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return out, true, err
}

// write gives the client what it is to get, and tells whether a helper has begun to read.
func (r *run) write(out []byte) (helped bool, err error) {
	r.mu.Lock()
	r.since = time.Now()
	r.mu.Unlock()
	err = r.Write(out)
	r.mu.Lock()
	r.since = time.Time{}
	helped = r.helped
	r.mu.Unlock()
	return helped, err
}

// left ends a run whose client has gone; over tells that the stream had ended before.
func (r *run) left(over, helped bool, err error) error {
	r.stream.Close()
	switch {
	case helped: // the helper tells the ticket, and is on its way out
		r.mu.Lock()
		for !r.ended {
			r.more.Wait()
		}
		r.bounds.left.Add(int64(len(r.held)))
		r.held = nil
		r.mu.Unlock()
	case !over:
		r.ticket.Finish(core.Result{Status: routing.StatusCancelled, Cause: err})
	}
	return fmt.Errorf("%w: %w", ErrGone, err)
}

// look begins to help if a write has blocked for too long.
func (r *run) look() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped || r.helped {
		return
	}
	if r.since.IsZero() || time.Since(r.since) < r.bounds.Stall {
		r.alarm.Reset(r.bounds.Stall)
		return
	}
	r.helped = true
	go r.help()
}

func (r *run) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.alarm.Stop()
}

// help reads on into what is held. It owns the stream from then on.
func (r *run) help() {
	buf := buffers.Get().(*[readSize]byte)
	defer buffers.Put(buf)
	var out []byte
	for {
		var err error
		var over bool
		out, over, err = r.read(out[:0], buf[:])
		r.mu.Lock()
		fits := len(r.held)+len(out) <= r.bounds.Each
		if fits && r.bounds.left.Add(-int64(len(out))) < 0 {
			r.bounds.left.Add(int64(len(out)))
			fits = false
		}
		if fits {
			r.held = append(r.held, out...)
		}
		if !fits && !over {
			r.mu.Unlock()
			r.stream.Close()
			r.ticket.Finish(core.Result{Status: routing.StatusCancelled, Cause: ErrSlow})
			r.mu.Lock()
		}
		if !fits {
			over, err = true, ErrSlow
		}
		r.ended, r.err = over, err
		r.more.Signal()
		r.mu.Unlock()
		if over {
			return
		}
	}
}

// follow writes what the helper has read until there is no more.
func (r *run) follow(out []byte) error {
	for {
		r.mu.Lock()
		for len(r.held) == 0 && !r.ended {
			r.more.Wait()
		}
		out, r.held = r.held, out[:0]
		r.bounds.left.Add(int64(len(out)))
		ended, err := r.ended, r.err
		r.mu.Unlock()
		if len(out) > 0 {
			if werr := r.Write(out); werr != nil {
				return r.left(ended, true, werr)
			}
			continue
		}
		if ended {
			return err
		}
	}
}
