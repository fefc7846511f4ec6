// Case7: two gateways; one refuses an order, the client calls again later under the same key, the other gateway
// runs the order and crashes, and the client's retry reaches the first one.
package main

import (
	"context"
	"net/http"
	"time"

	"standins2/lab"
)

const (
	key   = "key of the order"
	order = "forty litres of antifouling"
)

func main() {
	l := lab.New(100 * time.Second)
	var engine *lab.ChatEngine
	running := make(chan struct{}, 8)
	place := func(w http.ResponseWriter, r *http.Request, body []byte) {
		engine.Ran(body)
		running <- struct{}{}
		select {
		case <-time.After(time.Second): // an order takes a while
		case <-r.Context().Done():
			return
		}
		lab.WriteEvents(w, 20*time.Millisecond, lab.Chunk(0, "placed ", ""), lab.Chunk(0, "once", "stop"), lab.UsageAndDone)
	}
	full := func(w http.ResponseWriter, _ *http.Request, _ []byte) {
		l.Note("engine e1 is full: 429, not run")
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = w.Write([]byte(`{"error":{"message":"full","type":"rate_limit_error","param":null,"code":null}}`))
	}
	engine = l.NewChatEngine("e1", full)
	file := lab.OperatorFile(engine)
	file["gateways"] = 2
	a, b := l.Operator("a", file), l.Operator("b", file)
	l.AwaitHealthy(a.Addr)
	l.AwaitHealthy(b.Addr)

	// The first call of the application: the library's two retries are refused as well.
	for count := range 3 {
		reply := l.Order(context.Background(), a.Addr, key, order, count, nil)
		if reply.Status != http.StatusServiceUnavailable && reply.Status != http.StatusTooManyRequests {
			l.Fail("gateway a did not refuse the order: %v", reply)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if engine.Runs(order) != 0 {
		l.Fail("a refused order ran")
	}
	engine.SetAnswer(place)

	// The second call under the same key: its first attempt reaches gateway b.
	answer := make(chan lab.Reply, 1)
	go func() { answer <- l.Order(context.Background(), b.Addr, key, order, 0, nil) }()
	select {
	case <-running:
	case <-time.After(10 * time.Second):
		l.Fail("the order did not reach the engine")
	}
	if l.Trouble {
		time.Sleep(300 * time.Millisecond)
		l.Note("SIGKILL to gateway b")
		b.Kill()
	}
	reply := <-answer
	// The library retries what failed, and gateway a is the one that is left. A retry of an answered request
	// has to be harmless too, but the library makes none.
	if !reply.Whole || reply.Status != http.StatusOK {
		time.Sleep(500 * time.Millisecond)
		l.Order(context.Background(), a.Addr, key, order, 1, nil)
	}
	if runs := engine.Runs(order); runs > 1 {
		l.End(lab.Broken, "the order, a single_shot request under one key, ran %d times", runs)
	}
	l.End(lab.Held, "the order ran %d time", engine.Runs(order))
}
