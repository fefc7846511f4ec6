package upstream_test

import (
	"net"
	"testing"
	"time"

	"wellgw/internal/core"
	"wellgw/internal/enginetest"
)

const releasedResponse = "HTTP/1.1 204 No Content\r\n\r\n"

// startRelease starts a release of request id1. It returns the channel that receives its result.
func startRelease(t *testing.T, r core.Release) (ended chan error, stop func()) {
	ended = make(chan error, 1)
	r.ClientRequestID = "id1"
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(time.Minute)
	}
	return ended, newClient(t).Release(r, func(err error) { ended <- err })
}

// unusedAddress returns an address without a listener.
func unusedAddress(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	return l.Addr().String()
}

// A release is retried until its engine has responded. Alternates are not notified if that happens
// before AlternateDelay.
func TestReleaseRetriesUntilAnswered(t *testing.T) {
	server := enginetest.NewEngine(t, func(c enginetest.Call) string {
		if c.Number < 3 {
			return enginetest.Cut
		}
		return releasedResponse
	})
	alternate := enginetest.NewEngine(t, func(enginetest.Call) string { return releasedResponse })
	ended, _ := startRelease(t, core.Release{
		Endpoint: core.Endpoint{Addr: server.Addr}, Alternates: []core.Endpoint{{Addr: alternate.Addr}}, AlternateDelay: time.Minute,
	})
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if calls := server.Calls("DELETE"); len(calls) != 3 || calls[0].Path != "/bootstrap/rooms/id1" {
		t.Errorf("calls %+v", calls)
	}
	if calls := alternate.Calls("DELETE"); len(calls) > 0 {
		t.Errorf("%d calls at an alternate, although the engine itself responded", len(calls))
	}
}

// While the engine is unreachable, the alternates are notified one after the other, and again after
// one has responded: an attempt may have waited for the state until then, which prevents its
// release.
func TestReleaseAtAlternates(t *testing.T) {
	first := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.Cut })
	second := enginetest.NewEngine(t, func(enginetest.Call) string { return releasedResponse })
	ended, stop := startRelease(t, core.Release{
		Endpoint: core.Endpoint{Addr: unusedAddress(t)}, Alternates: []core.Endpoint{{Addr: first.Addr}, {Addr: second.Addr}},
		AlternateDelay: time.Millisecond, AlternateInterval: time.Millisecond,
	})
	enginetest.Eventually(t, "both alternates are notified, and one of them again", func() bool {
		return len(first.Calls("DELETE")) > 0 && len(second.Calls("DELETE")) > 1
	})
	select {
	case err := <-ended:
		t.Errorf("the release ended (%v), although the engine itself has not responded", err)
	default:
	}
	stop()
	if err := <-ended; err == nil {
		t.Error("a stopped release is reported as delivered")
	}
}

// A release to an unreachable engine ends at its deadline.
func TestReleaseEndsAtDeadline(t *testing.T) {
	ended, _ := startRelease(t, core.Release{Endpoint: core.Endpoint{Addr: unusedAddress(t)}, Deadline: time.Now()})
	if err := <-ended; err == nil {
		t.Error("reported as delivered, although the address has no listener")
	}
}
