package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wellgw/routing"
)

type simEngine struct {
	fleet *simFleet
	name  string
	role  routing.Role
	link  *simLink
}

// serve answers the requests of one connection, one after the other.
func (e *simEngine) serve(nc net.Conn) {
	c := nc.(*simConn)
	defer c.Close()
	requests, learned := make(chan *http.Request), make(chan struct{})
	go listen(c, requests, learned)
	for {
		select {
		case <-learned:
			return
		case req := <-requests:
			if !e.answer(c, req, learned) {
				c.abort()
				return
			}
		}
	}
}

// listen reads a connection's requests and closes learned at its end: how an engine comes to
// know of a cancel.
func listen(c *simConn, requests chan<- *http.Request, learned chan<- struct{}) {
	defer close(learned)
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		requests <- req
	}
}

// answer answers one request; false if the connection breaks.
func (e *simEngine) answer(c *simConn, req *http.Request, learned <-chan struct{}) bool {
	if req.Method != http.MethodDelete {
		ms, _ := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
		t := &turn{
			engine: e, conn: c, id: req.Header.Get("X-Request-Id"), learned: learned,
			told: time.Duration(ms) * time.Millisecond, sent: c.lastSent(),
		}
		return t.play()
	}
	e.release(strings.TrimPrefix(req.URL.Path, "/bootstrap/rooms/"))
	if e.fleet.chance(12) == 0 { // a call counts once it has arrived, answered or not
		<-learned
		return false
	}
	_, err := io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
	return err == nil
}

func (e *simEngine) release(id string) {
	e.fleet.account(id, func(r *record) {
		e.fleet.releases++
		switch {
		case r.waits > 0:
			e.fleet.note("%s release at %s, an attempt waits for the state", id, e.name)
		case e.fleet.rules.anywhere:
			e.fleet.note("%s release at %s", id, e.name)
			clear(r.held)
		default:
			e.fleet.note("%s release at %s", id, e.name)
			delete(r.held, e.name)
		}
		e.fleet.reached(id, stageReleased)
	})
}
