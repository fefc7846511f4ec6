package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// APIKey is the key of the only team in OperatorFile.
const APIKey = "case-key"

// OperatorFile returns an operator's file like deploy/operator.json, with the given engines.
func OperatorFile(engines ...*ChatEngine) map[string]any {
	var list []any
	for _, e := range engines {
		list = append(list, map[string]any{"id": e.ID, "address": e.Addr, "role": "openai"})
	}
	return map[string]any{
		"listen": "127.0.0.1:0", "zone": "hall-1", "engine_memory_tokens": 200000,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"contracts": []any{
			map[string]any{"name": "part-lookup", "effect": "free", "aim_ms": 1000, "deadline_ms": 4000, "worth": 2},
			map[string]any{"name": "place-order", "effect": "single_shot", "aim_ms": 2500, "deadline_ms": 10000, "worth": 3},
		},
		"models": []any{
			map[string]any{"name": "parts-assistant", "contract": "part-lookup"},
			map[string]any{"name": "order-assistant", "contract": "place-order"},
		},
		"teams":   []any{map[string]any{"name": "counter", "keys": []string{APIKey}, "models": []string{"parts-assistant", "order-assistant"}}},
		"engines": list,
	}
}

// ChatEngine is a stand-in for an engine of the role openai on loopback. Answer writes the response to one
// request whose body has arrived in full.
type ChatEngine struct {
	ID, Addr string
	lab      *Lab

	mu     sync.Mutex
	answer func(w http.ResponseWriter, r *http.Request, body []byte)
	runs   map[string]int // by the text of the last message: requests that were run
}

// NewChatEngine starts an engine. A request counts as run by Ran only.
func (l *Lab) NewChatEngine(id string, answer func(w http.ResponseWriter, r *http.Request, body []byte)) *ChatEngine {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		l.Fail("engine %s: %v", id, err)
	}
	e := &ChatEngine{ID: id, Addr: listener.Addr().String(), lab: l, answer: answer, runs: map[string]int{}}
	server := &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.WriteHeader(http.StatusOK)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		l.Note("engine %s got %s %s: %s", id, r.URL.Path, r.Header.Get("X-Request-Id"), body)
		e.mu.Lock()
		answer := e.answer
		e.mu.Unlock()
		answer(w, r, body)
	})}
	go server.Serve(listener)
	return e
}

// SetAnswer replaces the way of answering.
func (e *ChatEngine) SetAnswer(answer func(w http.ResponseWriter, r *http.Request, body []byte)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer = answer
}

// Ran counts a run of the order in a request's last message and returns the order and its number of runs.
func (e *ChatEngine) Ran(body []byte) (order string, runs int) {
	var q struct{ Messages []struct{ Content string } }
	if json.Unmarshal(body, &q) == nil && len(q.Messages) > 0 {
		order = q.Messages[len(q.Messages)-1].Content
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[order]++
	e.lab.Note("engine %s runs %q, run %d of it", e.ID, order, e.runs[order])
	return order, e.runs[order]
}

// Runs returns how often an order was run.
func (e *ChatEngine) Runs(order string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[order]
}

// Chunk returns one event of a chat stream with a choice's content, and its finish reason, "" for none.
func Chunk(choice int, content, finish string) string {
	var reason any
	if finish != "" {
		reason = finish
	}
	raw, _ := json.Marshal(map[string]any{
		"id": "cmpl-1", "object": "chat.completion.chunk", "created": 1, "model": "m",
		"choices": []any{map[string]any{"index": choice, "delta": map[string]any{"content": content}, "finish_reason": reason}},
	})
	return "data: " + string(raw) + "\n\n"
}

// TextChunk returns one event of a completion, with the text of the answer to one of its prompts.
func TextChunk(choice int, text, finish string) string {
	var reason any
	if finish != "" {
		reason = finish
	}
	raw, _ := json.Marshal(map[string]any{
		"id": "cmpl-1", "object": "text_completion", "created": 1, "model": "m",
		"choices": []any{map[string]any{"index": choice, "text": text, "logprobs": nil, "finish_reason": reason}},
	})
	return "data: " + string(raw) + "\n\n"
}

// UsageAndDone are the last two events of a complete stream.
const UsageAndDone = `data: {"id":"cmpl-1","object":"chat.completion.chunk","created":1,"model":"m","choices":[],"usage":{"prompt_tokens":8,"completion_tokens":2,"total_tokens":10}}` + "\n\ndata: [DONE]\n\n"

// WriteEvents writes the head of a stream and events, each flushed, with a pause between them.
func WriteEvents(w http.ResponseWriter, pause time.Duration, events ...string) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i, e := range events {
		if i > 0 {
			time.Sleep(pause)
		}
		io.WriteString(w, e)
		_ = controller.Flush()
	}
}

