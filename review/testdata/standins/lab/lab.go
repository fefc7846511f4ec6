// Package lab has what the review's cases share: it starts the gateway with the command of the deploy file,
// keeps the record of a run, and offers engines that are scripted byte by byte.
package lab

import (
	"bufio"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// Case is one run of a case.
type Case struct {
	Root    string // of the project
	Dir     string // temporary, removed at the end
	Trouble bool   // with the disruption

	mu       sync.Mutex
	record   *os.File
	started  time.Time
	gateways []*Gateway
	engines  []*Engine
	ended    bool // no further process is started
}

// Main runs a case and exits with its code.
func Main(run func(*Case) int) {
	root := flag.String("root", ".", "the project's root")
	record := flag.String("record", "record.txt", "the file of the record")
	limit := flag.Duration("limit", 110*time.Second, "the longest run")
	flag.Parse()
	os.Exit(start(*root, *record, *limit, run))
}

func start(root, record string, limit time.Duration, run func(*Case) int) int {
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CouldNot
	}
	defer f.Close()
	c := &Case{Root: root, Trouble: os.Getenv("TROUBLE") != "0", record: f, started: time.Now()}
	if c.Dir, err = os.MkdirTemp("", "wellgw-review-"); err != nil {
		c.Log("no temporary folder: %v", err)
		return CouldNot
	}
	defer os.RemoveAll(c.Dir)
	defer c.stopAll()
	c.Log("disruption: %v", c.Trouble)
	result := make(chan int, 1)
	go func() { result <- run(c) }()
	code := CouldNot
	select {
	case code = <-result:
	case <-time.After(limit):
		c.Log("the run did not end within %v", limit)
	}
	c.Log("result: %d (0 the rule held, 1 it was broken, 2 the case could not run)", code)
	return code
}

// Log adds a line to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%9.3f  ", time.Since(c.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(c.record, line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Fprintln(os.Stderr, line)
	}
}

func (c *Case) stopAll() {
	c.mu.Lock()
	c.ended = true
	gateways, engines := c.gateways, c.engines
	c.mu.Unlock()
	for _, g := range gateways {
		g.Kill()
	}
	for _, e := range engines {
		e.Close()
	}
}

// runCommand returns the command that the deploy file names under run.
func (c *Case) runCommand() (string, error) {
	raw, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run\s*=\s*("(?:[^"\\]|\\.)*")`).FindSubmatch(raw)
	if m == nil {
		return "", errors.New("the deploy file has no run")
	}
	return strconv.Unquote(string(m[1]))
}

// Gateway is one process of the gateway, which serves the chat API.
type Gateway struct {
	Name  string
	Addr  string
	cmd   *exec.Cmd
	ended chan struct{}
	err   error

	mu  sync.Mutex
	log []string
}

// StartGateway starts the gateway with an operator's file and waits until it serves.
func (c *Case) StartGateway(name string, operator map[string]any) (*Gateway, error) {
	file, err := c.writeJSON(name, operator)
	if err != nil {
		return nil, err
	}
	return c.start(name, " --operator "+file, nil, nil)
}

// StartPlatformGateway starts the gateway with the platform's configuration and these variables, and waits
// until it serves. The socket, if there is one, is the clients' and becomes descriptor 7.
func (c *Case) StartPlatformGateway(name string, config map[string]any, env []string, socket *os.File) (*Gateway, error) {
	file, err := c.writeJSON(name, config)
	if err != nil {
		return nil, err
	}
	env = append([]string{"EDGE_CONFIG=" + file}, env...)
	var files []*os.File
	if socket != nil {
		env = append(env, "EDGE_SOCKET_FD=7")
		files = []*os.File{nil, nil, nil, nil, socket}
	}
	return c.start(name, "", env, files)
}

func (c *Case) writeJSON(name string, content any) (path string, err error) {
	raw, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		return "", err
	}
	path = filepath.Join(c.Dir, name+".json")
	return path, os.WriteFile(path, raw, 0o600)
}

