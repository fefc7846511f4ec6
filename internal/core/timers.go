package core

import (
	"container/heap"
	"time"
)

// timers is a heap of messages, ordered by the time when each is due. It is owned by the core's goroutine.
type timers struct{ list timerHeap }

// timer is a message that is due at a time. What it refers to stays in memory until it is due or stopped.
type timer struct {
	at      time.Time
	message message
	index   int // in the heap; negative once it has left the heap
}

func (t *timers) add(at time.Time, m message) *timer {
	entry := &timer{at: at, message: m}
	heap.Push(&t.list, entry)
	return entry
}

// stop removes a timer. It has no effect on nil or on a timer that was due.
func (t *timers) stop(entry *timer) {
	if entry != nil && entry.index >= 0 {
		heap.Remove(&t.list, entry.index)
	}
}

// untilNext returns the time until the next message is due, maxWait if there is none.
func (t *timers) untilNext(now time.Time) time.Duration {
	if len(t.list) == 0 {
		return maxWait
	}
	return max(0, t.list[0].at.Sub(now))
}

// maxWait is the wait while no timer is set.
const maxWait = time.Hour

// popDue removes and returns the next message that is due, nil if there is none.
func (t *timers) popDue(now time.Time) message {
	if len(t.list) == 0 || t.list[0].at.After(now) {
		return nil
	}
	return heap.Pop(&t.list).(*timer).message
}

type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	entry := x.(*timer)
	entry.index = len(*h)
	*h = append(*h, entry)
}

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil // so that the timer can be garbage collected
	*h = old[:len(old)-1]
	last.index = -1
	return last
}

// schedule sets a timer that handles a message after d.
func (c *Core) schedule(d time.Duration, m message) *timer {
	return c.timers.add(time.Now().Add(d), m)
}
