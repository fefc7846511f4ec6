// Case8: many requests at once for answers in one piece with log probabilities.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"standins2/lab"
)

const (
	requests     = 40
	tokens       = 1500 // of an answer
	alternatives = 5    // top_logprobs
	tokensAtOnce = 100
	pause        = 50 * time.Millisecond // after so many tokens
	memoryMB     = 192                   // as deploy/operator.json has it
)

func main() {
	l := lab.New(110 * time.Second)
	event := tokenEvent()
	engine := l.NewChatEngine("e1", func(w http.ResponseWriter, _ *http.Request, _ []byte) {
		w.Header().Set("Content-Type", "text/event-stream")
		controller := http.NewResponseController(w)
		for i := range tokens {
			io.WriteString(w, event)
			if i%tokensAtOnce == tokensAtOnce-1 {
				_ = controller.Flush()
				time.Sleep(pause)
			}
		}
		io.WriteString(w, lab.Chunk(0, "", "stop")+lab.UsageAndDone)
	})
	gateway := l.Operator("gateway", lab.OperatorFile(engine))
	l.AwaitHealthy(gateway.Addr)
	l.Note("an answer has %d tokens, its events take %d bytes; the file's memory_mb is %d; peak before the requests %d kB", tokens, tokens*len(event), memoryMB, peak(gateway))

	killed := make(chan int, 1)
	go watchMemory(l, gateway, killed)
	var whole, refused, lost atomic.Int32
	send := func(i int) {
		reply := l.Post(context.Background(), gateway.Addr, "/v1/chat/completions", "", fmt.Sprint("request ", i), 0, map[string]any{
			"model": "parts-assistant", "logprobs": true, "top_logprobs": alternatives,
			"messages": []any{map[string]any{"role": "user", "content": fmt.Sprint("part ", i)}},
		})
		switch {
		case reply.Status == http.StatusOK && reply.Whole:
			whole.Add(1)
		case reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests:
			refused.Add(1)
		default:
			lost.Add(1)
		}
	}
	if l.Trouble {
		lab.Parallel(requests, send)
	} else {
		for i := range requests {
			send(i)
		}
	}
	l.Note("%d answers whole, %d refused, %d lost", whole.Load(), refused.Load(), lost.Load())
	select {
	case kilobytes := <-killed:
		l.End(lab.Broken, "the gateway was killed at %d MB with memory_mb %d; %d of %d accepted requests lost", kilobytes>>10, memoryMB, lost.Load(), requests)
	default:
	}
	if !l.Trouble && whole.Load() != requests {
		l.Fail("only %d of %d requests were answered though they came one after the other", whole.Load(), requests)
	}
	l.End(lab.Held, "the gateway's memory stayed at %d MB with memory_mb %d", peak(gateway)>>10, memoryMB)
}

// watchMemory does what the platform does: it kills a gateway that is over its memory.
func watchMemory(l *lab.Lab, gateway *lab.Process, killed chan<- int) {
	for !gateway.Ended() {
		if kilobytes := peak(gateway); kilobytes > memoryMB<<10 {
			killed <- kilobytes
			l.Note("BROKEN: the gateway's memory is %d kB, over memory_mb %d; the platform kills it", kilobytes, memoryMB)
			gateway.Kill()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// tokenEvent is one event of an answer: a token with its log probability and that of its alternatives.
func tokenEvent() string {
	var top []string
	for i := range alternatives {
		top = append(top, fmt.Sprintf(`{"token":" part%d","logprob":-%d.12345,"bytes":[32,112,97,114,116,%d]}`, i, i, '0'+i))
	}
	return `data: {"id":"cmpl-1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":" part0"},` +
		`"logprobs":{"content":[{"token":" part0","logprob":-0.12345,"bytes":[32,112,97,114,116,48],"top_logprobs":[` + strings.Join(top, ",") +
		`]}]},"finish_reason":null}]}` + "\n\n"
}

// peak returns the highest resident memory of the gateway's process so far, in kB, as the
// system counts it; 0 for one that has ended.
func peak(gateway *lab.Process) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", gateway.Pid()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			n, _ := strconv.Atoi(fields[1])
			return n
		}
	}
	return 0 // the process has just ended
}
