package core

import (
	"context"
	"runtime"
	"sync/atomic"

	"wellgw/routing"
)

// Submit hands a request to the core, which calls front.Answer exactly once unless Ticket.ClientGone is
// called first. The returned ticket identifies the request.
func (c *Core) Submit(request Request, front Front) *Ticket {
	t := &Ticket{core: c}
	c.post(requestSubmitted{t, request, front})
	return t
}

// Ticket identifies a submitted request.
type Ticket struct {
	core       *Core
	request    *requestState // owned by the core's goroutine
	clientGone atomic.Bool   // the client has disconnected
}

// ClientGone reports that the client has disconnected before its answer. No attempt is started after
// the call, even while the message about it waits in the core's queue.
func (t *Ticket) ClientGone() {
	t.clientGone.Store(true)
	t.core.post(clientGone{t})
}

// Finish reports how the stream of a Streaming answer ended. Relay calls it; a front that reads the
// stream without Relay must call it once, after Stream.Close or the stream's end.
func (t *Ticket) Finish(r Result) { t.core.post(streamEnded{t, r}) }

// MayHaveRun reports whether an attempt was sent that is not known to have been rejected; true if
// the core has ended.
func (t *Ticket) MayHaveRun(ctx context.Context) bool {
	notRun := runQuery(ctx, t.core, func() bool { return t.request != nil && !t.request.mayHaveRun() })
	return !notRun
}

// Sent reports whether a part of an attempt may have been written; true if the core has ended.
func (t *Ticket) Sent(ctx context.Context) bool {
	notSent := runQuery(ctx, t.core, func() bool { return t.request != nil && !t.request.sent() })
	return !notSent
}

// relayBufferSize is the size of the buffer between a stream and its client, in bytes. Events are small, and a
// gateway forwards many streams at once.
const relayBufferSize = 4 << 10

// Relay forwards a stream's events to write until it ends, and reports the end to the core. It
// returns nil only if the stream was forwarded completely. ctx is done when the client has disconnected:
// the attempt is then closed immediately, even if no event arrives.
func (t *Ticket) Relay(ctx context.Context, s Stream, write func([]byte) error) error {
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	defer s.Close()
	buf := make([]byte, relayBufferSize)
	for {
		n, err := s.Read(buf)
		if n > 0 {
			if werr := write(buf[:n]); werr != nil {
				s.Close()
				t.Finish(Result{Status: routing.StatusCancelled, Cause: werr})
				return werr
			}
		}
		if err == nil {
			runtime.Gosched() // a stream whose bytes have all arrived must not keep the processor from others
			continue
		}
		r := s.Result()
		if ctx.Err() != nil && r.Status != routing.StatusServed {
			r.Status = routing.StatusCancelled
		}
		t.Finish(r)
		if r.Status == routing.StatusServed {
			return nil
		}
		return err
	}
}
