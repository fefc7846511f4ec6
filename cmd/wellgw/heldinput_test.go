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

// lateAnswer is later than a release's answer is waited for.
const lateAnswer = 400 * time.Millisecond

// spoiltAnswers are engines that answer in ways that no page promises, and limits of any length.
var spoiltAnswers = []struct {
	name  string
	limit time.Duration
	spoil func(*engineAnswers)
}{
	{"releases are answered with an error", lostHeldLimit, func(a *engineAnswers) {
		a.release = func() string { return enginetest.Status(http.StatusInternalServerError, "", "") }
	}},
	{"releases are answered late", lostHeldLimit, func(a *engineAnswers) {
		a.release = func() string { return enginetest.Pause(lateAnswer) + releaseAnswer }
	}},
	{"releases are answered twice", lostHeldLimit, func(a *engineAnswers) {
		a.release = func() string { return releaseAnswer + releaseAnswer }
	}},
	{"releases are answered with half a head", lostHeldLimit, func(a *engineAnswers) {
		a.release = func() string { return releaseAnswer[:len(releaseAnswer)/2] + enginetest.Hang }
	}},
	{"prefills are answered in pieces", lostHeldLimit, func(a *engineAnswers) {
		whole := a.prefill
		a.prefill = func(id string) string {
			text := whole(id)
			third := len(text) / 3
			return text[:third] + enginetest.Pause(eventPause) + text[third:2*third] + enginetest.Pause(eventPause) + text[2*third:]
		}
	}},
	{"prefills are answered with more after that", lostHeldLimit, func(a *engineAnswers) {
		whole := a.prefill
		a.prefill = func(id string) string { return whole(id) + "HTTP/1.1 200 OK\r\n\r\nmore" }
	}},
	{"a limit of a millisecond", time.Millisecond, func(*engineAnswers) {}},
	{"a limit of hours", 5 * time.Hour, func(*engineAnswers) {}},
}

// Whatever engines answer, and however long the limit is, nothing is held beyond its time while connections
// are lost, and the gateway serves on.
func TestHeldStatesUnderSpoiltAnswers(t *testing.T) {
	for n, c := range spoiltAnswers {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			answers := soundAnswers()
			c.spoil(&answers)
			l := newLostConnections(t, uint64(n), c.limit, answers)
			l.play(func(round int) { loseOne("w", faultnet.Idle, faultnet.Both)(l.fabric, round) })
			l.judge()
			waitHealthy(t, l.url)
		})
	}
}

// An engine that reads half of a call and closes has not got it: states are released or fetched elsewhere.
func TestHeldStatesWhereHalfCallsAreRead(t *testing.T) {
	l := newLostConnections(t, 1, lostHeldLimit, soundAnswers())
	l.fabric.SetListener("w1", halfReader(t))
	l.play(func(int) {})
	l.judge()
	waitHealthy(t, l.url)
}

// halfReader listens, reads the first bytes of what comes and closes.
func halfReader(t *testing.T) (addr string) {
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
				_, _ = io.ReadFull(c, make([]byte, 16)) // the rest is left unread, which resets the connection
			}()
		}
	}()
	return l.Addr().String()
}
