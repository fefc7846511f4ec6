package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Member is an engine in discovery's list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Discovery is a stand-in for discovery's agent. Its list does not change.
type Discovery struct {
	Addr    string
	members []Member
}

// NewDiscovery starts an agent that tells these engines.
func (l *Lab) NewDiscovery(members []Member) *Discovery {
	d := &Discovery{members: members}
	d.Addr = l.serve("discovery", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/servers" {
			http.NotFound(w, r)
			return
		}
		if r.URL.Query().Get("watch") == "" {
			fmt.Fprintln(w, d.list(true))
			return
		}
		controller := http.NewResponseController(w)
		fmt.Fprintln(w, d.list(true)) // the whole list is an allowed first line
		for {
			_ = controller.Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				io.WriteString(w, "\n")
			}
		}
	})
	return d
}

func (d *Discovery) list(complete bool) string {
	raw, _ := json.Marshal(map[string]any{"revision": 41, "complete": complete, "members": d.members})
	return string(raw)
}

// serve starts an HTTP server on loopback and returns its address.
func (l *Lab) serve(name string, handler http.HandlerFunc) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		l.Fail("%s: %v", name, err)
	}
	server := &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: handler}
	go server.Serve(listener)
	return listener.Addr().String()
}

// Reader starts an engine that reads prompts and holds their state until it is released.
func (l *Lab) Reader(id string) Member {
	addr := l.serve(id, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch {
		case r.Method == http.MethodDelete:
			l.Note("engine %s releases %s", id, r.URL.Path)
			w.WriteHeader(http.StatusNoContent)
		case r.Method == http.MethodPost && r.Header.Get("X-Request-Id") != "":
			l.Note("engine %s reads %s, %d bytes", id, r.Header.Get("X-Request-Id"), len(body))
			time.Sleep(20 * time.Millisecond)
			w.WriteHeader(http.StatusAccepted)
			io.WriteString(w, `{"cached_tokens":0}`)
		default:
			http.NotFound(w, r)
		}
	})
	return Member{ID: id, HostPort: addr, Locality: "gasan", Flavor: "prefill", Cell: 1, Phase: "active", Size: 1}
}

// Writer starts an engine that streams answers. events returns the content of an answer's events, and the pause
// between them.
func (l *Lab) Writer(id string, events func(requestID string) (contents []string, pause time.Duration)) Member {
	addr := l.serve(id, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		requestID := r.Header.Get("X-Request-Id")
		switch {
		case r.Method == http.MethodDelete:
			w.WriteHeader(http.StatusNoContent)
			return
		case r.Method != http.MethodPost || requestID == "":
			http.NotFound(w, r)
			return
		}
		l.Note("engine %s writes %s, %d bytes", id, requestID, len(body))
		contents, pause := events(requestID)
		w.Header().Set("Content-Type", "text/event-stream")
		controller := http.NewResponseController(w)
		time.Sleep(50 * time.Millisecond) // the first token
		for i, content := range contents {
			if i > 0 {
				time.Sleep(pause)
			}
			if r.Context().Err() != nil {
				l.Note("engine %s: the gateway has closed the connection of %s before event %d of %d", id, requestID, i+1, len(contents))
				return
			}
			reason := any(nil)
			if i == len(contents)-1 {
				reason = "stop"
			}
			raw, _ := json.Marshal(map[string]any{"choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": content}, "finish_reason": reason}}})
			fmt.Fprintf(w, "data: %s\n\n", raw)
			_ = controller.Flush()
			l.Note("engine %s wrote event %d of %s", id, i+1, requestID)
		}
		fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":12,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n", 3*len(contents))
		l.Note("engine %s has written %s to its end", id, requestID)
	})
	return Member{ID: id, HostPort: addr, Locality: "gasan", Flavor: "decode-a", Cell: 1, Phase: "active", Size: 1}
}

