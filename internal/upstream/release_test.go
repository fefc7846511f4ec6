package upstream_test

import (
	"net"
	"testing"
	"time"

	"wellgw/internal/core"
	"wellgw/internal/enginetest"
)

const letGo = "HTTP/1.1 204 No Content\r\n\r\n"

// startRelease begins a release of request id1 and returns where its end is told.
func startRelease(t *testing.T, r core.Release) (ended chan error, stop func()) {
	ended = make(chan error, 1)
	r.ClientRequestID = "id1"
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(time.Minute)
	}
	return ended, engine(t).Release(r, func(err error) { ended <- err })
}

// nobody returns an address at which nobody listens.
func nobody(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	return l.Addr().String()
}

// A release is tried until its engine has answered it, and no other engine is told then.
func TestReleaseRetriesUntilAnswered(t *testing.T) {
	server := enginetest.NewEngine(t, func(c enginetest.Call) string {
		if c.Number < 3 {
			return enginetest.Cut
		}
		return letGo
	})
	other := enginetest.NewEngine(t, func(enginetest.Call) string { return letGo })
	ended, _ := startRelease(t, core.Release{
		Endpoint: core.Endpoint{Addr: server.Addr}, Alternates: []core.Endpoint{{Addr: other.Addr}}, AlternateDelay: time.Minute,
	})
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if calls := server.Calls("DELETE"); len(calls) != 3 || calls[0].Path != "/bootstrap/rooms/id1" {
		t.Errorf("calls %+v", calls)
	}
	if calls := other.Calls("DELETE"); len(calls) > 0 {
		t.Errorf("%d calls at another engine, though the engine itself was told", len(calls))
	}
}

// As long as the engine is not reached others are told, one after the other, and again once
// one has been: an attempt may have waited for the state until then.
func TestReleaseAtOtherEngine(t *testing.T) {
	first := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.Cut })
	second := enginetest.NewEngine(t, func(enginetest.Call) string { return letGo })
	ended, stop := startRelease(t, core.Release{
		Endpoint: core.Endpoint{Addr: nobody(t)}, Alternates: []core.Endpoint{{Addr: first.Addr}, {Addr: second.Addr}},
		AlternateDelay: time.Millisecond, AlternateInterval: time.Millisecond,
	})
	enginetest.Eventually(t, "both are told, and one of them again", func() bool {
		return len(first.Calls("DELETE")) > 0 && len(second.Calls("DELETE")) > 1
	})
	select {
	case err := <-ended:
		t.Errorf("over (%v), though the engine itself has not been told", err)
	default:
	}
	stop()
	if err := <-ended; err == nil {
		t.Error("a release that was stopped counts as told")
	}
}

// An engine that nobody runs is given up in time.
func TestReleaseGivesUp(t *testing.T) {
	ended, _ := startRelease(t, core.Release{Endpoint: core.Endpoint{Addr: nobody(t)}, Deadline: time.Now()})
	if err := <-ended; err == nil {
		t.Error("let go, though nobody listens")
	}
}
