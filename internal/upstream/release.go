package upstream

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"wellgw/internal/core"
)

// Limits of one release.
const (
	initialReleaseBackoff  = 50 * time.Millisecond   // between attempts; doubles
	maxReleaseBackoff      = 250 * time.Millisecond  // largest backoff
	unansweredDelay        = 60 * time.Millisecond   // longest that an unanswered attempt delays the next
	releaseConnectTimeout  = 1200 * time.Millisecond // some connections are established late
	releaseResponseTimeout = 300 * time.Millisecond  // for the response, once connected
	releaseConcurrency     = 4                       // attempts that begin at one engine within slotTimeout, over all releases
	slotTimeout            = 250 * time.Millisecond  // for which a connection that does not come up keeps others waiting
	alternateInterval      = 30 * time.Millisecond   // from one alternate to the next: longer than a round trip
)

var errStopped = errors.New("stopped")

// release is one release of held state, retried until it is delivered.
type release struct {
	engine *Client
	core.Release
	call      Call
	ctx       context.Context
	delivered chan struct{} // closed once Endpoint has answered
	once      sync.Once
}

// Release releases held state; see core.Transport. The call is idempotent, so it may be retried, and
// several attempts may be in flight: one that waits for a connection must not delay the next to an
// engine that has recovered.
func (e *Client) Release(r core.Release, done func(error)) (stop func()) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	call, given := e.dialect(r.Endpoint.Kind).Release(r.ClientRequestID)
	go func() {
		defer cancel()
		if !given {
			done(core.ErrReleaseUnsupported)
			return
		}
		job := &release{engine: e, Release: r, call: call, ctx: ctx, delivered: make(chan struct{})}
		done(job.run())
	}()
	return cancel
}

// releaseSlots bounds the attempts in flight at one address, over all releases to it.
type releaseSlots struct {
	free     chan struct{}
	releases int
}

func (e *Client) acquireSlots(addr string) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.releasing[addr]
	if t == nil {
		t = &releaseSlots{free: make(chan struct{}, releaseConcurrency)}
		e.releasing[addr] = t
	}
	t.releases++
	return t.free
}

func (e *Client) dropSlots(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.releasing[addr]
	if t.releases--; t.releases == 0 {
		delete(e.releasing, addr)
	}
}

// run makes attempts until the engine has answered, or the release ends.
func (r *release) run() error {
	go r.notifyAlternates()
	take := takeConn(r.engine.pool.getForRelease)
	for pause := initialReleaseBackoff; ; pause = min(2*pause, maxReleaseBackoff) {
		next := make(chan struct{})
		go r.attempt(next, take)
		take = r.engine.pool.dialNew // pooled connections may all be lost, as the one before seems to be
		if !r.wait(next) || !r.sleep(pause) {
			return r.outcome()
		}
	}
}

// outcome returns how the release has ended.
func (r *release) outcome() error {
	select {
	case <-r.delivered:
		return nil
	default:
		return errStopped
	}
}

// wait waits for a channel to close; false if the release ends before.
func (r *release) wait(event <-chan struct{}) bool {
	select {
	case <-r.delivered:
	case <-r.ctx.Done():
	case <-event:
		return true
	}
	return false
}

// sleep waits for a duration; false if the release ends before.
func (r *release) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.delivered:
	case <-r.ctx.Done():
	case <-t.C:
		return true
	}
	return false
}

// attempt sends the release once. It closes next when another attempt may begin: at its own end, or
// after unansweredDelay.
func (r *release) attempt(next chan<- struct{}, take takeConn) {
	again := sync.OnceFunc(func() { close(next) })
	defer again()
	late := time.AfterFunc(unansweredDelay, again)
	defer late.Stop()
	if r.send(r.Endpoint.Addr, r.call, take) == nil {
		r.once.Do(func() { close(r.delivered) })
	}
}

// takeConn takes or opens a connection to an address.
type takeConn func(ctx context.Context, addr string) (*conn, error)

// send makes the call once, within a slot of the address, on a connection that take returns.
func (r *release) send(addr string, call Call, take takeConn) error {
	turn := r.engine.acquireSlots(addr)
	defer r.engine.dropSlots(addr)
	select {
	case turn <- struct{}{}:
	case <-r.ctx.Done():
		return errStopped
	}
	leave := sync.OnceFunc(func() { <-turn })
	defer leave()
	defer time.AfterFunc(slotTimeout, leave).Stop()
	ctx, done := context.WithTimeout(r.ctx, releaseConnectTimeout)
	defer done()
	c, err := take(ctx, addr)
	if err != nil {
		return err
	}
	if r.ctx.Err() != nil {
		r.engine.pool.put(c)
		return errStopped
	}
	c.SetDeadline(time.Now().Add(releaseResponseTimeout))
	if err := writeCall(c, call); err != nil {
		r.engine.pool.discard(c, closedFailed)
		return err
	}
	leave() // the call is written: an engine that does not answer must not keep others waiting
	_, _, err = r.engine.readResponse(c, releaseResponseTimeout, r.engine.pool.put)
	return err
}

// notifyAlternates sends the release to the alternates while the engine itself has not answered. The
// next one is sent while the one before is still in flight. They are repeated: the state was not
// released if an attempt waited for it, and that attempt may have been cancelled since.
func (r *release) notifyAlternates() {
	answered, underway := make(chan int, len(r.Alternates)), make([]atomic.Bool, len(r.Alternates))
	pause := r.AlternateDelay
	for n := 0; len(r.Alternates) > 0 && r.sleep(pause); n++ {
		pause = alternateInterval
		select {
		case n = <-answered: // the alternate that is reachable is notified again
			if !r.sleep(r.AlternateInterval) {
				return
			}
		default:
		}
		if which := n % len(r.Alternates); underway[which].CompareAndSwap(false, true) {
			go func() {
				defer underway[which].Store(false)
				r.notifyAlternate(which, answered)
			}()
		}
	}
}

// notifyAlternate sends the release to one alternate, and reports its number if it has answered.
func (r *release) notifyAlternate(n int, answered chan<- int) {
	m := r.Alternates[n]
	call, given := r.engine.dialect(m.Kind).Release(r.ClientRequestID)
	if !given || r.sendTwice(m.Addr, call) != nil {
		return
	}
	select {
	case answered <- n:
	default:
	}
}

// sendTwice makes the call on a pooled connection and, if that brings no answer soon, on a new one: the
// pooled one may be lost though its engine can be reached.
func (r *release) sendTwice(addr string, call Call) error {
	answered := make(chan error, 1)
	go func() { answered <- r.send(addr, call, r.engine.pool.getForRelease) }()
	late := time.NewTimer(unansweredDelay)
	defer late.Stop()
	select {
	case err := <-answered:
		if err == nil {
			return nil
		}
	case <-late.C:
	case <-r.ctx.Done():
		return errStopped
	}
	return r.send(addr, call, r.engine.pool.dialNew)
}
