// Case6: an engine sends some answers a second time, some milliseconds late.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"standins2/lab"
)

const (
	clients     = 6
	playTime    = 3 * time.Second
	answerTime  = 25 * time.Millisecond // that an answer takes
	late        = 5 * time.Millisecond  // of a second answer
	spoiltEvery = 20                    // one answer of so many comes twice
)

func main() {
	l := lab.New(100 * time.Second)
	e := &engine{lab: l}
	file := lab.OperatorFile(&lab.ChatEngine{ID: "e1", Addr: e.listen()})
	file["teams"] = []any{
		map[string]any{"name": "counter", "keys": []string{"key-counter"}, "models": []string{"parts-assistant"}},
		map[string]any{"name": "boatyards", "keys": []string{"key-boatyards"}, "models": []string{"parts-assistant"}},
	}
	gateway := l.Operator("gateway", file)
	l.AwaitHealthy(gateway.Addr)

	var sent, own, foreign atomic.Int32
	end := time.Now().Add(playTime)
	lab.Parallel(clients, func(client int) {
		team := []string{"counter", "boatyards"}[client%2]
		for n := 0; time.Now().Before(end); n++ {
			word := fmt.Sprintf("secret-%s-%d-%d", team, client, n)
			reply := l.PostAs(context.Background(), "key-"+team, gateway.Addr, "/v1/chat/completions", "", word, 0, map[string]any{
				"model": "parts-assistant", "messages": []any{map[string]any{"role": "user", "content": "repeat " + word + "."}},
			})
			sent.Add(1)
			switch got := words.FindString(reply.Body); {
			case reply.Status != http.StatusOK || !reply.Whole:
			case got == word:
				own.Add(1)
			default:
				l.Note("BROKEN: client %d of team %s asked for %s and got 200 with %s", client, team, word, got)
				foreign.Add(1)
			}
		}
	})
	l.Note("%d requests, %d own answers, %d answers to others; the engine sent %d answers twice", sent.Load(), own.Load(), foreign.Load(), e.spoilt.Load())
	if own.Load() == 0 || l.Trouble && e.spoilt.Load() == 0 {
		l.Fail("nothing was answered, or no answer came twice")
	}
	if foreign.Load() > 0 {
		l.End(lab.Broken, "%d of %d answers were those to another request", foreign.Load(), own.Load()+foreign.Load())
	}
	l.End(lab.Held, "all %d answers were the caller's own", own.Load())
}

var words = regexp.MustCompile(`secret-[a-z]+-\d+-\d+`)

// engine answers chats on connections that stay open. It serves one request at a time on each.
type engine struct {
	lab      *lab.Lab
	answered atomic.Int32
	spoilt   atomic.Int32
}

func (e *engine) listen() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		e.lab.Fail("engine: %v", err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var writing sync.Mutex
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(conn, text)
	}
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.Method != http.MethodPost {
			write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		word := words.FindString(string(body))
		e.lab.Note("engine got %s on the connection from %s", word, conn.RemoteAddr())
		time.Sleep(answerTime)
		answer := response(word)
		write(answer)
		if e.answered.Add(1)%spoiltEvery == 0 && e.lab.Trouble {
			e.spoilt.Add(1)
			time.AfterFunc(late, func() {
				e.lab.Note("engine sends the answer to %s a second time", word)
				write(answer)
			})
		}
	}
}

// response is a whole answer, in chunks.
func response(word string) string {
	var out strings.Builder
	out.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, event := range []string{lab.Chunk(0, word, ""), lab.Chunk(0, "", "stop"), lab.UsageAndDone} {
		fmt.Fprintf(&out, "%x\r\n%s\r\n", len(event), event)
	}
	out.WriteString("0\r\n\r\n")
	return out.String()
}
