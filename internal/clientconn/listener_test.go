package clientconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wellgw/decide/lifecycle"
	"wellgw/internal/enginetest"
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
				if good, err = f.advance(p); good > len(p) || err == nil && good < len(p) {
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
	s.Listener, s.Config.ConnState, s.Config.ConnContext = l, l.ConnState, l.ConnContext
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
func got(c net.Conn) string { return next(bufio.NewReader(c)) }

func next(in *bufio.Reader) string {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return "none"
	}
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}

// Connections that ask nothing give way to one that does; those that have a
// request in hand never do, and past them a newcomer is turned away with an answer, not held.
func TestIdleConnectionsAreReclaimed(t *testing.T) {
	l, waiting, answer := serve(t, 2)
	addr := l.Addr().String()
	first := dial(t, addr, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
	<-waiting
	silent := dial(t, addr, "")
	half := dial(t, addr, "POST /half HTTP/1.1\r\n")
	if a := got(silent); a != "none" {
		t.Errorf("the silent one got %q", a)
	}
	enginetest.Eventually(t, "half a request is read", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for c := range l.open {
			if w, waits := c.idleness(time.Now()); waits && !w.betweenRequests {
				return true
			}
		}
		return false
	})
	second := dial(t, addr, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(half), nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("half a request got %v, %v: its client may send the rest, and is owed an answer", resp, err)
	}
	<-waiting
	tooMany := dial(t, addr, "GET /c HTTP/1.1\r\nHost: x\r\n\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(tooMany), nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("one too many got %v, %v: its request is there, and owed an answer", resp, err)
	}
	if a := got(dial(t, addr, "")); a != "none" {
		t.Errorf("one too many that asks nothing got %q", a)
	}
	close(answer)
	if a, b := got(first), got(second); a != "/wait" || b != "/wait" {
		t.Errorf("those in hand got %q and %q", a, b)
	}
	enginetest.Eventually(t, "after an answer a newcomer has its own", func() bool {
		return got(dial(t, addr, "GET /d HTTP/1.1\r\nHost: x\r\n\r\n")) == "/d"
	})
}

// A connection whose request has come, though nobody has read it yet, is passed over,
// and to make room only the one chosen is looked at.
func TestUnreadRequestIsHandedOver(t *testing.T) {
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
	enginetest.Eventually(t, "its request is there", func() bool { return hasUnreadBytes(asks.Conn) })
	silent, late := accept(""), accept("")
	next := accept("")
	for c, kept := range map[*Conn]bool{asks: true, silent: false, late: true, next: true} {
		if l.open[c] != kept {
			t.Errorf("kept %v, want %v", l.open[c], kept)
		}
	}
}

// moment returns a listener and the server's and the client's end of one connection.
func moment(t *testing.T) (*Listener, *Conn, net.Conn) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { inner.Close() })
	l := NewListener(inner, 3)
	client := dial(t, inner.Addr().String(), "")
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return l, c.(*Conn), client
}

// A request that comes in the moment in which its connection is shut is read and kept, or
// never read: there is no third.
func TestShutdownNeverInterruptsRequest(t *testing.T) {
	const ask = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	read := make([]byte, 256)

	_, c, client := moment(t)
	io.WriteString(client, ask)
	enginetest.Eventually(t, "the request is there", func() bool { return hasUnreadBytes(c.Conn) })
	if c.shutIfIdle() {
		t.Error("shut over a request that nobody has read")
	}
	if n, err := c.Read(read); n != len(ask) || err != nil {
		t.Errorf("read %d, %v", n, err)
	}
	if c.shutIfIdle() {
		t.Error("shut with a request in hand")
	}

	_, c, client = moment(t)
	io.WriteString(client, ask[:1])
	if n, err := c.Read(read); n != 1 || err != nil || c.shutIfIdle() {
		t.Errorf("read %d, %v; or shut with a byte of a request read", n, err)
	}

	l, c, client := moment(t)
	done := make(chan error)
	go func() { // as net/http waits on a resting connection
		n, err := c.Read(read)
		if n > 0 {
			err = nil
		}
		done <- err
	}()
	if !c.shutIfIdle() {
		t.Error("a resting connection is not shut")
	}
	io.WriteString(client, ask) // crosses the close
	if err := <-done; err == nil {
		t.Error("read a request on a connection that it had shut")
	}
	c.Close()
	if a := got(client); a != "none" {
		t.Errorf("got %q", a)
	}
	if len(l.open) != 0 {
		t.Errorf("%d connections open", len(l.open))
	}
}