// start starts the gateway with the deploy file's command and waits until it logs that it serves.
func (c *Case) start(name, args string, env []string, files []*os.File) (*Gateway, error) {
	command, err := c.runCommand()
	if err != nil {
		return nil, err
	}
	g := &Gateway{Name: name, ended: make(chan struct{})}
	g.cmd = exec.Command("/bin/sh", "-c", command+args)
	g.cmd.Dir, g.cmd.ExtraFiles = c.Root, files
	g.cmd.Env = append(append(os.Environ(), "TMPDIR="+c.Dir), env...)
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	stderr, err := g.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := c.startProcess(g); err != nil {
		return nil, err
	}
	c.Log("%s: started, process %d: %s", name, g.cmd.Process.Pid, command)
	serving := make(chan string, 1)
	go g.read(stderr, serving)
	select {
	case g.Addr = <-serving:
		c.Log("%s: serves at %s", name, g.Addr)
		return g, nil
	case <-g.ended:
		return nil, fmt.Errorf("%s ended at its start: %s", name, strings.Join(g.Lines(), " | "))
	case <-time.After(15 * time.Second):
		g.Kill()
		return nil, fmt.Errorf("%s did not serve within 15 s", name)
	}
}

// startProcess starts a gateway's process, unless the run has ended.
func (c *Case) startProcess(g *Gateway) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return errors.New("the run has ended")
	}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	c.gateways = append(c.gateways, g)
	return nil
}

func (g *Gateway) read(stderr io.Reader, serving chan<- string) {
	defer close(g.ended)
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		g.mu.Lock()
		g.log = append(g.log, lines.Text())
		g.mu.Unlock()
		var l struct{ Message, Listen string }
		if json.Unmarshal(lines.Bytes(), &l) == nil && l.Message == "serving" {
			select {
			case serving <- l.Listen:
			default:
			}
		}
	}
	g.err = g.cmd.Wait()
}

// Lines returns the log so far.
func (g *Gateway) Lines() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.log...)
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) { _ = syscall.Kill(g.cmd.Process.Pid, s) }

// Wait waits for the end of the process and returns false if it has not ended within d.
func (g *Gateway) Wait(d time.Duration) bool {
	select {
	case <-g.ended:
		return true
	case <-time.After(d):
		return false
	}
}

// Kill ends the process at once.
func (g *Gateway) Kill() {
	select {
	case <-g.ended:
	default:
		_ = syscall.Kill(-g.cmd.Process.Pid, syscall.SIGKILL)
		<-g.ended
	}
}

// WaitHealthy waits until GET /healthz answers 200.
func (g *Gateway) WaitHealthy(d time.Duration) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + g.Addr + "/healthz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Exchange is a request that has arrived whole at an engine.
type Exchange struct {
	Conn  net.Conn
	Began time.Time // when its first byte had arrived
	ID    string    // X-Request-Id
	Path  string
	Body  []byte
	Text  string // the text of the last message, or the prompts
	N     int    // choices asked for
}

// Engine is a model server on loopback. Serve answers one request; if it returns false, the connection is
// closed.
type Engine struct {
	Name, Addr string
	listener   net.Listener
	serve      func(*Exchange) bool

	mu    sync.Mutex
	conns map[net.Conn]bool
	ended bool
}

// StartEngine starts an engine on a free port.
func (c *Case) StartEngine(name string, serve func(*Exchange) bool) (*Engine, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{Name: name, Addr: l.Addr().String(), listener: l, serve: serve, conns: map[net.Conn]bool{}}
	c.mu.Lock()
	c.engines = append(c.engines, e)
	c.mu.Unlock()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[nc] = true
			ended := e.ended
			e.mu.Unlock()
			if ended {
				nc.Close()
				return
			}
			go e.handle(nc)
		}
	}()
	c.Log("engine %s listens at %s", name, e.Addr)
	return e, nil
}

