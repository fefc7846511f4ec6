// Case10: a slow engine writes answers whose text mentions the event that ends a stream.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"standins2/lab"
)

const (
	tokenTime  = 80 * time.Millisecond // between two tokens of a healthy engine
	tokensEach = 3                     // tokens of an event
	slowFactor = 8                     // of the slow engine
	requests   = 32
)

// An answer, one string for each event. The second event of an explanation quotes the last event of a stream.
var (
	explanation = []string{"The last event is ", "`data: [DONE]`", ", and after ", "it nothing comes. ", "Then it ends."}
	plain       = []string{"The last event is ", "`data: (DONE)`", ", and after ", "it nothing comes. ", "Then it ends."}
)

func main() {
	l := lab.New(110 * time.Second)
	var mu sync.Mutex
	served := map[string]string{} // the engine that wrote an answer, by request
	writer := func(id string, factor int) lab.Member {
		return l.Writer(id, func(requestID string) ([]string, time.Duration) {
			mu.Lock()
			served[requestID] = id
			mu.Unlock()
			pause := tokenTime * tokensEach * time.Duration(factor)
			if strings.HasPrefix(requestID, "plain") {
				return plain, pause
			}
			return explanation, pause
		})
	}
	slow := 1
	if l.Trouble {
		slow = slowFactor
	}
	// One engine of four is slow.
	discovery := l.NewDiscovery([]lab.Member{l.Reader("r1"), l.Reader("r2"), writer("w1", 1), writer("w2", slow)})
	gateway := l.Platform("n0", lab.PlatformConfig(discovery))
	l.AwaitHealthy(gateway.Addr)

	type result struct {
		id    string
		reply lab.Reply
	}
	results := make([]result, requests)
	lab.Parallel(requests, func(i int) {
		time.Sleep(time.Duration(i) * 100 * time.Millisecond)
		id := fmt.Sprintf("plain-%04d", i)
		if i%4 != 0 {
			id = fmt.Sprintf("quote-%04d", i)
		}
		results[i] = result{id, l.Stream(gateway.Addr, id)}
	})

	cut, slowServed := 0, 0
	for _, r := range results {
		if served[r.id] == "w2" && strings.HasPrefix(r.id, "quote") {
			slowServed++
		}
		if r.reply.Status != 200 || r.reply.Whole && strings.HasSuffix(r.reply.Body, "data: [DONE]\n\n") {
			continue // refused, or all of it arrived
		}
		if strings.HasPrefix(r.id, "plain") {
			l.Fail("the stream of %s, which quotes nothing, was cut off", r.id)
		}
		l.Note("BROKEN: %s by %s was cut off while its engine was writing", r.id, served[r.id])
		cut++
	}
	if slowServed == 0 {
		l.Fail("no request went to the engine w2")
	}
	if cut > 0 {
		l.End(lab.Broken, "%d of %d streams that a running engine was still writing were cut off", cut, requests)
	}
	l.End(lab.Held, "all %d streams arrived whole, %d of them quoted from the engine w2", requests, slowServed)
}
