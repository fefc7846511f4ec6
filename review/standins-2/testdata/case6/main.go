// Case6: a configuration that lacks a key is loaded by SIGHUP, and an engine fails after it has run a request.
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
	requests = 64 // after it
	failing  = 8  // of these every eighth meets an engine that fails after it has run the request
)

func main() {
	l := lab.New(100 * time.Second)
	var mu sync.Mutex
	runs := map[string]map[string]int{} // by request and zone: runs that the engines of the zone did not drop
	// The writers of a zone drop repeats of a request: a repeat gets the answer and is not run again.
	writer := func(id, zone string) lab.Member {
		m := l.Engine(id, "decode-a", func(w http.ResponseWriter, _ *http.Request, requestID string) {
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
		return m
	}
	// A reader and a writer in each of two zones.
	place := func(m lab.Member, zone string, cell int) lab.Member {
		m.Locality, m.Cell = zone, cell
		return m
	}
	discovery := l.NewDiscovery([]lab.Member{
		place(l.Reader("r1"), "gasan", 1), place(writer("w1", "gasan"), "gasan", 1),
		place(l.Reader("r2"), "mokdong", 2), place(writer("w2", "mokdong"), "mokdong", 2),
	})
	config := lab.PlatformConfig(discovery)
	class := config["settings"].(map[string]any)["classes"].([]any)[0].(map[string]any)
	class["effect"], class["group"] = "guarded", "zone"
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
