package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wellgw/internal/core"
	"wellgw/internal/platform"
	"wellgw/internal/upstream"
)

// BenchmarkPlatformStream makes attempts at an engine with the platform dialect that sends 40
// events, in one write or in one write per event.
func BenchmarkPlatformStream(b *testing.B) {
	const events = 40
	for name, eventsPerWrite := range map[string]int{"one write": events, "one write per event": 1} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go serveStream(c, events, eventsPerWrite)
				}
			}()
			client := upstream.NewClient(upstream.NewPool(upstream.Options{ConnectTimeout: time.Second, ServerIdleTimeout: time.Minute, StreamSilenceTimeout: 4500 * time.Millisecond}),
				func(string) upstream.Dialect { return platform.Dialect{} })
			b.ReportAllocs()
			for b.Loop() {
				ended := make(chan core.Result, 1)
				client.Start(core.Attempt{
					ClientRequestID: "id1", Endpoint: core.Endpoint{Addr: l.Addr().String()}, Timeout: 10 * time.Second,
					Payload: core.Payload{Method: "POST", Target: "/v1/chat/completions", Body: []byte(`{"a":1}`)},
				}, func(s core.Stream) {
					_, _ = io.Copy(io.Discard, s)
					ended <- s.Result()
				}, func(r core.Result) { ended <- r })
				if r := <-ended; r.OutputTokens != events {
					b.Fatalf("%+v", r)
				}
			}
		})
	}
}

func serveStream(c net.Conn, events, eventsPerWrite int) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		var response strings.Builder
		response.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk := func(s string) { fmt.Fprintf(&response, "%x\r\n%s\r\n", len(s), s) }
		for i := range events {
			if chunk(`data: {"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}` + "\n\n"); (i+1)%eventsPerWrite == 0 && eventsPerWrite < events {
				_, _ = io.WriteString(c, response.String())
				response.Reset()
			}
		}
		chunk(fmt.Sprintf(`data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":%d}}`, events) + "\n\n")
		chunk("data: [DONE]\n\n")
		response.WriteString("0\r\n\r\n")
		if _, err := io.WriteString(c, response.String()); err != nil {
			return
		}
	}
}
