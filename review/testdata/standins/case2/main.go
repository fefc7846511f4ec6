// Command case2 has a client place orders under idempotency keys. The gateway is killed when the first event of
// the order's stream has reached the client, started again, and restarted once more in a planned way (SIGTERM)
// before the client's retry comes. No order may run twice.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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
	engine, err := c.StartEngine("one", func(x *lab.Exchange) bool {
		id := order.FindString(x.Text)
		mu.Lock()
		runs[id]++
		n := runs[id]
		mu.Unlock()
		c.Log("engine one: runs %s, run number %d (request %s)", id, n, x.ID)
		if _, err := io.WriteString(x.Conn, lab.StreamHead+
			lab.Event(`{"choices":[{"index":0,"delta":{"content":`+lab.Quote("invoice for "+id)+`},"finish_reason":null}]}`)); err != nil {
			return false
		}
		time.Sleep(orderTime)
		_, err := io.WriteString(x.Conn,
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
		begun, ended := make(chan struct{}), make(chan bool, 1)
		go func() { ended <- place(c, address, id, 0, begun) }()
		select {
		case <-begun:
		case <-ended:
			c.Log("the stream of %s did not begin", id)
			return lab.CouldNot
		case <-time.After(5 * time.Second):
			c.Log("the stream of %s did not begin", id)
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
		<-ended
		time.Sleep(retryWait)
		place(c, address, id, 1, make(chan struct{}))
		mu.Lock()
		n := runs[id]
		mu.Unlock()
		c.Log("%s ran %d times", id, n)
		if n > 1 {
			twice++
		}
	}
	c.Log("orders that ran twice: %d of %d", twice, rounds)
	if twice > 0 {
		return lab.Broken
	}
	return lab.Held
}

// place sends an order, as its client's retry number retries, closes begun when the first byte of a stream has
// arrived, and records the answer. It reports whether the answer ended in good order.
func place(c *lab.Case, address, id string, retries int, begun chan<- struct{}) bool {
	c.Log("client: places %s under the key key-%s, retry count %d", id, id, retries)
	body := fmt.Sprintf(`{"model":"order-assistant","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"place %s"}]}`, id)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return false
	}
	req.GetBody = nil // the client must not send a request again on its own
	for _, h := range [][2]string{
		{"Authorization", "Bearer key-counter"}, {"Content-Type", "application/json"},
		{"Idempotency-Key", "key-" + id}, {"X-Stainless-Retry-Count", fmt.Sprint(retries)},
	} {
		req.Header.Set(h[0], h[1])
	}
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		c.Log("client: %s, retry count %d: %v", id, retries, err)
		return false
	}
	defer resp.Body.Close()
	first := make([]byte, 1)
	n, err := io.ReadFull(resp.Body, first)
	if n == 1 && resp.StatusCode == http.StatusOK {
		close(begun)
	}
	rest := []byte(nil)
	if err == nil {
		rest, err = io.ReadAll(resp.Body)
	}
	c.Log("client: %s, retry count %d: status %d, %s (%v)", id, retries, resp.StatusCode, strings.ReplaceAll(string(first[:n])+string(rest), "\n", "\\n"), err)
	return err == nil && resp.StatusCode == http.StatusOK
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
