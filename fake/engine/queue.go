package engine

import (
	"context"
	"slices"
	"time"
)

// pace is what share of its speed it has now. The lock is held.
func (e *Engine) pace(now time.Time) float64 {
	p := 1.0
	begun := e.started
	if e.flipped.After(begun) {
		begun = e.flipped
	}
	if age := now.Sub(begun); age < e.WarmUp {
		p = e.ColdSpeedFraction + (1-e.ColdSpeedFraction)*float64(age)/float64(e.WarmUp)
	}
	return p / e.slow
}

// pushed counts work that comes while the engine is cold, and tells whether it falls
// over under it. The lock is held.
func (e *Engine) pushed(now time.Time, work float64) bool {
	if e.OverloadFactor <= 0 || now.Sub(e.started) >= e.WarmUp && now.Sub(e.flipped) >= e.WarmUp {
		return false
	}
	e.work = append(e.work, mark{now, work})
	sum := 0.0
	for i := len(e.work) - 1; i >= 0 && now.Sub(e.work[i].at) < e.OverloadWindow; i-- {
		sum += e.work[i].work
	}
	return sum > e.OverloadFactor*e.pace(now)*e.OverloadWindow.Seconds()*float64(e.Slots)
}

// enter waits for a slot and memory.
func (e *Engine) enter(ctx context.Context, tokens int) error {
	e.mu.Lock()
	if e.draining || e.changing || e.memory+tokens > e.Memory {
		e.mu.Unlock()
		return errFull
	}
	if e.running < e.Slots {
		e.running++
		e.memory += tokens
		e.mu.Unlock()
		return nil
	}
	if len(e.waiting) >= e.Queue {
		e.mu.Unlock()
		return errFull
	}
	turn := make(chan struct{})
	e.waiting = append(e.waiting, turn)
	e.memory += tokens
	life := e.life
	e.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	case <-life.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory -= tokens
	if i := slices.Index(e.waiting, turn); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return errDown
	}
	e.next() // its turn came as it gave up
	return errDown
}

// next hands a slot on. The lock is held.
func (e *Engine) next() {
	if len(e.waiting) > 0 {
		close(e.waiting[0])
		e.waiting = e.waiting[1:]
		return
	}
	e.running--
}

func (e *Engine) leave(life context.Context, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != life {
		return // it has been started anew since
	}
	e.memory -= tokens
	e.next()
}

func (e *Engine) free(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory = max(0, e.memory-tokens)
}

// CountRunning returns how many requests are in its slots.
func (e *Engine) CountRunning() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// spend lets work take its time at the engine's pace.
func (e *Engine) spend(ctx context.Context, d time.Duration) bool {
	e.mu.Lock()
	d = time.Duration(float64(d) / e.pace(time.Now()))
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
