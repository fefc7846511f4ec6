package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Intervals and limits of the operators and the front.
const (
	commandTimeout  = 2 * time.Second
	frontInterval   = 100 * time.Millisecond
	frontLag        = 200 * time.Millisecond // clients are admitted for this long after a failed health check
	upgradeTimeout  = 10 * time.Second
	commandAttempts = 5
	maxKillDelay    = 3 * time.Second
	exitTimeout     = 30 * time.Second // for a process to exit after SIGKILL
)

// gateway is one gateway: its sequence of processes and the address that its clients use.
type gateway struct {
	number        int
	plan          Plan
	program       string
	dir           string
	config        string // path of the configuration file
	discoveryAddr string

	discovery *discovery

	observed *Observations
	socket   *os.File // the clients' listening socket if the platform owns it; otherwise nil

	mu              sync.Mutex
	running         *process
	addr            string
	deadline        time.Duration // of the current settings
	drain           *Drain        // the latest drain; nil before the first one
	failedEjections []failedEjection
	admitted        atomic.Bool

	stepMu        sync.Mutex // held while a step acts on the process
	killedInWrite bool       // the planned kill in the middle of a file write has happened; guarded by mu
}

// process is one run of the program.
type process struct {
	cmd       *exec.Cmd
	record    *ProcessRecord
	control   string        // address of the control listener
	serving   string        // address for clients
	ready     chan struct{} // closed when the log has both addresses, or when the process ends
	ended     chan struct{}
	violation string // the log line that reports a violated invariant or is not JSON
}

// settings returns the platform's settings document.
func (g *gateway) settings() map[string]any {
	micros := func(d time.Duration) int64 { return d.Microseconds() }
	return map[string]any{
		"az": g.plan.zone(g.number), "zones": zoneNames[:g.plan.zones()], "balancers": g.plan.Gateways, "me": g.number, "kinds": []string{"r", "w"}, "tick": 4000,
		"classes":     []any{map[string]any{"name": "order", "aim": micros(g.deadline) / 2, "hard_limit": micros(g.deadline), "effect": g.plan.Effect, "gain": 1}},
		"family_info": map[string]any{"duty_by_kind": []string{"read", "write"}, "pin_limit": micros(g.plan.PinLimit), "tokens_by_kind": []int{200000, 200000}, "resume": g.plan.Resume},
		"limits":      map[string]any{"send_cap": g.plan.Attempts, "cancelling": true, "conn_idle": 2_000_000, "connect_timeout": 500_000},
		"rules":       map[string]any{"answer_slack": 16000, "fall": 3000000, "fall_multiple": 4, "cold_share": 0.5, "cold": 1000000, "drain_grace": micros(drainGrace)},
	}
}

// write replaces the configuration file atomically.
func (g *gateway) write() error {
	all, _ := g.discovery.list(g.number, -1)
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("g", g.number), "listen": "127.0.0.1:0", "discovery": g.discoveryAddr, "control": "127.0.0.1:0", "seed": fmt.Sprintf("%x", g.plan.Seed),
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": g.plan.Sockets}, "settings": g.settings(), "known": all,
	})
	if err != nil {
		return err
	}
	next := g.config + ".new"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, g.config)
}

// start starts a process and returns when it serves or has ended.
func (g *gateway) start(ctx context.Context) (*process, error) {
	faults, err := json.Marshal(g.plannedFaults())
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, g.program, "serve", "--verbose")
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+g.config, "TMPDIR="+g.dir, "WELLGW_FAULTS="+string(faults))
	if g.socket != nil {
		cmd.Env = append(cmd.Env, "EDGE_SOCKET_FD=3")
		cmd.ExtraFiles = []*os.File{g.socket}
	}
	errs, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(filepath.Join(g.dir, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, record: &ProcessRecord{Gateway: g.number, Started: g.observed.now(), Ready: Never, Terminated: Never, Killed: Never, Ended: Never}, ready: make(chan struct{}), ended: make(chan struct{})}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	g.observed.locked(func() { g.observed.Processes = append(g.observed.Processes, p.record) })
	go g.follow(ctx, p, errs, logFile)
	<-p.ready
	return p, nil
}

// plannedFaults returns the system faults for the next process. Only one process is killed by them.
func (g *gateway) plannedFaults() Injected {
	g.mu.Lock()
	defer g.mu.Unlock()
	faults := g.plan.Faults[g.number]
	if g.killedInWrite {
		faults.Kill = 0
	}
	return faults
}