func (e *Engine) handle(nc net.Conn) {
	defer func() {
		nc.Close()
		e.mu.Lock()
		delete(e.conns, nc)
		e.mu.Unlock()
	}()
	r := bufio.NewReader(nc)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		began := time.Now()
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.Method != http.MethodPost {
			status := "404 Not Found"
			if req.Method == http.MethodDelete {
				status = "204 No Content"
			}
			if _, err := io.WriteString(nc, "HTTP/1.1 "+status+"\r\n"+map[bool]string{true: "", false: "Content-Length: 0\r\n"}[req.Method == http.MethodDelete]+"\r\n"); err != nil {
				return
			}
			continue
		}
		if !e.serve(newExchange(nc, began, req, body)) {
			return
		}
	}
}

func newExchange(nc net.Conn, began time.Time, req *http.Request, body []byte) *Exchange {
	x := &Exchange{Conn: nc, Began: began, ID: req.Header.Get("X-Request-Id"), Path: req.URL.Path, Body: body, N: 1}
	var b struct {
		N        int
		Prompt   any
		Messages []struct{ Content string }
	}
	if json.Unmarshal(body, &b) == nil {
		x.N = max(1, b.N)
		if n := len(b.Messages); n > 0 {
			x.Text = b.Messages[n-1].Content
		}
		if list, is := b.Prompt.([]any); is {
			x.N *= len(list)
			x.Text = fmt.Sprint(list...)
		}
	}
	return x
}

// Close ends the engine's process: its connections are reset and new ones are refused.
func (e *Engine) Close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	for nc := range e.conns {
		Reset(nc)
	}
}

// Reset closes a connection with a reset.
func Reset(nc net.Conn) {
	if t, is := nc.(*net.TCPConn); is {
		_ = t.SetLinger(0)
	}
	nc.Close()
}

// The parts of a streamed answer.
const (
	StreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	LastChunk  = "0\r\n\r\n"
)

// Event returns an event with this data, as one chunk.
func Event(data string) string {
	event := "data: " + data + "\n\n"
	return fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
}

// Quote returns a text as JSON.
func Quote(s string) string {
	b, _ := json.Marshal(s)
	return string(b)
}

// Operator returns an operator's file of a small deployment, with the contracts, models and limits of
// deploy/operator.json, two teams and these engines: id to address and role.
func Operator(engines ...[3]string) map[string]any {
	list := []any{}
	for _, e := range engines {
		list = append(list, map[string]any{"id": e[0], "address": e[1], "role": e[2]})
	}
	return map[string]any{
		"listen": "127.0.0.1:0", "zone": "hall-1", "gateways": 1, "engine_memory_tokens": 200000,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"contracts": []any{
			map[string]any{"name": "part-lookup", "effect": "free", "aim_ms": 1000, "deadline_ms": 4000, "worth": 2},
			map[string]any{"name": "place-order", "effect": "single_shot", "aim_ms": 2500, "deadline_ms": 10000, "worth": 3},
		},
		"models": []any{
			map[string]any{"name": "parts-assistant", "contract": "part-lookup"},
			map[string]any{"name": "order-assistant", "contract": "place-order"},
		},
		"teams": []any{
			map[string]any{"name": "counter", "keys": []string{"key-counter"}, "models": []string{"parts-assistant", "order-assistant"}},
			map[string]any{"name": "boatyards", "keys": []string{"key-boatyards"}, "models": []string{"parts-assistant", "order-assistant"}},
		},
		"engines": list,
	}
}

// Answer is what a client got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Whole  bool // the answer ended in good order
	Err    error
}

// Client sends requests to a gateway and keeps its connections.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient() *Client {
	return &Client{&http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}}
}

// Post sends a request and reads its whole answer.
func (c *Client) Post(addr, path, key, body string, headers ...[2]string) Answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.GetBody = nil // the client must not send a request again on its own
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	for _, h := range headers {
		req.Header.Set(h[0], h[1])
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(raw), Whole: err == nil, Err: err}
}
