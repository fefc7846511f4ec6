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
	initialReleaseBackoff = 50 * time.Millisecond // between attempts; doubles
	maxReleaseBackoff     = 250 * time.Millisecond
	// Maximum delay of the next attempt by one that has no response yet.
	unansweredDelay        = 60 * time.Millisecond
	releaseConnectTimeout  = 1200 * time.Millisecond // some connections take this long to be established
	releaseResponseTimeout = 300 * time.Millisecond  // for the response, from the write on
	releaseConcurrency     = 4                       // attempts at one engine that hold a slot, over all releases
	// Maximum time for which a connect that does not complete occupies a slot.
	slotTimeout       = 250 * time.Millisecond
	alternateInterval = 30 * time.Millisecond // from one alternate to the next: longer than a round trip
)

var errReleaseStopped = errors.New("stopped")

// release is one release of held state, retried until it is delivered.
type release struct {
	client *Client
	core.Release
	call      Call
	ctx       context.Context
	delivered chan struct{} // closed once Endpoint has responded
	once      sync.Once
}

// Release releases held state; see core.Transport. The call is idempotent, so it may be retried,
// and several attempts may be in flight: one that waits for a connection must not delay the next,
// as the engine may have recovered.
func (client *Client) Release(r core.Release, done func(error)) (stop func()) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	call, supported := client.dialect(r.Endpoint.Kind).Release(r.ClientRequestID)
	go func() {
		defer cancel()
		if !supported {
			done(core.ErrReleaseUnsupported)
			return
		}
		task := &release{client: client, Release: r, call: call, ctx: ctx, delivered: make(chan struct{})}
		done(task.run())
	}()
	return cancel
}

// releaseSlots bounds the attempts in flight at one address, over all releases to it.
type releaseSlots struct {
	free     chan struct{}
	releases int
}

func (client *Client) acquireSlots(addr string) chan struct{} {
	client.mu.Lock()
	defer client.mu.Unlock()
	slots := client.releaseSlots[addr]
	if slots == nil {
		slots = &releaseSlots{free: make(chan struct{}, releaseConcurrency)}
		client.releaseSlots[addr] = slots
	}
	slots.releases++
	return slots.free
}

func (client *Client) returnSlots(addr string) {
	client.mu.Lock()
	defer client.mu.Unlock()
	slots := client.releaseSlots[addr]
	if slots.releases--; slots.releases == 0 {
		delete(client.releaseSlots, addr)
	}
}

// run makes attempts until the engine has responded, or the release ends.
func (r *release) run() error {
	go r.notifyAlternates()
	acquire := acquireConn(r.client.pool.getForRelease)
	for delay := initialReleaseBackoff; ; delay = min(2*delay, maxReleaseBackoff) {
		next := make(chan struct{})
		go r.attempt(next, acquire)
		acquire = r.client.pool.dialNew // all pooled connections may be lost if the previous one is lost
		if !r.wait(next) || !r.sleep(delay) {
			return r.outcome()
		}
	}
}

// outcome returns nil if the release was delivered.
func (r *release) outcome() error {
	select {
	case <-r.delivered:
		return nil
	default:
		return errReleaseStopped
	}
}

// wait waits for a channel to close. It returns false if the release ends first.
func (r *release) wait(done <-chan struct{}) bool {
	select {
	case <-r.delivered:
	case <-r.ctx.Done():
	case <-done:
		return true
	}
	return false
}

// sleep waits for a duration. It returns false if the release ends first.
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

// attempt sends the release once. It closes next when another attempt may begin: at the end of this
// one, or after unansweredDelay.
func (r *release) attempt(next chan<- struct{}, acquire acquireConn) {
	allowNext := sync.OnceFunc(func() { close(next) })
	defer allowNext()
	timer := time.AfterFunc(unansweredDelay, allowNext)
	defer timer.Stop()
	if r.send(r.Endpoint.Addr, r.call, acquire) == nil {
		r.once.Do(func() { close(r.delivered) })
	}
}

// acquireConn returns a pooled or new connection to an address.
type acquireConn func(ctx context.Context, addr string) (*conn, error)

// send makes the call once, within a slot of the address, on a connection from acquire.
func (r *release) send(addr string, call Call, acquire acquireConn) error {
	slots := r.client.acquireSlots(addr)
	defer r.client.returnSlots(addr)
	select {
	case slots <- struct{}{}:
	case <-r.ctx.Done():
		return errReleaseStopped
	}
	freeSlot := sync.OnceFunc(func() { <-slots })
	defer freeSlot()
	defer time.AfterFunc(slotTimeout, freeSlot).Stop()
	ctx, done := context.WithTimeout(r.ctx, releaseConnectTimeout)
	defer done()
	c, err := acquire(ctx, addr)
	if err != nil {
		return err
	}
	if r.ctx.Err() != nil {
		r.client.pool.put(c)
		return errReleaseStopped
	}
	c.SetDeadline(time.Now().Add(releaseResponseTimeout))
	if err := writeCall(c, call); err != nil {
		r.client.pool.discard(c, closedFailed)
		return err
	}
	freeSlot() // the call is written: an unresponsive engine must not block other releases
	_, _, err = r.client.readResponse(c, releaseResponseTimeout, r.client.pool.put)
	return err
}

// notifyAlternates sends the release to the alternates while the engine itself has not responded.
// The next alternate is notified while the previous call may still be in flight. Notifications
// repeat: an engine does not release state for which an attempt waits, and that attempt may have
// been cancelled since.
func (r *release) notifyAlternates() {
	answered, inFlight := make(chan int, len(r.Alternates)), make([]atomic.Bool, len(r.Alternates))
	delay := r.AlternateDelay
	for n := 0; len(r.Alternates) > 0 && r.sleep(delay); n++ {
		delay = alternateInterval
		select {
		case n = <-answered: // the reachable alternate is notified again
			if !r.sleep(r.AlternateInterval) {
				return
			}
		default:
		}
		if index := n % len(r.Alternates); inFlight[index].CompareAndSwap(false, true) {
			go func() {
				defer inFlight[index].Store(false)
				r.notifyAlternate(index, answered)
			}()
		}
	}
}

// notifyAlternate sends the release to one alternate, and sends the alternate's index to answered
// if it has responded.
func (r *release) notifyAlternate(n int, answered chan<- int) {
	alternate := r.Alternates[n]
	call, supported := r.client.dialect(alternate.Kind).Release(r.ClientRequestID)
	if !supported || r.sendWithFallback(alternate.Addr, call) != nil {
		return
	}
	select {
	case answered <- n:
	default:
	}
}

// sendWithFallback makes the call on a pooled connection and, if there is no response within
// unansweredDelay, on a new one: the pooled connection may be lost although its engine is
// reachable.
func (r *release) sendWithFallback(addr string, call Call) error {
	answered := make(chan error, 1)
	go func() { answered <- r.send(addr, call, r.client.pool.getForRelease) }()
	timer := time.NewTimer(unansweredDelay)
	defer timer.Stop()
	select {
	case err := <-answered:
		if err == nil {
			return nil
		}
	case <-timer.C:
	case <-r.ctx.Done():
		return errReleaseStopped
	}
	return r.send(addr, call, r.client.pool.dialNew)
}
