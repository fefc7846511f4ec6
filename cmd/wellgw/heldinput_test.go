package main

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"wellgw/experiments/faultnet"
	"wellgw/internal/enginetest"
)

// lateAnswerDelay exceeds the time for which a gateway waits for the answer to a release.
const lateAnswerDelay = 400 * time.Millisecond

// faultyAnswers are unspecified behaviours of engines, and extreme held-state limits.
var faultyAnswers = []struct {
	name   string
	limit  time.Duration
	modify func(*engineAnswers)
}{
	{"releases are answered with an error", lostHeldLimit, func(a *engineAnswers) {
		a.release = func() string { return enginetest.Status(http.StatusInternalServerError, "", "") }
	}},
	{"releases are answered late", lostHeldLimit, func(a *engineAnswers) {
		a.release = func() string { return enginetest.Pause(lateAnswerDelay) + releaseAnswer }
	}},
	{"releases are answered twice", lostHeldLimit, func(a *engineAnswers) {
		a.release = func() string { return releaseAnswer + releaseAnswer }
	}},
	{"releases are answered with a partial head", lostHeldLimit, func(a *engineAnswers) {
		a.release = func() string { return releaseAnswer[:len(releaseAnswer)/2] + enginetest.Hang }
	}},
	{"prefills are answered in pieces", lostHeldLimit, func(a *engineAnswers) {
		original := a.prefill
		a.prefill = func(id string) string {
			text := original(id)
			third := len(text) / 3
			return text[:third] + enginetest.Pause(eventPause) + text[third:2*third] + enginetest.Pause(eventPause) + text[2*third:]
		}
	}},
	{"prefill answers are followed by extra bytes", lostHeldLimit, func(a *engineAnswers) {
		original := a.prefill
		a.prefill = func(id string) string { return original(id) + "HTTP/1.1 200 OK\r\n\r\nmore" }
	}},
	{"a limit of a millisecond", time.Millisecond, func(*engineAnswers) {}},
	{"a limit of hours", 5 * time.Hour, func(*engineAnswers) {}},
}

// With faulty answers or extreme limits, no state is held beyond its limit while connections are lost, and
// the gateway continues to serve.
func TestHeldStatesUnderFaultyAnswers(t *testing.T) {
	for n, c := range faultyAnswers {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			answers := validAnswers()
			c.modify(&answers)
			l := newConnectionLossTest(t, uint64(n), c.limit, answers)
			l.runLoad(func(round int) { loseOneConnection("w", faultnet.Idle, faultnet.Both)(l.fabric, round) })
			l.checkHeldDurations()
			waitHealthy(t, l.url)
		})
	}
}

// An engine that reads only part of a call and closes the connection has not received the request: states are
// released, or fetched by another engine.
func TestHeldStatesWithPartiallyReadCalls(t *testing.T) {
	l := newConnectionLossTest(t, 1, lostHeldLimit, validAnswers())
	l.fabric.SetListener("w1", partialReader(t))
	l.runLoad(func(int) {})
	l.checkHeldDurations()
	waitHealthy(t, l.url)
}

// partialReader accepts connections, reads the first bytes of each and closes it.
func partialReader(t *testing.T) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.ReadFull(c, make([]byte, 16)) // closing with unread bytes resets the connection
			}()
		}
	}()
	return l.Addr().String()
}
