// Case8: a configuration that lacks a key is loaded by SIGHUP, and an engine fails after it has run a request.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"standins2/lab"
)

const (
	warmUp   = 16 // requests before the change, which all succeed
	requests = 40 // after it
	failing  = 5  // of these every fifth meets an engine that fails after it has run the request
)

func main() {
	l := lab.New(100 * time.Second)
	var mu sync.Mutex
	runs := map[string]map[string]int{} // by request and zone: runs that the engines of the zone did not drop
	// The engines of a zone drop repeats of a request: a repeat gets the answer and is not run again.
	engine := func(id, zone string) lab.Member {
		m := l.Engine(id, "m", func(w http.ResponseWriter, _ *http.Request, requestID string) {
			mu.Lock()
			if runs[requestID] == nil {
				runs[requestID] = map[string]int{}
			}
			first := len(runs[requestID]) == 0
			repeat := runs[requestID][zone] > 0
			if !repeat {
				runs[requestID][zone]++
			}
			mu.Unlock()
			if repeat {
				l.Note("engine %s of zone %s drops the repeat of %s and answers", id, zone, requestID)
			} else {
				l.Note("engine %s of zone %s runs %s", id, zone, requestID)
			}
			time.Sleep(20 * time.Millisecond)
			if first && strings.HasPrefix(requestID, "fails") {
				l.Note("engine %s fails after it has run %s: 500", id, requestID)
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			io.WriteString(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"done\"},\"finish_reason\":\"stop\"}]}\n\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":12,\"completion_tokens\":1,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n")
		})
		m.Locality = zone
		return m
	}
	a, b := engine("ma", "a"), engine("mb", "b")
	b.Cell = 2
	discovery := l.NewDiscovery([]lab.Member{a, b})
	config := lab.PlatformConfig(discovery)
	settings := config["settings"].(map[string]any)
	settings["zones"], settings["kinds"] = []string{"a", "b"}, []string{"m"}
	settings["family_info"] = map[string]any{"duty_by_kind": []string{"both"}, "pin_limit": 500000, "tokens_by_kind": []int{200000}, "resume": false}
	class := map[string]any{"name": "entry-post", "aim": 2500000, "hard_limit": 10000000, "effect": "guarded", "group": "zone", "window": 5000000, "gain": 2}
	settings["classes"] = []any{class}
	gateway := l.Platform("n0", config)
	l.AwaitHealthy(gateway.Addr)
	for i := range warmUp {
		l.Stream(gateway.Addr, fmt.Sprintf("before-%04d", i))
	}
	if l.Trouble {
		delete(class, "group")
	}
	l.Note("SIGHUP; classes of the file: %v", class)
	l.WriteConfig("n0", config)
	gateway.Signal(syscall.SIGHUP)
	time.Sleep(1500 * time.Millisecond)
	refused := 0
	for i := range requests {
		id := fmt.Sprintf("after-%04d", i)
		if i%failing == 0 {
			id = fmt.Sprintf("fails-%04d", i)
		}
		reply := l.Stream(gateway.Addr, id)
		mu.Lock()
		ran := len(runs[id]) > 0
		mu.Unlock()
		if ran && (reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests) {
			l.Note("BROKEN: %s was refused with %d after it had run in one zone", id, reply.Status)
			refused++
		}
		time.Sleep(50 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, zones := range runs {
		if len(zones) > 1 {
			l.Note("BROKEN: %s ran in %d zones, and engines drop repeats within a zone only", id, len(zones))
			twice++
		}
	}
	if twice+refused > 0 {
		l.End(lab.Broken, "of %d guarded requests %d ran in two zones, and %d were refused after they had run", len(runs), twice, refused)
	}
	l.End(lab.Held, "none of %d guarded requests ran in two zones or was refused after it had run", len(runs))
}
