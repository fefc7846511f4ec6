// Case7: a gateway without a file of keys runs an order, is restarted with the file that keeps keys over
// restarts, and the client retries.
package main

import (
	"context"
	"net/http"
	"path/filepath"
	"time"

	"standins2/lab"
)

const (
	key   = "key of the order"
	order = "two winches"
)

func main() {
	l := lab.New(100 * time.Second)
	var engine *lab.ChatEngine
	running := make(chan struct{}, 8)
	engine = l.NewChatEngine("e1", func(w http.ResponseWriter, r *http.Request, body []byte) {
		engine.Ran(body)
		running <- struct{}{}
		lab.WriteEvents(w, 100*time.Millisecond, lab.Chunk(0, "placed ", ""), lab.Chunk(0, "once", "stop"), lab.UsageAndDone)
	})
	file := lab.OperatorFile(engine)
	file["gateways"] = 1
	gateway := l.Operator("gateway", file)
	l.AwaitHealthy(gateway.Addr)

	// The client's first attempt: it gives up waiting and drops its connection.
	ctx, giveUp := context.WithCancel(context.Background())
	answer := make(chan lab.Reply, 1)
	go func() { answer <- l.Order(ctx, gateway.Addr, key, order, 0, nil) }()
	select {
	case <-running:
	case <-time.After(10 * time.Second):
		l.Fail("the order did not reach the engine")
	}
	time.Sleep(50 * time.Millisecond)
	giveUp()
	<-answer
	time.Sleep(time.Second)

	if l.Trouble {
		l.Note("planned restart: SIGTERM to the gateway, which then starts with idempotency.file")
		if !gateway.Stop(20 * time.Second) {
			l.Fail("the gateway does not end after SIGTERM")
		}
		file["idempotency"] = map[string]any{"file": filepath.Join(l.Dir, "keys.db")}
		gateway = l.Operator("gateway", file)
		l.AwaitHealthy(gateway.Addr)
	}
	l.Order(context.Background(), gateway.Addr, key, order, 1, nil)
	if runs := engine.Runs(order); runs > 1 {
		l.End(lab.Broken, "the order, a single_shot request under one key, ran %d times", runs)
	}
	l.End(lab.Held, "the order ran %d time", engine.Runs(order))
}
