package handover

import (
	"context"
	"testing"
	"time"
)

// The older process hears of the newer one once that is ready, and not of itself
// nor of one that began before it.
func TestOlderHearsOfNewer(t *testing.T) {
	place := At(t.TempDir(), "n/0")
	t0 := time.Unix(1000, 0)
	old, young := Self{Started: t0, PID: 10}, Self{Started: t0.Add(time.Second), PID: 11}
	if !old.Newer(young) || young.Newer(old) || old.Newer(old) {
		t.Fatal("Newer is wrong")
	}
	if _, ok := place.Ready(); ok {
		t.Fatal("an empty place says someone is ready")
	}
	ctx, stop := context.WithCancel(t.Context())
	heard := make(chan Self, 1)
	done := make(chan error, 1)
	go func() { done <- place.Watch(ctx, old, func() bool { return true }, func(o Self) { heard <- o }) }()
	// The old process marks itself first; nobody newer yet.
	for {
		if s, ok := place.Ready(); ok && s == old {
			break
		}
		time.Sleep(time.Millisecond)
	}
	select {
	case o := <-heard:
		t.Fatalf("heard of %+v before any newer process", o)
	default:
	}
	if err := place.Mark(young); err != nil {
		t.Fatal(err)
	}
	if o := <-heard; o.PID != young.PID || !o.Started.Equal(young.Started) {
		t.Fatalf("heard of %+v", o)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	stop()
}