// killedDuringWrite reports whether the planned kill in the middle of a file write ended a process, and
// records it.
func (g *gateway) killedDuringWrite(p *process, exit error) bool {
	failed := (*exec.ExitError)(nil)
	if g.plannedFaults().Kill == 0 || !errors.As(exit, &failed) {
		return false
	}
	status, ok := failed.Sys().(syscall.WaitStatus)
	notKilled := true
	g.observed.locked(func() { notKilled = p.record.Killed == Never })
	if !ok || status.Signal() != syscall.SIGKILL || !notKilled {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killedInWrite = true
	return true
}

// restart starts the successor of a killed process, unless a step has already started it.
func (g *gateway) restart(ctx context.Context, killed *process) {
	g.stepMu.Lock()
	defer g.stepMu.Unlock()
	if p, _, _ := g.snapshot(); p != killed || ctx.Err() != nil {
		return
	}
	g.markInterrupted()
	g.endDrain()
	_ = g.startNext(ctx) // the readiness rule reports a gateway that does not start again
}

// follow reads a process's log to its end and records how the process exited.
func (g *gateway) follow(ctx context.Context, p *process, errs io.Reader, logFile io.WriteCloser) {
	defer close(p.ended)
	defer logFile.Close()
	ready := sync.OnceFunc(func() { close(p.ready) })
	defer ready()
	scan := bufio.NewScanner(errs)
	scan.Buffer(nil, 1<<20)
	for scan.Scan() {
		fmt.Fprintln(logFile, scan.Text())
		var line struct{ Message, Listen, Control string }
		if json.Unmarshal(scan.Bytes(), &line) != nil {
			p.violation = "log line is not JSON: " + scan.Text()
			continue
		}
		switch {
		case line.Message == "serving":
			p.serving = line.Listen
		case line.Message == "control listener open":
			p.control = line.Control
		case strings.Contains(line.Message, "invariant"):
			p.violation = scan.Text()
		}
		if p.serving != "" && p.control != "" {
			ready()
		}
	}
	err := p.cmd.Wait()
	inWrite := g.killedDuringWrite(p, err)
	if inWrite {
		go g.restart(ctx, p)
	}
	g.observed.locked(func() {
		p.record.Ended = g.observed.now()
		if inWrite {
			p.record.Killed = p.record.Ended
		}
		if exit := (*exec.ExitError)(nil); err != nil && p.record.Killed == Never && errors.As(err, &exit) {
			p.record.CrashReason = fmt.Sprintf("exited unexpectedly: %v %s", err, p.violation)
		} else if p.violation != "" {
			p.record.CrashReason = p.violation
		} else if p.record.Terminated == Never && p.record.Killed == Never {
			p.record.CrashReason = "exited without a signal from the experiment"
		}
	})
}

// publish directs clients and operators to a process.
func (g *gateway) publish(p *process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running = p
	if g.socket == nil {
		g.addr = p.serving
	}
}

func (g *gateway) snapshot() (p *process, addr string, deadline time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.addr, g.deadline
}

// sendCommand sends an operator's command and reports whether the answer was YES.
func sendCommand(control, line string) bool {
	c, err := net.DialTimeout("tcp4", control, commandTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(commandTimeout))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return false
	}
	answer, _ := bufio.NewReader(c).ReadString('\n')
	return strings.HasPrefix(answer, "YES")
}

// healthy checks a gateway's health on a separate connection.
func healthy(ctx context.Context, addr string) bool {
	reqCtx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(reqCtx, http.MethodGet, "http://"+addr+"/healthz", nil)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// front polls a gateway's health, like the front that distributes clients, and admits clients accordingly.
func (g *gateway) front(ctx context.Context) {
	for ; ctx.Err() == nil; wait(ctx, nil, frontInterval) {
		p, addr, _ := g.snapshot()
		ok := healthy(ctx, addr)
		now := g.observed.now()
		g.observed.locked(func() {
			if ok && p.record.Ready == Never {
				p.record.Ready = now
			}
			d := g.drain
			if d == nil || !ok {
				return
			}
			if now > d.At+drainCheckDelay && now < d.Until && d.HealthyInDrain == Never {
				d.HealthyInDrain = now
			}
			if d.ActiveAt != Never && d.HealthyAfter == Never {
				d.HealthyAfter = now
			}
		})
		if ok {
			g.admitted.Store(true)
		} else {
			time.AfterFunc(frontLag, func() { g.admitted.Store(false) })
		}
	}
}

// markInterrupted records that a step affects the process, so that its drain can't be checked.
func (g *gateway) markInterrupted() {
	g.observed.locked(func() {
		d := g.drain
		if d == nil {
			return
		}
		now := g.observed.now()
		if now < d.At+drainCheckDelay+slack {
			d.DrainInterrupted = true
		}
		if d.ActiveAt == Never || now < d.ActiveAt+drainEndLimit+slack {
			d.ActiveInterrupted = true
		}
	})
}

// endDrain ends the record of the latest drain.
func (g *gateway) endDrain() {
	g.observed.locked(func() {
		if g.drain != nil {
			g.drain.Until = min(g.drain.Until, g.observed.now())
		}
	})
}

// terminate sends SIGTERM and then SIGKILL, at the earliest time that the platform's protocol allows.
func (g *gateway) terminate(p *process) {
	_, _, deadline := g.snapshot()
	g.observed.locked(func() { p.record.Terminated = g.observed.now() })
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return
	case <-time.After(min(deadline, maxKillDelay) + killGrace):
	}
	g.kill(p)
}

