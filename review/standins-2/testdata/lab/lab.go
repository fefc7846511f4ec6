// Package lab has what the cases 6 to 10 share: the record, the project's programs as processes, and the end of
// a run. It uses the standard library alone.
package lab

import (
	"bufio"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
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

// Lab is one run of a case.
type Lab struct {
	Root    string // the project's folder
	Dir     string // temporary folder of the run
	Trouble bool   // whether the disruption takes place
	start   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*Process
	done      bool
}

// New reads the flags and opens the record. The run ends with CouldNot when limit is over.
func New(limit time.Duration) *Lab {
	root := flag.String("root", "", "the project's folder")
	record := flag.String("record", "", "the file that the run is recorded in")
	flag.Parse()
	l := &Lab{Root: *root, Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if l.record, err = os.Create(*record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	if l.Dir, err = os.MkdirTemp("", "wellgw-case"); err != nil {
		l.Fail("temporary folder: %v", err)
	}
	time.AfterFunc(limit, func() { l.Fail("the run took over %v", limit) })
	l.Note("start, disruption %v", l.Trouble)
	return l
}

// Note writes a line with its time to the record.
func (l *Lab) Note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
	line = strings.ReplaceAll(line, l.Dir, "TMP")
	if l.Root != "" {
		line = strings.ReplaceAll(line, l.Root, "ROOT")
	}
	fmt.Fprintln(l.record, line)
}

// End ends all processes that the run started and exits with a code.
func (l *Lab) End(code int, format string, args ...any) {
	l.Note("result %d: %s", code, fmt.Sprintf(format, args...))
	l.mu.Lock()
	if l.done { // another goroutine ends the run
		l.mu.Unlock()
		select {}
	}
	l.done = true
	processes := l.processes
	l.mu.Unlock()
	for _, p := range processes {
		p.Kill()
	}
	_ = os.RemoveAll(l.Dir)
	fmt.Printf("result %d: %s\n", code, fmt.Sprintf(format, args...))
	os.Exit(code)
}

// Fail ends a run that could not be made.
func (l *Lab) Fail(format string, args ...any) { l.End(CouldNot, format, args...) }

// Process is one process of the gateway.
type Process struct {
	Name    string
	Addr    string // where it serves clients
	Control string // its control listener, "" without one
	cmd     *exec.Cmd
	ended   chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// runCommand returns the command "run" of the deploy file.
func (l *Lab) runCommand() string {
	raw, err := os.ReadFile(filepath.Join(l.Root, "deploy", "balancer.toml"))
	if err != nil {
		l.Fail("deploy file: %v", err)
	}
	m := runLine.FindSubmatch(raw)
	if m == nil {
		l.Fail("the deploy file has no run")
	}
	return string(m[1])
}

const startTimeout = 15 * time.Second

// Operator starts a gateway with an operator's file, which it writes.
func (l *Lab) Operator(name string, file map[string]any) *Process {
	path := filepath.Join(l.Dir, name+".json")
	l.writeJSON(path, file)
	return l.startProcess(name, " --operator "+path, nil)
}

// Platform starts a gateway with the platform's configuration, which it writes.
func (l *Lab) Platform(name string, config map[string]any) *Process {
	path := filepath.Join(l.Dir, name+".json")
	l.writeJSON(path, config)
	return l.startProcess(name, "", []string{"EDGE_CONFIG=" + path, "TMPDIR=" + l.Dir})
}

// WriteConfig replaces the configuration of a gateway by a rename, as platforms do.
func (l *Lab) WriteConfig(name string, config map[string]any) {
	path := filepath.Join(l.Dir, name+".json")
	l.writeJSON(path+".new", config)
	if err := os.Rename(path+".new", path); err != nil {
		l.Fail("configuration: %v", err)
	}
}

func (l *Lab) writeJSON(path string, v any) {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err == nil {
		err = os.WriteFile(path, raw, 0o600)
	}
	if err != nil {
		l.Fail("configuration: %v", err)
	}
}

// startProcess starts the deploy file's run with further arguments and waits until it serves.
func (l *Lab) startProcess(name, args string, env []string) *Process {
	cmd := exec.Command("/bin/sh", "-c", l.runCommand()+args)
	cmd.Dir, cmd.Env = l.Root, append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		l.Fail("gateway %s: %v", name, err)
	}
	p := &Process{Name: name, cmd: cmd, ended: make(chan struct{})}
	if err := l.start1(p); err != nil {
		l.Fail("gateway %s: %v", name, err)
	}
	l.Note("gateway %s started, pid %d: %s", name, cmd.Process.Pid, l.runCommand()+args)
	serving := make(chan struct{})
	go func() {
		once := sync.OnceFunc(func() { close(serving) })
		scan := bufio.NewScanner(stderr)
		scan.Buffer(nil, 1<<20)
		for scan.Scan() {
			l.Note("log %s: %s", name, scan.Text())
			var line struct{ Message, Listen, Control string }
			if json.Unmarshal(scan.Bytes(), &line) != nil {
				continue
			}
			switch line.Message {
			case "control listener open":
				p.Control = line.Control
			case "serving":
				p.Addr = line.Listen
				once()
			}
		}
		once()
		err := cmd.Wait()
		exit := (*exec.ExitError)(nil)
		if err != nil && !errors.As(err, &exit) {
			l.Note("gateway %s: %v", name, err)
		}
		l.Note("gateway %s ended: %v", name, cmd.ProcessState)
		close(p.ended)
	}()
	select {
	case <-serving:
	case <-time.After(startTimeout):
	}
	if p.Addr == "" {
		l.Fail("gateway %s does not serve", name)
	}
	return p
}

// start1 starts a process under the lock, so that End does not miss it. The parent-death signal follows the
// thread that started it, which Main keeps.
func (l *Lab) start1(p *Process) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return errors.New("the run is over")
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	l.processes = append(l.processes, p)
	return nil
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process by SIGKILL and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Stop sends SIGTERM and waits for the end of the process; it reports whether it ended in time.
func (p *Process) Stop(within time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}
