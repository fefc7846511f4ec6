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
	seed       = 1
	requests   = 60
	resetEvery = 3 // one answer in so many is reset between its choices
	tokenTime  = 15 * time.Millisecond
)

var marker = regexp.MustCompile(`mark-[0-9]+`)

// choices asks for answers of two choices from engines that write one choice after the other, and whose
// connections are reset now and then after the first choice.
func choices(c *lab.Case) int {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 3))
	cut, runs := map[string]bool{}, map[string]int{}
	engine := func(name string) (*lab.Engine, error) {
		return c.StartEngine(name, func(x *lab.Exchange) bool {
			mark := marker.FindString(x.Text)
			mu.Lock()
			runs[mark]++
			reset := c.Trouble && random.IntN(resetEvery) == 0
			cut[mark] = cut[mark] || reset
			mu.Unlock()
			c.Log("engine %s: runs %s with %d choices, reset after the first: %v", name, mark, x.N, reset)
			parts := []string{lab.StreamHead}
			for i := range x.N {
				for _, word := range []string{mark, " choice", fmt.Sprint(" ", i)} {
					parts = append(parts, lab.Event(choice(x.Path, i, word, "null")))
				}
				parts = append(parts, lab.Event(choice(x.Path, i, "", `"stop"`)))
				if reset && i == 0 {
					break
				}
			}
			for _, p := range parts {
				if _, err := io.WriteString(x.Conn, p); err != nil {
					return false
				}
				time.Sleep(tokenTime)
			}
			if reset {
				lab.Reset(x.Conn)
				return false
			}
			_, err := io.WriteString(x.Conn, lab.Event(`{"choices":[],"usage":{"prompt_tokens":12,"completion_tokens":6}}`)+lab.Event("[DONE]")+lab.LastChunk)
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
	g, err := c.StartGateway("gateway", lab.Operator([3]string{"one", one.Addr, "openai"}, [3]string{"two", two.Addr, "openai"}))
	if err != nil || !g.WaitHealthy(5*time.Second) {
		c.Log("no gateway: %v", err)
		return lab.CouldNot
	}
	client, whole, broken, errors := lab.NewClient(), 0, 0, 0
	for n := range requests {
		mark := fmt.Sprint("mark-", n)
		model := []string{"parts-assistant", "order-assistant"}[n%2]
		stream := n%4 < 2
		path, body := "/v1/chat/completions", fmt.Sprintf(`{"model":%q,"stream":%v,"n":2,"max_tokens":50,"messages":[{"role":"user","content":"%s"}]}`, model, stream, mark)
		if n%3 == 0 {
			path, body = "/v1/completions", fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":50,"prompt":["%s","the same"]}`, model, stream, mark)
		}
		a := client.Post(g.Addr, path, "key-counter", body)
		first, second := strings.Contains(a.Body, `"index":0`), strings.Contains(a.Body, `"index":1`)
		ended := a.Status == 200 && a.Whole && (!stream || strings.Contains(a.Body, "data: [DONE]"))
		mu.Lock()
		c.Log("client: asked %s %s for two choices, %s, stream %v (reset %v, run %d times): status %d, first choice %v, second choice %v, ended in good order %v (%v)", path, model, mark, stream, cut[mark], runs[mark], a.Status, first, second, ended, a.Err)
		mu.Unlock()
		switch {
		case ended && first && second:
			whole++
		case ended:
			broken++
			c.Log("NOT WHOLE, yet ended in good order: %s", strings.ReplaceAll(a.Body, "\n", "\\n"))
		default:
			errors++
		}
	}
	c.Log("answers that are whole: %d; not whole, yet ended in good order: %d; ended as failed or refused: %d", whole, broken, errors)
	if whole == 0 {
		return lab.CouldNot
	}
	return verdict(broken)
}

// choice returns the data of an event with a part of one choice.
func choice(path string, index int, text, finish string) string {
	if path == "/v1/completions" {
		return fmt.Sprintf(`{"choices":[{"index":%d,"text":%s,"finish_reason":%s}]}`, index, lab.Quote(text), finish)
	}
	return fmt.Sprintf(`{"choices":[{"index":%d,"delta":{"content":%s},"finish_reason":%s}]}`, index, lab.Quote(text), finish)
}