// Engine starts an engine of a flavor that answers requests by a function of its own, and releases as any engine.
func (l *Lab) Engine(id, flavor string, answer func(w http.ResponseWriter, r *http.Request, requestID string)) Member {
	addr := l.serve(id, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		requestID := r.Header.Get("X-Request-Id")
		switch {
		case r.Method == http.MethodDelete:
			l.Note("engine %s releases %s", id, r.URL.Path)
			w.WriteHeader(http.StatusNoContent)
		case r.Method != http.MethodPost || requestID == "":
			http.NotFound(w, r)
		default:
			l.Note("engine %s got %s, %d bytes", id, requestID, len(body))
			answer(w, r, requestID)
		}
	})
	return Member{ID: id, HostPort: addr, Locality: "gasan", Flavor: flavor, Cell: 1, Phase: "active", Size: 1}
}

// PlatformConfig returns the configuration of the only gateway, with the figures of the site seoul-main and its
// class that must not run twice.
func PlatformConfig(d *Discovery) map[string]any {
	micros := func(t time.Duration) int64 { return t.Microseconds() }
	known := json.RawMessage(d.list(true))
	return map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": d.Addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": known,
		"settings": map[string]any{
			"az": "gasan", "zones": []string{"gasan", "mokdong"}, "balancers": 1, "me": 0, "kinds": []string{"prefill", "decode-a"}, "tick": 2000,
			"classes": []any{map[string]any{
				"name": "entry-post", "aim": micros(2500 * time.Millisecond), "hard_limit": micros(10 * time.Second), "late_worth": 0.3, "gain": 2, "streamed": true,
				"effect": "single_shot", "group": "all", "window": micros(5 * time.Second),
			}},
			"family_info": map[string]any{
				"duty_by_kind": []string{"read", "write"}, "pin_limit": micros(500 * time.Millisecond), "tokens_by_kind": []int{220000, 170000},
				"aim_us_per_1000_prompt_tokens": []int{40000}, "token_aim": []int{80000}, "local_read": true, "resume": false,
			},
			"limits": map[string]any{"send_cap": 6, "cancelling": true, "conn_idle": 15_000_000, "connect_timeout": 250_000, "retry_after": true, "max_retry_after": 1_000_000, "second_copies": false},
			"rules":  map[string]any{"answer_slack": 16000, "fall": 3_000_000, "fall_multiple": 4, "cold_share": 0.29, "cold": 10_000_000, "drain_grace": 1_000_000},
		},
	}
}

// Open sends one request of the platform's clients and returns the answer once its head has arrived.
func (l *Lab) Open(addr, requestID string) (*http.Response, error) {
	const body = `{"model":"chat","stream":true,"max_tokens":80,"messages":[{"role":"user","content":"how does an event stream end?"}]}`
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		l.Fail("request: %v", err)
	}
	for name, value := range map[string]string{
		"Content-Type": "application/json", "X-Request-Id": requestID, "X-Class": "entry-post", "X-Key": "k" + requestID,
		"X-Deadline-Ms": "10000", "X-Extras": "prompt_len=12,max_out=80",
	} {
		r.Header.Set(name, value)
	}
	r.GetBody = nil
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
}

// Stream sends one request of the platform's clients and reads its answer to the end.
func (l *Lab) Stream(addr, requestID string) Reply {
	reply := Reply{}
	resp, err := l.Open(addr, requestID)
	if err != nil {
		reply.Err = err
	} else {
		defer resp.Body.Close()
		raw, err := io.ReadAll(bufio.NewReader(resp.Body))
		reply = Reply{Status: resp.StatusCode, Header: resp.Header, Body: string(raw), Whole: err == nil, Err: err}
	}
	l.Note("client got for %s: %v", requestID, reply)
	return reply
}

// Parallel runs do for each of n numbers at once and waits for all.
func Parallel(n int, do func(i int)) {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { do(i) })
	}
	group.Wait()
}