// What is in hand when the server shuts is answered, a request of which one byte has come
// included; a connection that rests ends, a new one once its request had time to come.
func TestShutdownAnswersPartialRequests(t *testing.T) {
	l, waiting, answer := serve(t, 8)
	addr := l.Addr().String()
	inHand := dial(t, addr, "GET /wait HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	<-waiting
	begun := dial(t, addr, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	in := bufio.NewReader(begun)
	if a := next(in); a != "/a" {
		t.Fatalf("got %q", a)
	}
	resting := dial(t, addr, "GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
	rest := bufio.NewReader(resting)
	if a := next(rest); a != "/b" {
		t.Fatalf("got %q", a)
	}
	fresh := dial(t, addr, "")
	io.WriteString(begun, "G")
	enginetest.Eventually(t, "all are accepted, and the byte is read", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		part := false
		for c := range l.open {
			c.mu.Lock()
			part = part || !c.frame.betweenRequests()
			c.mu.Unlock()
		}
		return part && len(l.open) == 4
	})
	done := make(chan error)
	go func() { done <- shutdown(t, l) }()
	if a := next(rest); a != "none" {
		t.Errorf("the resting one got %q", a)
	}
	io.WriteString(begun, "ET /c HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	if a := next(in); a != "/c" {
		t.Errorf("what had begun to come got %q", a)
	}
	if a := got(fresh); a != "none" {
		t.Errorf("the new one got %q", a)
	}
	close(answer)
	if a := got(inHand); a != "/wait" {
		t.Errorf("what was in hand got %q", a)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// shutdown takes no more connections, has those that are open end with their answers, and waits
// until none is left.
func shutdown(t *testing.T, l *Listener) error {
	_ = l.Close()
	late := time.Now().Add(time.Minute) // no bound of the service is reached
	l.SetService(lifecycle.Service{RequestDeadline: late, AnswerDeadline: late})
	return l.Wait(t.Context())
}

// shutting begins a shutdown while the first of a client's requests, which is for /wait, is in
// hand, and then lets it be answered.
func shutting(t *testing.T, asked string) (c net.Conn, in *bufio.Reader, done chan error) {
	l, waiting, answer := serve(t, 8)
	c = dial(t, l.Addr().String(), asked)
	<-waiting
	done = make(chan error, 1)
	go func() { done <- shutdown(t, l) }()
	enginetest.Eventually(t, "the shutdown has begun", func() bool { return !l.service.Load().KeepAlive })
	close(answer)
	return c, bufio.NewReader(c), done
}

// A connection whose answer began before the shutdown ends with it: the next request on it,
// which has come by then, is never read. It would be taken when there is no time left for it.
func TestNoReadAfterAnswerDuringShutdown(t *testing.T) {
	c, in, done := shutting(t, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
	if a := next(in); a != "/wait" {
		t.Fatalf("got %q", a)
	}
	io.WriteString(c, "GET /late HTTP/1.1\r\nHost: x\r\n\r\n")
	if a := next(in); a != "none" {
		t.Errorf("the late one got %q", a)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// onlyConn returns the one connection that l has open.
func onlyConn(t *testing.T, l *Listener) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) != 1 {
		t.Fatalf("%d connections open", len(l.open))
	}
	for c := range l.open {
		return c
	}
	return nil
}

// arrived tells whether bytes of a next request have come, read or not.
func arrived(c *Conn) bool {
	c.mu.Lock()
	begun := !c.frame.betweenRequests()
	c.mu.Unlock()
	return begun || hasUnreadBytes(c.Conn)
}

// A next request that comes during the shutdown, while the connection's last answer is yet to
// be given, is not begun to be read either.
func TestNoReadAheadDuringShutdown(t *testing.T) {
	l, waiting, answer := serve(t, 8)
	client := dial(t, l.Addr().String(), "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
	<-waiting
	c := onlyConn(t, l)
	done := make(chan error, 1)
	go func() { done <- shutdown(t, l) }()
	enginetest.Eventually(t, "the shutdown has begun", func() bool { return !l.service.Load().KeepAlive })
	io.WriteString(client, "GET /late HTTP/1.1\r\nHost: x\r\n\r\n")
	enginetest.Eventually(t, "the late one is there", func() bool { return arrived(c) })
	close(answer)
	in := bufio.NewReader(client)
	for _, want := range []string{"/wait", "none"} {
		if a := next(in); a != want {
			t.Errorf("got %q, want %q", a, want)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Of requests that were sent together, and read together, the shutdown leaves none without
// its answer.
func TestShutdownAnswersPipelinedRequests(t *testing.T) {
	_, in, done := shutting(t, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\n\r\n")
	for _, want := range []string{"/wait", "/second", "none"} {
		if a := next(in); a != want {
			t.Errorf("got %q, want %q", a, want)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// An answer reaches a client that still sends: the close does not reset the connection
// under it, whatever has come and is not read.
func TestCloseWithUnreadBytesKeepsAnswer(t *testing.T) {
	_, c, client := moment(t)
	io.WriteString(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := c.Read(make([]byte, 256)); err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
	io.WriteString(client, "GET /next HTTP/1.1\r\n")
	enginetest.Eventually(t, "the next request is there", func() bool { return hasUnreadBytes(c.Conn) })
	c.Close()
	in := bufio.NewReader(client)
	if a := next(in); a != "ok" {
		t.Errorf("got %q", a)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("then %v, not the end of the sending", err)
	}
	enginetest.Eventually(t, "then it is closed", func() bool {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		return len(c.listener.open) == 0
	})
}

// A client that has gone before its whole request was read is not served: the request may
// have waited in the socket for long.
func TestRequestOfLeftClientIsDropped(t *testing.T) {
	read := make(chan error)
	var l *Listener
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := r.Context().Value(connKey{}).(*Conn)
		enginetest.Eventually(t, "the client's end arrives", c.peerHungUp)
		_, _, err := NewBudget(1<<20).Read(w, r)
		read <- err
	}))
	l = NewListener(s.Listener, 4)
	s.Listener, s.Config.ConnContext = l, l.ConnContext
	s.Start()
	t.Cleanup(s.Close)
	dial(t, l.Addr().String(), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc").Close()
	if err := <-read; err != ErrBodyTruncated {
		t.Errorf("read: %v", err)
	}
}

// A client that sends much at once and goes is known to have gone while its first request
// is in hand, though what it sent ahead is never read.
func TestPipelinedClientLeaving(t *testing.T) {
	testPipelinedClientLeaving(t, func(*Listener) {})
}

// So is one that does so while the gateway shuts down.
func TestPipelinedClientLeavingDuringShutdown(t *testing.T) {
	testPipelinedClientLeaving(t, func(l *Listener) {
		go shutdown(t, l)
		enginetest.Eventually(t, "the shutdown has begun", func() bool { return !l.service.Load().KeepAlive })
	})
}

// testPipelinedClientLeaving calls before once the first request is in hand, and then has the
// client send more and go.
func testPipelinedClientLeaving(t *testing.T, before func(*Listener)) {
	waiting, ended, enough := make(chan bool, 200), make(chan bool, 200), make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		waiting <- true
		select {
		case <-r.Context().Done():
			ended <- true
		case <-enough:
		}
	}))
	l := NewListener(s.Listener, 4)
	s.Listener, s.Config.ConnState, s.Config.ConnContext = l, l.ConnState, l.ConnContext
	s.Start()
	t.Cleanup(s.Close)
	c := dial(t, l.Addr().String(), "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	<-waiting
	before(l)
	io.WriteString(c, strings.Repeat("GET /b HTTP/1.1\r\nHost: x\r\n\r\n", 100))
	c.Close()
	defer close(enough)
	enginetest.Eventually(t, "the request ends", func() bool { return len(ended) > 0 })
}

// An error whose request's body never comes is not held back for it.
func TestRejectDoesNotWaitForTheBody(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		CloseIfBodyUnread(w, r)
		http.Error(w, "no", http.StatusBadRequest)
	}))
	t.Cleanup(s.CloseClientConnections)
	c := dial(t, s.Listener.Addr().String(), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc")
	if a := got(c); strings.TrimSpace(a) != "no" {
		t.Errorf("got %q", a)
	}
}

// A head that comes too slowly is answered before its connection ends, on a new connection
// and after an answer; one that rests is closed without a word.
func TestSlowHeadIsAnswered(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in := NewListener(l, 8)
	srv := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }),
		ReadHeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond, ConnState: in.ConnState, ConnContext: in.ConnContext,
	}
	go srv.Serve(in)
	t.Cleanup(func() { srv.Close() })
	const whole = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, c := range map[string]struct {
		sent string
		want []int
	}{
		"half a head":                 {"GET / HTTP/1.1\r\nHos", []int{408}},
		"half a head after an answer": {whole + "GET /", []int{200, 408}},
		"nothing after an answer":     {whole, []int{200}},
		"nothing":                     {"", nil},
	} {
		t.Run(name, func(t *testing.T) {
			nc, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			if _, err := io.WriteString(nc, c.sent); err != nil {
				t.Fatal(err)
			}
			r := bufio.NewReader(nc)
			for _, want := range c.want {
				resp, err := http.ReadResponse(r, nil)
				if err != nil || resp.StatusCode != want {
					t.Fatalf("answer %v, %v, want %d", resp, err, want)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
				t.Errorf("%q, %v after the answers", rest, err)
			}
		})
	}
}
