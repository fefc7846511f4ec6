package upstream

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"wellgw/internal/core"
)

// Bounds of one release.
const (
	releasePause   = 50 * time.Millisecond   // from one try to the next, growing
	releaseEvery   = 250 * time.Millisecond  // at most
	releaseConnect = 1200 * time.Millisecond // for a connection: some come up late
	releaseAnswer  = 300 * time.Millisecond  // for the answer, once there is one
	releaseTries   = 4                       // under way at once, over all releases at one engine
	elsewhereNext  = 30 * time.Millisecond   // from one other engine to the next: longer than the way there and back
)

var errStopped = errors.New("stopped")

// release is one call to let go, tried until it has arrived.
type release struct {
	engine *Engine
	core.Release
	call Call
	ctx  context.Context
	told chan struct{} // closed once At has been told
	once sync.Once
}

// Release tells an engine to let go; see core.Transport. The call has no effect but that, so it
// may be sent again, and several tries may be under way: one that waits for a connection
// must not keep the next from an engine that is back.
func (e *Engine) Release(r core.Release, done func(error)) (stop func()) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	call, given := e.dialect(r.Endpoint.Kind).Release(r.ClientRequestID)
	go func() {
		defer cancel()
		if !given {
			done(core.ErrNoRelease)
			return
		}
		job := &release{engine: e, Release: r, call: call, ctx: ctx, told: make(chan struct{})}
		done(job.run())
	}()
	return cancel
}

// turns bounds the tries under way at one address, over all releases that are to go there.
type turns struct {
	free     chan struct{}
	releases int
}

func (e *Engine) takeTurns(addr string) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.releasing[addr]
	if t == nil {
		t = &turns{free: make(chan struct{}, releaseTries)}
		e.releasing[addr] = t
	}
	t.releases++
	return t.free
}

func (e *Engine) leaveTurns(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.releasing[addr]
	if t.releases--; t.releases == 0 {
		delete(e.releasing, addr)
	}
}

// run tries until the engine has been told, or the time is over.
func (r *release) run() error {
	go r.tellElsewhere()
	for pause := releasePause; ; pause = min(2*pause, releaseEvery) {
		next := make(chan struct{})
		go r.try(next)
		if !r.wait(next) || !r.pause(pause) {
			return r.outcome()
		}
	}
}

// outcome is how the release has ended.
func (r *release) outcome() error {
	select {
	case <-r.told:
		return nil
	default:
		return errStopped
	}
}

// wait waits for a channel to close; false if the release is over before.
func (r *release) wait(event <-chan struct{}) bool {
	select {
	case <-r.told:
	case <-r.ctx.Done():
	case <-event:
		return true
	}
	return false
}

// pause lets time pass; false if the release is over before.
func (r *release) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.told:
	case <-r.ctx.Done():
	case <-t.C:
		return true
	}
	return false
}

// try tells the engine once. It closes next when another try may begin: at its own end, or
// once it has waited for long enough.
func (r *release) try(next chan<- struct{}) {
	again := sync.OnceFunc(func() { close(next) })
	defer again()
	late := time.AfterFunc(releaseEvery, again)
	defer late.Stop()
	if r.tell(r.Endpoint.Addr, r.call) == nil {
		r.once.Do(func() { close(r.told) })
	}
}

// tell makes the call once.
func (r *release) tell(addr string, call Call) error {
	turn := r.engine.takeTurns(addr)
	defer r.engine.leaveTurns(addr)
	select {
	case turn <- struct{}{}:
	case <-r.ctx.Done():
		return errStopped
	}
	leave := sync.OnceFunc(func() { <-turn })
	defer leave()
	ctx, done := context.WithTimeout(r.ctx, releaseConnect)
	defer done()
	c, err := r.engine.pool.getWithin(ctx, addr, 0)
	if err != nil {
		return err
	}
	if r.ctx.Err() != nil {
		r.engine.pool.put(c)
		return errStopped
	}
	c.SetDeadline(time.Now().Add(releaseAnswer))
	if err := write(c, call); err != nil {
		r.engine.pool.drop(c)
		return err
	}
	leave() // an engine that does not answer has been told, and must not keep others waiting
	_, _, err = r.engine.answer(c, releaseAnswer, r.engine.pool.put)
	return err
}

// tellElsewhere tells other engines as long as the engine itself has not been told. The next
// is begun with while the one before is still waited for. It is repeated: an attempt that
// waited for the state, so that it was not let go, may have been given up since.
func (r *release) tellElsewhere() {
	told, underway := make(chan int, len(r.Alternates)), make([]atomic.Bool, len(r.Alternates))
	pause := r.AlternatesAfter
	for n := 0; len(r.Alternates) > 0 && r.pause(pause); n++ {
		pause = elsewhereNext
		select {
		case n = <-told: // the one that is reached is told again
			if !r.pause(r.AlternatesInterval) {
				return
			}
		default:
		}
		if n %= len(r.Alternates); underway[n].CompareAndSwap(false, true) {
			go func() {
				defer underway[n].Store(false)
				r.tellOne(n, told)
			}()
		}
	}
}

// tellOne tells another engine once, and says so if it has been told.
func (r *release) tellOne(n int, told chan<- int) {
	m := r.Alternates[n]
	call, given := r.engine.dialect(m.Kind).Release(r.ClientRequestID)
	if !given || r.tell(m.Addr, call) != nil {
		return
	}
	select {
	case told <- n:
	default:
	}
}
