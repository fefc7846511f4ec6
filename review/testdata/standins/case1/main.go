// Command case1 sends requests of two teams to one gateway whose engines now and then send an answer a second
// time, some milliseconds late. Each answer that a client gets must be the one that an engine made for its own
// request.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"regexp"
	"strings"
	"sync"
	"time"

	"review/lab"
)

const (
	seed        = 1
	load        = 25 * time.Second
	clients     = 2   // of each team
	secondEvery = 5   // one answer in so many is sent twice
	maxThinkMS  = 300 // between two requests of a client: some 24 requests a second in all
)

var marker = regexp.MustCompile(`mark-[a-z]+-[0-9]+-[0-9]+`)

func main() { lab.Main(run) }

func run(c *lab.Case) int {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	seconds, served := 0, 0
	engine := func(name string) (*lab.Engine, error) {
		return c.StartEngine(name, func(x *lab.Exchange) bool {
			text := "answer by " + name + " to " + marker.FindString(x.Text)
			answer := lab.StreamHead +
				lab.Event(`{"choices":[{"index":0,"delta":{"content":`+lab.Quote(text)+`},"finish_reason":null}]}`) +
				lab.Event(`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`) +
				lab.Event(`{"choices":[],"usage":{"prompt_tokens":12,"completion_tokens":6,"prompt_tokens_details":{"cached_tokens":0}}}`) +
				lab.Event("[DONE]") + lab.LastChunk
			mu.Lock()
			work := time.Duration(5+random.IntN(25)) * time.Millisecond
			served++
			second := c.Trouble && random.IntN(secondEvery) == 0
			late := time.Duration(2+random.IntN(10)) * time.Millisecond
			mu.Unlock()
			c.Log("engine %s: runs %s (request %s)", name, marker.FindString(x.Text), x.ID)
			time.Sleep(work)
			if _, err := io.WriteString(x.Conn, answer); err != nil {
				return false
			}
			if !second {
				return true
			}
			time.Sleep(late)
			_, err := io.WriteString(x.Conn, answer)
			mu.Lock()
			seconds++
			mu.Unlock()
			c.Log("engine %s: second answer to %s, %v late", name, marker.FindString(x.Text), late)
			return err == nil
		})
	}
	one, err := engine("one")
	if err != nil {
		c.Log("%v", err)
		return lab.CouldNot
	}
	two, err := engine("two")
	if err != nil {
		c.Log("%v", err)
		return lab.CouldNot
	}
	g, err := c.StartGateway("gateway", lab.Operator([3]string{"one", one.Addr, "openai"}, [3]string{"two", two.Addr, "both"}))
	if err != nil || !g.WaitHealthy(5*time.Second) {
		c.Log("no gateway: %v", err)
		return lab.CouldNot
	}
	counts := map[string]int{}
	var foreign []string
	var group sync.WaitGroup
	for _, team := range []string{"counter", "boatyards"} {
		for i := range clients {
			group.Go(func() {
				own := rand.New(rand.NewPCG(seed, uint64(10+i)))
				client := lab.NewClient()
				for n, end := 0, time.Now().Add(load); time.Now().Before(end); n++ {
					model := []string{"parts-assistant", "order-assistant"}[own.IntN(2)]
					mark := fmt.Sprintf("mark-%s-%d-%d", team, i, n)
					body := fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":50,"messages":[{"role":"user","content":"what about %s"}]}`, model, own.IntN(2) == 0, mark)
					a := client.Post(g.Addr, "/v1/chat/completions", "key-"+team, body)
					got := marker.FindAllString(a.Body, -1)
					wrong := ""
					for _, m := range got {
						if m != mark {
							wrong = m
						}
					}
					mu.Lock()
					counts[fmt.Sprint("status ", a.Status)]++
					if a.Status == 200 && wrong != "" {
						foreign = append(foreign, fmt.Sprintf("team %s asked %s for %s and got the answer to %s", team, model, mark, wrong))
						c.Log("FOREIGN: team %s asked %s for %s and got: %s", team, model, mark, strings.ReplaceAll(a.Body, "\n", "\\n"))
					}
					mu.Unlock()
					c.Log("client %s: asked %s for %s, got status %d with %v (%v)", team, model, mark, a.Status, got, a.Err)
					time.Sleep(time.Duration(own.IntN(maxThinkMS)) * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	c.Log("requests by status: %v; attempts run: %d; second answers: %d; foreign answers: %d", counts, served, seconds, len(foreign))
	for _, f := range foreign {
		c.Log("%s", f)
	}
	switch {
	case counts["status 200"] < 50:
		c.Log("fewer than 50 requests were answered")
		return lab.CouldNot
	case len(foreign) > 0:
		return lab.Broken
	}
	return lab.Held
}
