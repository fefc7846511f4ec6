// Command case2 has a client place orders under idempotency keys. The gateway is killed while the order is at
// its engine, started again, and restarted once more in a planned way (SIGTERM) before the client's retry comes.
// No order may run twice.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"review/lab"
)

const (
	rounds      = 6                      // in every other one the kill is the only disruption
	orderTime   = 400 * time.Millisecond // that an engine takes for an order
	restartWait = time.Second            // from the start after the kill to the planned restart
	retryWait   = 500 * time.Millisecond // of the client, after the gateway is back
)

var order = regexp.MustCompile(`order-[0-9]+`)

func main() { lab.Main(run) }

func run(c *lab.Case) int {
	var mu sync.Mutex
	runs := map[string]int{}
	arrived := make(chan string, 16)
	engine, err := c.StartEngine("one", func(x *lab.Exchange) bool {
		id := order.FindString(x.Text)
		mu.Lock()
		runs[id]++
		n := runs[id]
		mu.Unlock()
		c.Log("engine one: runs %s, run number %d (request %s)", id, n, x.ID)
		arrived <- id
		time.Sleep(orderTime)
		_, err := io.WriteString(x.Conn, lab.StreamHead+
			lab.Event(`{"choices":[{"index":0,"delta":{"content":`+lab.Quote("invoice for "+id)+`},"finish_reason":null}]}`)+
			lab.Event(`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)+
			lab.Event(`{"choices":[],"usage":{"prompt_tokens":12,"completion_tokens":6}}`)+
			lab.Event("[DONE]")+lab.LastChunk)
		return err == nil
	})
	if err != nil {
		c.Log("%v", err)
		return lab.CouldNot
	}
	address, err := freeAddress()
	if err != nil {
		c.Log("%v", err)
		return lab.CouldNot
	}
	operator := lab.Operator([3]string{"one", engine.Addr, "openai"})
	operator["listen"] = address
	operator["idempotency"] = map[string]any{"file": c.Dir + "/keys.db"}
	g, err := startHealthy(c, operator)
	if err != nil {
		c.Log("%v", err)
		return lab.CouldNot
	}
	twice := 0
	for round := range rounds {
		id := fmt.Sprint("order-", round)
		first := make(chan lab.Answer, 1)
		go func() { first <- place(c, address, id, 0) }()
		select {
		case <-arrived:
		case a := <-first:
			c.Log("%s did not reach the engine: status %d, %v", id, a.Status, a.Err)
			return lab.CouldNot
		case <-time.After(5 * time.Second):
			c.Log("%s did not reach the engine", id)
			return lab.CouldNot
		}
		if c.Trouble {
			g.Signal(syscall.SIGKILL)
			c.Log("gateway killed")
			if g, err = restart(c, g, operator); err != nil {
				c.Log("%v", err)
				return lab.CouldNot
			}
		}
		if c.Trouble && round%2 == 0 {
			time.Sleep(restartWait)
			g.Signal(syscall.SIGTERM)
			c.Log("planned restart: SIGTERM")
			if g, err = restart(c, g, operator); err != nil {
				c.Log("%v", err)
				return lab.CouldNot
			}
		}
		<-first
		time.Sleep(retryWait)
		place(c, address, id, 1)
		mu.Lock()
		n := runs[id]
		mu.Unlock()
		c.Log("%s ran %d times", id, n)
		if n > 1 {
			twice++
		}
		for len(arrived) > 0 {
			<-arrived
		}
	}
	c.Log("orders that ran twice: %d of %d", twice, rounds)
	if twice > 0 {
		return lab.Broken
	}
	return lab.Held
}

// place sends an order, as its client's retry number retries, and records the answer.
func place(c *lab.Case, address, id string, retries int) lab.Answer {
	c.Log("client: places %s under the key key-%s, retry count %d", id, id, retries)
	a := lab.NewClient().Post(address, "/v1/chat/completions", "key-counter",
		fmt.Sprintf(`{"model":"order-assistant","max_tokens":50,"messages":[{"role":"user","content":"place %s"}]}`, id),
		[2]string{"Idempotency-Key", "key-" + id}, [2]string{"X-Stainless-Retry-Count", fmt.Sprint(retries)})
	c.Log("client: %s, retry count %d: status %d, %s (%v)", id, retries, a.Status, strings.TrimSpace(a.Body), a.Err)
	return a
}

// restart waits for the end of a process and starts the next one.
func restart(c *lab.Case, g *lab.Gateway, operator map[string]any) (*lab.Gateway, error) {
	if !g.Wait(10 * time.Second) {
		return nil, errors.New("the gateway did not end within 10 s")
	}
	return startHealthy(c, operator)
}

func startHealthy(c *lab.Case, operator map[string]any) (*lab.Gateway, error) {
	g, err := c.StartGateway("gateway", operator)
	if err != nil {
		return nil, err
	}
	if !g.WaitHealthy(5 * time.Second) {
		return nil, errors.New("the gateway is not healthy")
	}
	return g, nil
}

// freeAddress returns an address whose port is free.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
