package openai

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"time"
)

// answerMemoryFactor is the memory of an answer that is collected, relative to the bytes held of it: buffers
// grow in steps, and the encoded answer and its parts exist beside them at the end.
const answerMemoryFactor = 4

var errAnswerMemory = errors.New("the memory for answers is exhausted")

// answerBudget limits the memory of all answers that are collected before they are sent. A request reserves
// the expected memory of its answer before it is sent to an engine. If an answer turns out to be larger, its
// reservation grows, which may wait while engines' connections fill up; the oldest answer never waits, so
// that answers end and free their memory. So the limit may be exceeded by the size of one answer.
type answerBudget struct {
	mu        sync.Mutex
	capacity  int64
	available int64         // negative while the oldest answer exceeds the limit
	held      *list.List    // of *answerReservation, the oldest first
	waiting   *list.List    // of *answerReservation, in order of arrival
	growing   int           // reservations that wait to grow, which precede new ones
	changed   chan struct{} // closed and replaced when memory has become free
}

// newAnswerBudget returns a budget whose limit, with the excess of one answer, is about total bytes.
func newAnswerBudget(total int64) *answerBudget {
	capacity := max(total-maxResponseBytes*answerMemoryFactor, total/2)
	return &answerBudget{capacity: capacity, available: capacity, held: list.New(), waiting: list.New(), changed: make(chan struct{})}
}

// answerReservation is the memory of one answer.
type answerReservation struct {
	budget  *answerBudget
	bytes   int64
	element *list.Element // in held or waiting
	granted chan struct{} // closed once the reservation is held
}

// reserve reserves the memory for an answer of the given size. It waits for at most the given time, and
// returns errAnswerMemory or the error of ctx if there is no memory by then.
func (b *answerBudget) reserve(ctx context.Context, size int, wait time.Duration) (*answerReservation, error) {
	r := b.enqueue(size)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	err := error(nil)
	select {
	case <-r.granted:
		return r, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = errAnswerMemory
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-r.granted: // meanwhile
		return r, nil
	default:
		b.waiting.Remove(r.element)
		return nil, err
	}
}

// enqueue adds a reservation to those that wait, and grants it if it is its turn.
func (b *answerBudget) enqueue(size int) *answerReservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &answerReservation{budget: b, bytes: min(answerMemory(size), b.capacity), granted: make(chan struct{})}
	r.element = b.waiting.PushBack(r)
	b.grantWaiting()
	return r
}

// answerMemory returns the memory of an answer of which the given number of bytes is held.
func answerMemory(size int) int64 { return int64(size) * answerMemoryFactor }

// grantWaiting grants reservations in order while there is memory. b.mu must be held.
func (b *answerBudget) grantWaiting() {
	for b.growing == 0 && b.waiting.Len() > 0 {
		r := b.waiting.Front().Value.(*answerReservation)
		if r.bytes > b.available && b.held.Len() > 0 {
			return
		}
		b.waiting.Remove(r.element)
		r.element = b.held.PushBack(r)
		b.available -= r.bytes
		close(r.granted)
	}
}

// grow extends the reservation to an answer of the given size. It waits until there is memory, or the
// reservation is the oldest. It returns the error of ctx if that ends first.
func (r *answerReservation) grow(ctx context.Context, size int) error {
	for {
		changed := r.tryGrow(answerMemory(size))
		if changed == nil {
			return nil
		}
		select {
		case <-changed:
			r.budget.stopWaiting()
		case <-ctx.Done():
			r.budget.stopWaiting()
			return ctx.Err()
		}
	}
}

// tryGrow extends the reservation. If there is no memory, it returns a channel that is closed when there may
// be; the caller must then call stopWaiting.
func (r *answerReservation) tryGrow(bytes int64) <-chan struct{} {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	more := bytes - r.bytes
	if more <= 0 {
		return nil
	}
	if more > b.available && b.held.Front() != r.element {
		b.growing++
		return b.changed
	}
	b.available -= more
	r.bytes = bytes
	return nil
}

// stopWaiting ends the wait of a reservation that could not grow.
func (b *answerBudget) stopWaiting() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.growing--
	b.grantWaiting()
}

// release frees the reserved memory. It does nothing for nil.
func (r *answerReservation) release() {
	if r == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held.Remove(r.element)
	b.available += r.bytes
	close(b.changed)
	b.changed = make(chan struct{})
	b.grantWaiting()
}
