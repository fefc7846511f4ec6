package engine

import (
	"context"
	"slices"
	"time"
)

// speed returns the engine's current fraction of its full speed. The caller holds e.mu.
func (e *Engine) speed(now time.Time) float64 {
	fraction := 1.0
	coldSince := e.started
	if e.roleChangedAt.After(coldSince) {
		coldSince = e.roleChangedAt
	}
	if age := now.Sub(coldSince); age < e.WarmUp {
		fraction = e.ColdSpeedFraction + (1-e.ColdSpeedFraction)*float64(age)/float64(e.WarmUp)
	}
	return fraction / e.slowdown
}

// overloadedBy records work that arrives while the engine is cold, and reports whether the work within
// OverloadWindow makes it crash. The caller holds e.mu.
func (e *Engine) overloadedBy(now time.Time, work float64) bool {
	if e.OverloadFactor <= 0 || now.Sub(e.started) >= e.WarmUp && now.Sub(e.roleChangedAt) >= e.WarmUp {
		return false
	}
	e.coldWork = append(e.coldWork, coldArrival{now, work})
	sum := 0.0
	for i := len(e.coldWork) - 1; i >= 0 && now.Sub(e.coldWork[i].at) < e.OverloadWindow; i-- {
		sum += e.coldWork[i].work
	}
	return sum > e.OverloadFactor*e.speed(now)*e.OverloadWindow.Seconds()*float64(e.Slots)
}

// acquireSlot reserves memory and waits for a slot. It returns errNoCapacity without waiting if the engine
// drains, or its memory or queue is full.
func (e *Engine) acquireSlot(ctx context.Context, tokens int) error {
	e.mu.Lock()
	if e.draining || e.roleDraining || e.memoryUsed+tokens > e.Memory {
		e.mu.Unlock()
		return errNoCapacity
	}
	if e.running < e.Slots {
		e.running++
		e.memoryUsed += tokens
		e.mu.Unlock()
		return nil
	}
	if len(e.waiting) >= e.Queue {
		e.mu.Unlock()
		return errNoCapacity
	}
	slot := make(chan struct{})
	e.waiting = append(e.waiting, slot)
	e.memoryUsed += tokens
	process := e.processContext
	e.mu.Unlock()
	select {
	case <-slot:
		return nil
	case <-ctx.Done():
	case <-process.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memoryUsed -= tokens
	if i := slices.Index(e.waiting, slot); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return errStopped
	}
	e.passSlot() // the slot was assigned at the time of the cancellation
	return errStopped
}

// passSlot gives a slot to the first waiting request, or frees it. The caller holds e.mu.
func (e *Engine) passSlot() {
	if len(e.waiting) > 0 {
		close(e.waiting[0])
		e.waiting = e.waiting[1:]
		return
	}
	e.running--
}

// finish frees the slot and memory of a request.
func (e *Engine) finish(process context.Context, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.processContext != process {
		return // the engine was restarted since: its counters were reset
	}
	e.memoryUsed -= tokens
	e.passSlot()
}

func (e *Engine) freeMemory(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memoryUsed = max(0, e.memoryUsed-tokens)
}

// CountRunning returns the number of occupied slots.
func (e *Engine) CountRunning() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// work waits for the duration of work that takes d at full speed. It returns false if ctx ends before.
func (e *Engine) work(ctx context.Context, d time.Duration) bool {
	e.mu.Lock()
	d = time.Duration(float64(d) / e.speed(time.Now()))
	e.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
