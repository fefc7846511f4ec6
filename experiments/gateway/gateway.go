// Package gateway runs the gateway's binary for experiments.
package gateway

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/internal/admin"
)

// Key is the API key of the only team in Settings.
const Key = "lab-key"

// Settings returns an operator's file with two models, one with the effect free and one that must not run
// twice (single_shot), and with the engines of a Consul catalogue.
func Settings(consul map[string]any) map[string]any {
	return map[string]any{
		"listen": "127.0.0.1:0", "zone": "a",
		"limits": map[string]any{"cores": 2, "memory_mb": 256, "sockets": 2048},
		"admin":  map[string]any{"listen": "127.0.0.1:0"},
		"contracts": []any{
			map[string]any{"name": "part-lookup", "effect": "free", "aim_ms": 1000, "deadline_ms": 4000, "worth": 2},
			map[string]any{"name": "place-order", "effect": "single_shot", "aim_ms": 2500,
				"deadline_ms": 10000, "worth": 3},
		},
		"models": []any{map[string]any{"name": "parts", "contract": "part-lookup"},
			map[string]any{"name": "orders", "contract": "place-order"}},
		"teams": []any{map[string]any{"name": "lab", "keys": []string{Key},
			"models": []string{"parts", "orders"}}},
		"consul": consul,
	}
}

// Gateway is a running gateway process.
type Gateway struct {
	Name  string
	Addr  string // address that serves clients
	Admin string // address of the admin listener
	file  string
	cmd   *exec.Cmd
	ended chan struct{}

	mu  sync.Mutex
	log []Line
}

// Line is one line of the gateway's log.
type Line struct {
	At     time.Time
	Fields map[string]any
}

// StringField returns the value of a field, or "" if the field isn't a string.
func (l Line) StringField(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// startTimeout is the limit for the start of a gateway.
const startTimeout = 10 * time.Second

// Start writes the operator's file, starts the program with it and waits until it serves clients. The log is
// also written to a file in the same directory.
func Start(ctx context.Context, program, dir, name string, settings map[string]any) (*Gateway, error) {
	logFile, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("gateway %s: %w", name, err)
	}
	g := &Gateway{Name: name, file: filepath.Join(dir, name+".json"), ended: make(chan struct{})}
	if err := g.WriteSettings(settings); err != nil {
		return nil, err
	}
	g.cmd = exec.CommandContext(ctx, program, "serve", "--operator", g.file)
	stderr, err := g.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("gateway %s: %w", name, err)
	}
	if err := g.cmd.Start(); err != nil {
		return nil, fmt.Errorf("gateway %s: %w", name, err)
	}
	serving := make(chan struct{})
	go func() {
		defer close(g.ended)
		defer logFile.Close()
		once := sync.OnceFunc(func() { close(serving) })
		scan := bufio.NewScanner(stderr)
		scan.Buffer(nil, 1<<20)
		for scan.Scan() {
			fmt.Fprintln(logFile, scan.Text())
			var fields map[string]any
			if jsoniter.Unmarshal(scan.Bytes(), &fields) != nil {
				fields = map[string]any{"level": "error", "message": scan.Text()}
			}
			l := Line{At: time.Now(), Fields: fields}
			g.mu.Lock()
			g.log = append(g.log, l)
			switch l.StringField("message") {
			case "serving":
				g.Addr = l.StringField("listen")
				once()
			case "admin listener open":
				g.Admin = l.StringField("listen")
			}
			g.mu.Unlock()
		}
		once()
		_ = g.cmd.Wait()
	}()
	select {
	case <-serving:
	case <-time.After(startTimeout):
	}
	if g.Addr == "" {
		g.Kill()
		return nil, fmt.Errorf("gateway %s did not start: %s", name, g.tail())
	}
	return g, nil
}

// WriteSettings replaces the operator's file.
func (g *Gateway) WriteSettings(settings map[string]any) error {
	raw, err := jsoniter.MarshalIndent(settings, "", "  ")
	if err == nil {
		err = os.WriteFile(g.file, raw, 0o600)
	}
	if err != nil {
		return fmt.Errorf("gateway %s: %w", g.Name, err)
	}
	return nil
}

// Log returns the lines logged so far.
func (g *Gateway) Log() []Line {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Line(nil), g.log...)
}

func (g *Gateway) tail() string {
	log := g.Log()
	var text []string
	for _, l := range log[max(0, len(log)-3):] {
		text = append(text, fmt.Sprint(l.Fields))
	}
	return strings.Join(text, "; ")
}

// Count returns the number of log lines whose message begins with a prefix.
func (g *Gateway) Count(prefix string) int {
	n := 0
	for _, l := range g.Log() {
		if strings.HasPrefix(l.StringField("message"), prefix) {
			n++
		}
	}
	return n
}

// View fetches the gateway's view of its engines from the admin listener.
func (g *Gateway) View(ctx context.Context) (admin.View, error) { return admin.FetchView(ctx, g.Admin) }

// Await polls the view until a condition is met. It returns the time that this took, and whether it was met.
func (g *Gateway) Await(
	ctx context.Context, within time.Duration, ok func(admin.View) bool,
) (time.Duration, bool) {
	started := time.Now()
	for time.Since(started) < within && ctx.Err() == nil {
		if v, err := g.View(ctx); err == nil && ok(v) {
			return time.Since(started), true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(started), false
}

// Reload sends SIGHUP, on which the gateway reads its settings again.
func (g *Gateway) Reload() { _ = g.cmd.Process.Signal(syscall.SIGHUP) }

// Pause suspends the process by SIGSTOP.
func (g *Gateway) Pause() { _ = g.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (g *Gateway) Resume() { _ = g.cmd.Process.Signal(syscall.SIGCONT) }

// FetchPage reads a page of the admin listener into v.
func (g *Gateway) FetchPage(ctx context.Context, path string, v any) error {
	return admin.FetchPage(ctx, g.Admin, path, v)
}

// Kill terminates the process by SIGKILL and waits for its end.
func (g *Gateway) Kill() {
	_ = g.cmd.Process.Kill()
	<-g.ended
}

// Stop sends SIGTERM and waits for the end of the process. It kills the process and returns false if that
// takes too long.
func (g *Gateway) Stop(within time.Duration) bool {
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-g.ended:
		return true
	case <-time.After(within):
		g.Kill()
		return false
	}
}

// Usage is the resource use of a process.
type Usage struct {
	CPU      time.Duration // since the start of the process
	Resident float64       // MB
}

// ReadUsage reads the resource use of the process from /proc.
func (g *Gateway) ReadUsage() Usage {
	var u Usage
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.cmd.Process.Pid))
	if err != nil {
		return u
	}
	text := string(raw)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) < 22 {
		return u
	}
	const tick = 10 * time.Millisecond // USER_HZ is 100 on Linux
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	u.CPU, u.Resident = time.Duration(user+system)*tick, float64(pages)*float64(os.Getpagesize())/1e6
	return u
}
