package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wellgw/internal/playback"
)

// However the bytes are cut up, requests end where they end, or are in error.
func TestFraming(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: x\r\n"
	for _, c := range []struct {
		name, text string
		complete   int
		bad        bool
	}{
		{"no body", "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\n\n", 2, false},
		{"a length", post + "Content-Length: 3\r\n\r\nabc" + post + "content-length: 2\r\n\r\n\r\n", 2, false},
		{"half a body", post + "Content-Length: 3\r\n\r\nab", 0, false},
		{"chunks", post + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nX: y\r\n\r\n" + post + "\r\n", 2, false},
		{"both", post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 0, true},
		{"both, the other way round", post + "transfer-encoding : Chunked\r\ncontent-length:0\r\n\r\n0\r\n\r\n", 0, true},
		{"both, folded", post + "Content-Length: 3\r\nTransfer-Encoding:\r\n chunked\r\n\r\n", 0, true},
		{"two lengths", post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 0, true},
		{"no number", post + "Content-Length: 0x3\r\n\r\nabc", 0, true},
		{"negative", post + "Content-Length: -1\r\n\r\n", 0, true},
		{"huge", post + "Content-Length: 9999999999999999999\r\n\r\n", 0, true},
		{"another coding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n", 0, true},
		{"odd chunk size", post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", 0, true},
		{"chunk that does not end", post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 0, true},
		{"empty", "\r\n", 0, true},
	} {
		for step := 1; step <= len(c.text); step++ {
			var f framing
			var err error
			for at := 0; at < len(c.text) && err == nil; at += step {
				var good int
				p := []byte(c.text[at:min(at+step, len(c.text))])
				if good, err = f.next(p); good > len(p) || err == nil && good < len(p) {
					t.Errorf("%s, by %d: %d of %d good", c.name, step, good, len(p))
				}
			}
			if (err != nil) != c.bad || f.complete != c.complete {
				t.Errorf("%s, by %d: %d complete, %v", c.name, step, f.complete, err)
			}
		}
	}
}

// serve starts a server with room for limit connections. A request for /wait is
// answered once the test says so.
func serve(t *testing.T, limit int) (l *Listener, waiting, answer chan bool) {
	waiting, answer = make(chan bool), make(chan bool)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			waiting <- true
			<-answer
		}
		io.WriteString(w, r.URL.Path)
	}))
	l = NewListener(s.Listener, limit)
	s.Listener, s.Config.ConnState = l, l.State
	s.Start()
	t.Cleanup(s.Close)
	return l, waiting, answer
}

func dial(t *testing.T, addr, text string) net.Conn {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, text)
	return c
}

// got reads one answer's body, or that there is none.
func got(c net.Conn) string {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "none"
	}
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}

// Connections that ask nothing give way to one that does; those that have a
// request in hand never do, and past them a newcomer is turned away, not held.
func TestSilentConnectionsGiveWay(t *testing.T) {
	l, waiting, answer := serve(t, 2)
	addr := l.Addr().String()
	first := dial(t, addr, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
	<-waiting
	silent := dial(t, addr, "")
	half := dial(t, addr, "POST /half HTTP/1.1\r\n")
	if a := got(silent); a != "none" {
		t.Errorf("the silent one got %q", a)
	}
	playback.Eventually(t, "half a request is read", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for c := range l.open {
			if w, waits := c.waits(time.Now()); waits && !w.between {
				return true
			}
		}
		return false
	})
	second := dial(t, addr, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
	if a := got(half); a != "none" {
		t.Errorf("half a request got %q", a)
	}
	<-waiting
	if a := got(dial(t, addr, "GET /c HTTP/1.1\r\nHost: x\r\n\r\n")); a != "none" {
		t.Errorf("one too many got %q", a)
	}
	close(answer)
	if a, b := got(first), got(second); a != "/wait" || b != "/wait" {
		t.Errorf("those in hand got %q and %q", a, b)
	}
	playback.Eventually(t, "after an answer a newcomer has its own", func() bool {
		return got(dial(t, addr, "GET /d HTTP/1.1\r\nHost: x\r\n\r\n")) == "/d"
	})
}

// A connection whose request has come, though nobody has read it yet, is passed over,
// and to make room only the one chosen is looked at.
func TestAnUnreadRequestIsPassedOver(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := NewListener(inner, 3)
	accept := func(text string) *Conn {
		dial(t, inner.Addr().String(), text)
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return c.(*Conn)
	}
	asks := accept("GET / HTTP/1.1\r\n\r\n") // the oldest
	playback.Eventually(t, "its request is there", func() bool { return unread(asks.Conn) })
	silent, late := accept(""), accept("")
	next := accept("")
	for c, kept := range map[*Conn]bool{asks: true, silent: false, late: true, next: true} {
		if l.open[c] != kept {
			t.Errorf("kept %v, want %v", l.open[c], kept)
		}
	}
}

// An error whose request's body never comes is not held back for it.
func TestRejectDoesNotWaitForTheBody(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Reject(w, r)
		http.Error(w, "no", http.StatusBadRequest)
	}))
	t.Cleanup(s.CloseClientConnections)
	c := dial(t, s.Listener.Addr().String(), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc")
	if a := got(c); strings.TrimSpace(a) != "no" {
		t.Errorf("got %q", a)
	}
}