// kill sends SIGKILL and waits for the exit.
func (g *gateway) kill(p *process) {
	select {
	case <-p.ended:
		return
	default:
	}
	g.observed.locked(func() { p.record.Killed = g.observed.now() })
	_ = p.cmd.Process.Kill()
	select {
	case <-p.ended:
	case <-time.After(exitTimeout):
	}
}

// startNext starts the successor of a process that has ended.
func (g *gateway) startNext(ctx context.Context) error {
	if err := g.write(); err != nil { // the platform includes the last known engine list
		return err
	}
	p, err := g.start(ctx)
	if err != nil {
		return err
	}
	g.publish(p)
	return nil
}

// step carries out one step.
func (g *gateway) step(ctx context.Context, s Step) error {
	g.stepMu.Lock()
	defer g.stepMu.Unlock()
	p, _, _ := g.snapshot()
	if s.Verb != Active && s.Verb != Standby && s.Verb != EjectEngine && s.Verb != ReadmitEngine {
		g.markInterrupted()
	}
	switch s.Verb {
	case Standby:
		g.standby(p)
	case Active:
		g.active(p)
	case EjectEngine:
		g.eject(p, s.Engine)
	case ReadmitEngine:
		g.readmit(p, s.Engine)
	case Pause:
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		wait(ctx, nil, s.For)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	case Reload:
		g.mu.Lock()
		g.deadline = g.plan.ReloadedDeadline
		g.mu.Unlock()
		if err := g.write(); err != nil {
			return err
		}
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
	case Terminate, Kill:
		if s.Verb == Kill {
			g.kill(p)
		} else {
			g.terminate(p)
		}
		g.endDrain()
		return g.startNext(ctx)
	case Upgrade:
		return g.upgrade(ctx, p)
	}
	return nil
}

func (g *gateway) standby(p *process) {
	if !sendCommand(p.control, "standby") {
		return
	}
	g.observed.locked(func() {
		if g.drain != nil && g.drain.Until == Never {
			return // the gateway is already draining
		}
		g.drain = &Drain{Gateway: g.number, At: g.observed.now(), Until: Never, HealthyInDrain: Never, ActiveAt: Never, HealthyAfter: Never}
		g.observed.Drains = append(g.observed.Drains, g.drain)
	})
}

func (g *gateway) active(p *process) {
	sent := g.observed.now()
	accepted := sendCommand(p.control, "active")
	g.observed.locked(func() {
		if d := g.drain; accepted && d != nil && d.Until == Never {
			d.Until, d.ActiveAt = sent, g.observed.now()
		}
	})
}

// ejectionDelay is the time after a command until the ejection is in force, whether or not it was stored.
const ejectionDelay = time.Second

func (g *gateway) eject(p *process, engine int) {
	sent := g.observed.now()
	accepted := sendCommand(p.control, fmt.Sprint("maint-on d", engine))
	g.observed.locked(func() {
		e := &Ejection{Gateway: g.number, Engine: engine, At: sent + ejectionDelay, Until: Never}
		if !accepted { // ends with its process; not expected of a stopped process
			if e.Until = p.record.Ended; p.record.Terminated != Never || p.record.Killed != Never {
				return
			}
			g.failedEjections = append(g.failedEjections, failedEjection{e, p})
		}
		g.observed.Ejections = append(g.observed.Ejections, e)
	})
}

func (g *gateway) readmit(p *process, engine int) {
	g.observed.locked(func() {
		for _, e := range g.observed.Ejections {
			if e.Gateway == g.number && e.Engine == engine {
				e.Until = min(e.Until, g.observed.now())
			}
		}
	})
	for range commandAttempts { // an operator repeats a refused command
		if sendCommand(p.control, fmt.Sprint("maint-off d", engine)) {
			return
		}
		p, _, _ = g.snapshot()
	}
}

// failedEjection is an ejection that a process answered with NO but has in force.
type failedEjection struct {
	ejection *Ejection
	process  *process
}

// endFailedEjections ends, at the exit of their process, the ejections that the process could not store.
func (g *gateway) endFailedEjections() {
	g.observed.locked(func() {
		for _, u := range g.failedEjections {
			u.ejection.Until = min(u.ejection.Until, u.process.record.Ended)
		}
	})
}

// upgrade starts a new process on the same socket and stops the old one when the new one can serve.
func (g *gateway) upgrade(ctx context.Context, old *process) error {
	g.endDrain() // only the old process got the command
	if err := g.write(); err != nil {
		return err
	}
	p, err := g.start(ctx)
	if err != nil {
		return err
	}
	for until := g.observed.now() + upgradeTimeout; g.observed.now() < until && !sendCommand(p.control, "status"); {
		wait(ctx, nil, 50*time.Millisecond)
	}
	g.publish(p)
	g.terminate(old)
	return nil
}

// descriptors returns the number of open descriptors of a process.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}
