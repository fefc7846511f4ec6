// Case10: orders with two choices, or two prompts, whose streams break after the first choice.
package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"standins2/lab"
)

func main() {
	l := lab.New(100 * time.Second)
	var engine *lab.ChatEngine
	engine = l.NewChatEngine("e1", func(w http.ResponseWriter, r *http.Request, body []byte) {
		engine.Ran(body)
		chunk := lab.Chunk
		if r.URL.Path == "/v1/completions" {
			chunk = lab.TextChunk
		}
		// The engine generates one choice after the other, as it reads one prompt of a batch after the other.
		lab.WriteEvents(w, 30*time.Millisecond,
			chunk(0, "the first ", ""), chunk(0, "proposal", ""), chunk(0, "", "stop"))
		if l.Trouble {
			l.Note("engine e1 breaks the connection before the second choice")
			panic(http.ErrAbortHandler)
		}
		time.Sleep(30 * time.Millisecond)
		lab.WriteEvents(w, 30*time.Millisecond,
			chunk(1, "the second ", ""), chunk(1, "proposal", ""), chunk(1, "", "stop"), lab.UsageAndDone)
	})
	gateway := l.Operator("gateway", lab.OperatorFile(engine))
	l.AwaitHealthy(gateway.Addr)

	whole := l.Order(context.Background(), gateway.Addr, "key 1", "two proposals, whole", 0, map[string]any{"n": 2})
	streamed := l.Order(context.Background(), gateway.Addr, "key 2", "two proposals, streamed", 0, map[string]any{"n": 2, "stream": true})
	retried := l.Order(context.Background(), gateway.Addr, "key 1", "two proposals, whole", 1, map[string]any{"n": 2})

	batch := l.Post(context.Background(), gateway.Addr, "/v1/completions", "key 3", "two prompts", 0,
		map[string]any{"model": "order-assistant", "prompt": []string{"the first order", "the second order"}})

	faults := 0
	broken := func(format string, args ...any) {
		l.Note("BROKEN: "+format, args...)
		faults++
	}
	for name, reply := range map[string]lab.Reply{"the answer": whole, "the answer to the retry": retried, "the answer to two prompts": batch} {
		if reply.Status != http.StatusOK || !reply.Whole {
			if !l.Trouble {
				l.Fail("%s is an error though nothing broke", name)
			}
			continue // an error, which is allowed for a stream that broke
		}
		if choices := choicesOf(reply.Body); choices != 2 {
			broken("%s is 200 and has %d of 2 choices", name, choices)
		}
	}
	if done := strings.Contains(streamed.Body, "data: [DONE]"); streamed.Status == http.StatusOK && done {
		if choices := streamedChoices(streamed.Body); choices != 2 {
			broken("the stream ends with [DONE] and has %d of 2 choices", choices)
		}
	}
	if faults > 0 {
		l.End(lab.Broken, "%d answers of four were given as complete without the second choice", faults)
	}
	l.End(lab.Held, "no answer was given as complete without all of its choices")
}

// choicesOf returns the number of choices with a finish reason of an answer in one piece.
func choicesOf(body string) int {
	var answer struct {
		Choices []struct {
			Finish string `json:"finish_reason"`
		}
	}
	_ = json.Unmarshal([]byte(body), &answer)
	n := 0
	for _, c := range answer.Choices {
		if c.Finish != "" {
			n++
		}
	}
	return n
}

// streamedChoices returns the number of choices that have a finish reason in a stream.
func streamedChoices(body string) int {
	finished := map[int]bool{}
	for line := range strings.Lines(body) {
		data, is := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		var event struct {
			Choices []struct {
				Index  int
				Finish string `json:"finish_reason"`
			}
		}
		if !is || json.NewDecoder(strings.NewReader(data)).Decode(&event) == io.EOF {
			continue
		}
		for _, c := range event.Choices {
			if c.Finish != "" {
				finished[c.Index] = true
			}
		}
	}
	return len(finished)
}
