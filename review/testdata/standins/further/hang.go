package main

import (
	"io"
	"time"

	"review/lab"
)

// hang has an engine hang after its first event. The client must not wait for more than 5 s after it.
func hang(c *lab.Case) int {
	lastEvent := make(chan time.Time, 1)
	e, err := c.StartEngine("one", func(x *lab.Exchange) bool {
		if _, err := io.WriteString(x.Conn, lab.StreamHead+lab.Event(`{"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}`)); err != nil {
			return false
		}
		lastEvent <- time.Now()
		if c.Trouble {
			time.Sleep(90 * time.Second)
			return false
		}
		_, err := io.WriteString(x.Conn, lab.Event(`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)+lab.Event("[DONE]")+lab.LastChunk)
		return err == nil
	})
	if err != nil {
		return lab.CouldNot
	}
	g, err := c.StartGateway("gateway", lab.Operator([3]string{"one", e.Addr, "openai"}))
	if err != nil || !g.WaitHealthy(5*time.Second) {
		return lab.CouldNot
	}
	a := lab.NewClient().Post(g.Addr, "/v1/chat/completions", "key-counter", `{"model":"order-assistant","stream":true,"messages":[{"role":"user","content":"a bow shackle"}]}`)
	waited := time.Since(<-lastEvent)
	c.Log("client: status %d, whole %v, ended %v after the last event: %s", a.Status, a.Whole, waited.Round(time.Millisecond), a.Body)
	if waited > 5*time.Second+50*time.Millisecond {
		return lab.Broken
	}
	return lab.Held
}
