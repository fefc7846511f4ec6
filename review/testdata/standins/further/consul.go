package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"review/lab"
)

const (
	grace     = 2*time.Second + 50*time.Millisecond // from what the gateway was told to the last new work
	orderTime = 100 * time.Millisecond
	clients   = 4
	think     = 60 * time.Millisecond
)

// catalogue is a Consul agent that lists one service.
type catalogue struct {
	c *lab.Case

	mu       sync.Mutex
	index    uint64
	contact  time.Duration // since its server has heard from the leader
	engines  map[string]string
	critical map[string]bool
	changed  chan struct{}
	told     map[string]time.Time // engine: when the gateway was first told that it is gone or critical
	late     int                  // orders that began to arrive after the grace
}

// change applies a change and wakes the queries that wait for one.
func (s *catalogue) change(what string, do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
	s.c.Log("consul: %s, index %d", what, s.index)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers heartbeats, and blocking queries on the service's health.
func (s *catalogue) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/status/leader" {
		_, _ = io.WriteString(w, `"127.0.0.1:8300"`)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = 5 * time.Minute
	}
	s.mu.Lock()
	changed, unchanged := s.changed, after != 0 && s.index == after
	s.mu.Unlock()
	if unchanged {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []any{}
	for id, address := range s.engines {
		host, port, _ := net.SplitHostPort(address)
		number, _ := strconv.Atoi(port)
		status := "passing"
		if s.critical[id] {
			status = "critical"
			s.tell(id)
		}
		list = append(list, map[string]any{
			"Node":    map[string]any{"Node": "n1", "Address": "127.0.0.1"},
			"Service": map[string]any{"ID": id, "Address": host, "Port": number, "Meta": map[string]string{"role": "openai", "started_ms": "1"}, "CreateIndex": 10, "ModifyIndex": 10},
			"Checks":  []any{map[string]any{"CheckID": "service:" + id, "Status": status, "ModifyIndex": 10}},
		})
	}
	raw, _ := json.Marshal(list)
	w.Header().Set("X-Consul-Index", fmt.Sprint(s.index))
	w.Header().Set("X-Consul-KnownLeader", "true")
	w.Header().Set("X-Consul-LastContact", fmt.Sprint(s.contact.Milliseconds()))
	_, _ = w.Write(raw)
	_ = http.NewResponseController(w).Flush()
	for id := range s.told {
		if _, listed := s.engines[id]; !listed {
			s.tell(id)
		}
	}
}

// tell records that the gateway has been told about an engine. The caller holds s.mu.
func (s *catalogue) tell(engine string) {
	if s.told[engine].IsZero() {
		s.told[engine] = time.Now()
		s.c.Log("consul: told about %s", engine)
	}
}

// follow starts a gateway that finds four engines in Consul, places orders while script runs, and returns the exit
// code by the orders that came late.
func follow(c *lab.Case, script func(s *catalogue)) int {
	s := &catalogue{c: c, index: 1000, engines: map[string]string{}, critical: map[string]bool{}, changed: make(chan struct{}), told: map[string]time.Time{}}
	for i := range 4 {
		name := fmt.Sprint("e", i)
		e, err := c.StartEngine(name, func(x *lab.Exchange) bool {
			s.mu.Lock()
			if told := s.told[name]; !told.IsZero() && x.Began.Sub(told) > grace {
				s.late++
				c.Log("NEW WORK at %s, %v after it was told", name, x.Began.Sub(told).Round(time.Millisecond))
			}
			s.mu.Unlock()
			time.Sleep(orderTime)
			_, err := io.WriteString(x.Conn, lab.StreamHead+lab.Event(`{"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":"stop"}]}`)+lab.Event("[DONE]")+lab.LastChunk)
			return err == nil
		})
		if err != nil {
			return lab.CouldNot
		}
		s.engines[name] = e.Addr
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return lab.CouldNot
	}
	defer l.Close()
	go func() { _ = http.Serve(l, s) }()
	operator := lab.Operator()
	delete(operator, "engines")
	operator["consul"] = map[string]any{"address": l.Addr().String(), "service": "engine"}
	g, err := c.StartGateway("gateway", operator)
	if err != nil || !g.WaitHealthy(5*time.Second) {
		return lab.CouldNot
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			client := lab.NewClient()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(think):
				}
				body := fmt.Sprintf(`{"model":"order-assistant","messages":[{"role":"user","content":"order %d of client %d"}]}`, n, i)
				if a := client.Post(g.Addr, "/v1/chat/completions", "key-counter", body); a.Status != http.StatusOK {
					c.Log("client: status %d: %s", a.Status, a.Body)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	script(s)
	close(stop)
	group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Log("orders that began over the grace after the gateway was told: %d", s.late)
	return verdict(s.late)
}

// gone deregisters one engine, after the index has gone backwards.
func gone(c *lab.Case) int {
	return follow(c, func(s *catalogue) {
		if c.Trouble {
			s.change("the index goes backwards", func() { s.index = 400 })
			time.Sleep(time.Second)
		}
		s.change("e1 deregistered", func() { s.index++; s.told["e1"] = time.Time{}; delete(s.engines, "e1") })
		time.Sleep(6 * time.Second)
	})
}

// mass deregisters two engines at once, or one without the disruption.
func mass(c *lab.Case) int {
	return follow(c, func(s *catalogue) {
		s.change("engines deregistered", func() {
			s.index++
			for _, id := range map[bool][]string{true: {"e1", "e2"}, false: {"e1"}}[c.Trouble] {
				s.told[id] = time.Time{}
				delete(s.engines, id)
			}
		})
		time.Sleep(6 * time.Second)
	})
}

// mark has an engine's critical mark come with an answer in doubt; the answer after it has a lower index.
func mark(c *lab.Case) int {
	return follow(c, func(s *catalogue) {
		s.change("e1 critical, by a server without its leader for 20 s", func() { s.index, s.contact, s.critical["e1"] = 1010, 20*time.Second, true })
		time.Sleep(3 * time.Second)
		if c.Trouble {
			s.change("an older answer", func() { s.index, s.contact, s.critical["e1"] = 1005, 0, false })
		}
		time.Sleep(6 * time.Second)
	})
}
