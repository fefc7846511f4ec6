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

// simEngine is a simulated engine.
type simEngine struct {
	fleet *simFleet
	name  string
	role  routing.Role
	link  *simLink
}

// serve handles the requests of one connection, one after the other.
func (e *simEngine) serve(nc net.Conn) {
	c := nc.(*simConn)
	defer c.Close()
	requests, clientClosed := make(chan *http.Request), make(chan struct{})
	go readRequests(c, requests, clientClosed)
	for {
		select {
		case <-clientClosed:
			return
		case req := <-requests:
			if !e.answer(c, req, clientClosed) {
				c.abort()
				return
			}
		}
	}
}

// readRequests reads the requests of a connection and closes clientClosed at its end, by which the
// engine notices a cancellation.
func readRequests(c *simConn, requests chan<- *http.Request, clientClosed chan<- struct{}) {
	defer close(clientClosed)
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		requests <- req
	}
}

// answer handles one request. It returns false if the connection breaks.
func (e *simEngine) answer(c *simConn, req *http.Request, clientClosed <-chan struct{}) bool {
	if req.Method != http.MethodDelete {
		ms, _ := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
		t := &simAttempt{
			engine: e, conn: c, id: req.Header.Get("X-Request-Id"), clientClosed: clientClosed,
			timeout: time.Duration(ms) * time.Millisecond, writtenAt: c.lastSentAt(),
		}
		return t.run()
	}
	e.release(strings.TrimPrefix(req.URL.Path, "/bootstrap/rooms/"))
	if e.fleet.randomN(12) == 0 { // a release counts once it has arrived, with or without a response
		<-clientClosed
		return false
	}
	_, err := io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
	return err == nil
}

func (e *simEngine) release(id string) {
	e.fleet.updateRecord(id, func(r *requestRecord) {
		e.fleet.releases++
		switch {
		case r.waiting > 0:
			e.fleet.logStepLocked("%s release at %s, an attempt waits for the state", id, e.name)
		case e.fleet.rules.releaseAnywhere:
			e.fleet.logStepLocked("%s release at %s", id, e.name)
			clear(r.heldAt)
		default:
			e.fleet.logStepLocked("%s release at %s", id, e.name)
			delete(r.heldAt, e.name)
		}
		e.fleet.runTriggers(id, stageReleased)
	})
}
