package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wellgw/internal/core"
	"wellgw/internal/enginetest"
	"wellgw/routing"
)

// Each event is passed on before the next one comes: the engine writes one only when the
// client has the one before, so that an event held back or lumped with the next would never
// arrive. Meanwhile another client takes nothing of a stream without end, and delays nobody.
func TestEventsUnbatchedBesideSlowClient(t *testing.T) {
	addr, r, _, c, _ := gatewayFront(t, read, func(enginetest.Call) string { return enginetest.Stream(1, 0) })
	const events = 50
	got, flooded := make(chan int, 1), make(chan bool, 1)
	writer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Method == http.MethodDelete {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		io.Copy(io.Discard, q.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		out := http.NewResponseController(w)
		if q.Header.Get("X-Request-Id") == "slow" {
			line := "data: " + strings.Repeat("x", 32<<10) + "\n\n"
			for n := 0; ; n++ {
				if _, err := io.WriteString(w, line); err != nil || out.Flush() != nil {
					return
				}
				if n == 4 {
					flooded <- true
				}
			}
		}
		for n := range events {
			fmt.Fprintf(w, "data: %d\n\n", n)
			out.Flush()
			select {
			case <-got:
			case <-q.Context().Done():
				return
			}
		}
		io.WriteString(w, "data: [DONE]\n\n")
	}))
	t.Cleanup(func() { writer.CloseClientConnections(); writer.Close() })
	c.UpdateEndpoints(routing.EngineListSnapshot, []core.Endpoint{
		{EngineInfo: routing.EngineInfo{Name: "r1", Kind: "r", Zone: "a", Weight: 1}, Addr: r.Addr},
		{EngineInfo: routing.EngineInfo{Name: "w2", Kind: "w", Zone: "a", Weight: 1}, Addr: writer.Listener.Addr().String()},
	})
	ask := func(id string) net.Conn {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(time.Minute))
		fmt.Fprintf(nc, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: lookup\r\nX-Key: %s\r\nX-Deadline-Ms: 50000\r\nX-Extras: prompt_len=10\r\nContent-Length: 2\r\n\r\n{}", id, id)
		return nc
	}
	ask("slow") // and reads nothing
	<-flooded
	resp, err := http.ReadResponse(bufio.NewReader(ask("fast")), nil)
	if err != nil {
		t.Fatal(err)
	}
	in := bufio.NewScanner(resp.Body)
	n := 0
	for in.Scan() {
		if in.Text() == fmt.Sprint("data: ", n) {
			n++
			got <- n
		}
	}
	if in.Err() != nil || n != events {
		t.Errorf("%d of %d events, %v", n, events, in.Err())
	}
}
