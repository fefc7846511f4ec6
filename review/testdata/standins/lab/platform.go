package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Member is an engine as discovery lists it.
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

// Discovery is the platform's agent. Its list does not change.
type Discovery struct {
	Addr    string
	Members []Member
}

// StartDiscovery starts the agent on a free port.
func (c *Case) StartDiscovery(members []Member) (*Discovery, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: l.Addr().String(), Members: members}
	go func() { _ = http.Serve(l, d) }()
	return d, nil
}

// List returns the list in discovery's form.
func (d *Discovery) List() map[string]any {
	return map[string]any{"revision": 41, "complete": true, "members": d.Members}
}

// ServeHTTP answers with the whole list, or with a watch: the list, then an empty line every 2 s.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := json.Marshal(d.List())
	if err != nil || r.URL.Path != "/v1/servers" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(raw, '\n'))
	if r.URL.Query().Get("watch") == "" {
		return
	}
	for {
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
		}
		if _, err := io.WriteString(w, "\n"); err != nil {
			return
		}
	}
}

// Fleet is the state that two-stage engines hold for requests.
type Fleet struct {
	mu   sync.Mutex
	held map[string]bool
}

// NewFleet returns a fleet that holds nothing.
func NewFleet() *Fleet { return &Fleet{held: map[string]bool{}} }

// Read answers as a reader does, which has read the prompt after the given time.
func (f *Fleet) Read(x *Exchange, work time.Duration) bool {
	time.Sleep(work)
	f.mu.Lock()
	f.held[x.ID] = true
	f.mu.Unlock()
	body := `{"cached_tokens":0}`
	_, err := fmt.Fprintf(x.Conn, "HTTP/1.1 202 Accepted\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// Write answers as a writer does: it fetches the state and streams words, or turns the request away.
func (f *Fleet) Write(x *Exchange, words int, interval time.Duration) bool {
	f.mu.Lock()
	held := f.held[x.ID]
	delete(f.held, x.ID)
	f.mu.Unlock()
	if !held {
		_, err := io.WriteString(x.Conn, "HTTP/1.1 410 Gone\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if _, err := io.WriteString(x.Conn, StreamHead); err != nil {
		return false
	}
	for i := range words {
		finish := "null"
		if i == words-1 {
			finish = `"stop"`
		}
		if _, err := io.WriteString(x.Conn, Event(fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":"w%d "},"finish_reason":%s}]}`, i, finish))); err != nil {
			return false
		}
		time.Sleep(interval)
	}
	_, err := io.WriteString(x.Conn, Event(`{"choices":[],"usage":{"prompt_tokens":400,"completion_tokens":8,"prompt_tokens_details":{"cached_tokens":0}}}`)+Event("[DONE]")+LastChunk)
	return err == nil
}

// PlatformConfig returns the configuration of a gateway in a small deployment of one zone, with two-stage
// engines of the kinds `prompt` and `answer`.
func PlatformConfig(name, listen string, d *Discovery) map[string]any {
	return map[string]any{
		"name": name, "listen": listen, "discovery": d.Addr, "seed": "5eed",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  d.List(),
		"settings": map[string]any{
			"az": "ikeja", "zones": []string{"ikeja"}, "balancers": 1, "me": 0, "kinds": []string{"prompt", "answer"}, "tick": 4000,
			"membership_mode": "automatic", "family": "twostage", "weight_kind": "silent",
			"classes": []any{
				map[string]any{"name": "part-lookup", "effect": "free", "group": "all", "window": 5000000, "aim": 1000000, "hard_limit": 4000000, "gain": 2, "late_worth": 0.3, "streamed": true},
				map[string]any{"name": "place-order", "effect": "single_shot", "group": "all", "window": 5000000, "aim": 2500000, "hard_limit": 10000000, "gain": 3, "late_worth": 0.1, "streamed": true},
			},
			"family_info": map[string]any{
				"duty_by_kind": []string{"read", "write"}, "pin_limit": 500000, "tokens_by_kind": []float64{200000, 200000},
				"aim_us_per_1000_prompt_tokens": []float64{40000, 40000}, "token_aim": []float64{60000, 80000}, "local_read": false, "resume": true, "holds_allowed": false,
			},
			"limits": map[string]any{"send_cap": 4, "cancelling": true, "second_copies": true, "probes": false, "peers": false, "retry_after": false, "conn_idle": 15000000, "connect_timeout": 250000, "max_retry_after": 2000000},
			"report": map[string]any{"source": "silent", "columns": []string{}},
			"rules":  map[string]any{"answer_slack": 16000, "drain_grace": 2000000, "fall": 3000000, "fall_multiple": 4, "cold_share": 0.32, "cold": 14000000},
		},
	}
}

// PlatformHeaders returns the headers of a client's request.
func PlatformHeaders(id, class, key string, deadline time.Duration) [][2]string {
	return [][2]string{
		{"X-Request-Id", id}, {"X-Class", class}, {"X-Key", key}, {"X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds())},
		{"X-Extras", "prompt_len=400,max_out=50"},
	}
}

// Control sends one line to the control listener and returns the reply; "" if there is none within 2 s.
func Control(addr, line string) string {
	nc, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return ""
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(nc, line+"\n"); err != nil {
		return ""
	}
	raw, _ := io.ReadAll(nc)
	return strings.TrimSpace(string(raw))
}
