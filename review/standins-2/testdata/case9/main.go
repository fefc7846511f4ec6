// Case9: engines that stop in the middle of an answer and go on to send bytes that are no event.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"standins2/lab"
)

const (
	// The pages allow 5 s from a running engine's last event to the end of its stream, and 50 ms on every limit.
	allowed = 5*time.Second + 50*time.Millisecond
	// How long a client waits before the case gives up on it.
	patience = 30 * time.Second
)

func main() {
	l := lab.New(100 * time.Second)
	writer := l.Engine("w1", "decode-a", func(w http.ResponseWriter, r *http.Request, requestID string) {
		w.Header().Set("Content-Type", "text/event-stream")
		controller := http.NewResponseController(w)
		send := func(text string) bool {
			_, err := io.WriteString(w, text)
			return err == nil && controller.Flush() == nil && r.Context().Err() == nil
		}
		event := func(content, reason string) string {
			return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", content, reason)
		}
		for i := range 3 {
			send(event(fmt.Sprintf("w%d ", i), "null"))
			time.Sleep(100 * time.Millisecond)
		}
		spoilt := l.Trouble && !strings.HasPrefix(requestID, "sound")
		for spoilt {
			text := ": X-Load: {\"x0\":0.5}\n" // comment lines without an end
			if strings.HasPrefix(requestID, "line") {
				text = ":" // one line without an end
			}
			if !send(text) {
				l.Note("engine w1: the connection of %s is closed", requestID)
				return
			}
			time.Sleep(time.Second)
		}
		send(event("end", `"stop"`))
		send("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":12,\"completion_tokens\":4,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n")
	})
	discovery := l.NewDiscovery([]lab.Member{l.Reader("r1"), writer})
	gateway := l.Platform("n0", lab.PlatformConfig(discovery))
	l.AwaitHealthy(gateway.Addr)

	ids := []string{"sound-0001", "comments-0002", "line-0003", "sound-0004"}
	broken := 0
	var mu sync.Mutex
	lab.Parallel(len(ids), func(i int) {
		waited, ended := read(l, gateway.Addr, ids[i])
		if strings.HasPrefix(ids[i], "sound") && (!ended || waited > allowed) {
			l.Fail("the sound stream of %s did not end", ids[i])
		}
		if waited > allowed {
			l.Note("BROKEN: the client of %s waited %v after the last event; its stream has ended: %v", ids[i], waited.Round(time.Millisecond), ended)
			mu.Lock()
			defer mu.Unlock()
			broken++
		}
	})
	if broken > 0 {
		l.End(lab.Broken, "%d of %d streams were left open over %v after the last event", broken, len(ids), allowed)
	}
	l.End(lab.Held, "all %d streams ended in time", len(ids))
}

// read sends a request and reads its answer until it ends, or for patience after the last event. It returns the
// time from the last event to the end.
func read(l *lab.Lab, addr, id string) (waited time.Duration, ended bool) {
	resp, err := l.Open(addr, id)
	if err != nil || resp.StatusCode != http.StatusOK {
		l.Fail("request %s: %v, %v", id, resp, err)
	}
	defer resp.Body.Close()
	type line struct {
		text string
		err  error
	}
	lines := make(chan line, 256)
	go func() {
		reader := bufio.NewReader(resp.Body)
		for {
			text, err := reader.ReadString('\n')
			lines <- line{text, err}
			if err != nil {
				return
			}
		}
	}()
	last := time.Now()
	for {
		select {
		case x := <-lines:
			if strings.TrimSpace(x.text) != "" || x.err != nil {
				l.Note("client of %s got %q, error %v", id, x.text, x.err)
			}
			if x.err != nil {
				return time.Since(last), true
			}
			if strings.HasPrefix(x.text, "data:") {
				last = time.Now()
			}
		case <-time.After(max(0, patience-time.Since(last))):
			l.Note("the client of %s gives up %v after the last event", id, patience)
			return patience, false
		}
	}
}