// Reply is what a client got.
type Reply struct {
	Status int // 0 without an answer
	Header http.Header
	Body   string // as far as it arrived
	Whole  bool   // the answer arrived to its end
	Err    error
}

func (r Reply) String() string {
	if r.Status == 0 {
		return fmt.Sprintf("no answer (%v)", r.Err)
	}
	end := "whole"
	if !r.Whole {
		end = fmt.Sprintf("cut off (%v)", r.Err)
	}
	return fmt.Sprintf("%d %s, X-Should-Retry %q, Idempotent-Replayed %q: %s", r.Status, end, r.Header.Get("X-Should-Retry"), r.Header.Get("Idempotent-Replayed"), strings.TrimSpace(r.Body))
}

// Order sends an order as a chat under a key, as the count-th retry of the client, and waits for the answer.
func (l *Lab) Order(ctx context.Context, addr, key, order string, count int, fields map[string]any) Reply {
	request := map[string]any{"model": "order-assistant", "messages": []any{map[string]any{"role": "user", "content": order}}}
	for name, value := range fields {
		request[name] = value
	}
	return l.Post(ctx, addr, "/v1/chat/completions", key, order, count, request)
}

// Post sends a request under a key, as the count-th retry of the client, and waits for the answer. The record
// knows it by its label.
func (l *Lab) Post(ctx context.Context, addr, path, key, order string, count int, request map[string]any) Reply {
	return l.PostAs(ctx, APIKey, addr, path, key, order, count, request)
}

// PostAs is Post with another API key than APIKey.
func (l *Lab) PostAs(ctx context.Context, apiKey, addr, path, key, order string, count int, request map[string]any) Reply {
	body, _ := json.Marshal(request)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, strings.NewReader(string(body)))
	if err != nil {
		l.Fail("request: %v", err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	r.Header.Set("X-Stainless-Retry-Count", fmt.Sprint(count))
	r.GetBody = nil // the transport must not send it again
	l.Note("client sends %q under key %s, retry count %d", order, key, count)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	reply := Reply{}
	resp, err := client.Do(r)
	if err != nil {
		reply.Err = err
	} else {
		defer resp.Body.Close()
		raw, err := io.ReadAll(bufio.NewReader(resp.Body))
		reply = Reply{Status: resp.StatusCode, Header: resp.Header, Body: string(raw), Whole: err == nil, Err: err}
	}
	if noted := reply; len(reply.Body) > 4<<10 {
		noted.Body = fmt.Sprintf("%s... (%d bytes)", reply.Body[:200], len(reply.Body))
		l.Note("client got for %q: %v", order, noted)
	} else {
		l.Note("client got for %q: %v", order, reply)
	}
	return reply
}

// AwaitHealthy waits until a gateway's health check succeeds.
func (l *Lab) AwaitHealthy(addr string) {
	for range 200 {
		if resp, err := http.Get("http://" + addr + "/healthz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(25 * time.Millisecond)
	}
	l.Fail("the gateway at %s is not healthy", addr)
}
