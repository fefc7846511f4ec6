package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"wellgw/internal/enginetest"
)

// setRlimit sets a resource limit of a running program.
func setRlimit(t *testing.T, cmd *exec.Cmd, resource int, l syscall.Rlimit) {
	t.Helper()
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(cmd.Process.Pid), uintptr(resource), uintptr(unsafe.Pointer(&l)), 0, 0, 0)
	if errno != 0 {
		t.Fatal("prlimit:", errno)
	}
}

// getRlimit returns a resource limit of a running program.
func getRlimit(t *testing.T, cmd *exec.Cmd, resource int) (l syscall.Rlimit) {
	t.Helper()
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(cmd.Process.Pid), uintptr(resource), 0, uintptr(unsafe.Pointer(&l)), 0, 0)
	if errno != 0 {
		t.Fatal("prlimit:", errno)
	}
	return l
}

// startEjectionGateway starts a gateway with one prefill and two decode engines that stores ejections in tmp.
func startEjectionGateway(t *testing.T, tmp string, engines [3]*enginetest.Engine) *testGateway {
	t.Helper()
	config := writeConfig(t, fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":%s,
		"known":{"revision":1,"complete":true,"members":[
			{"id":"r1","host_port":%q,"locality":"a","flavor":"r","phase":"active"},
			{"id":"w1","host_port":%q,"locality":"a","flavor":"w","phase":"active"},
			{"id":"w2","host_port":%q,"locality":"a","flavor":"w","phase":"active"}]}}`,
		testSettings, engines[0].Addr, engines[1].Addr, engines[2].Addr))
	return startGateway(t, []string{"EDGE_CONFIG=" + config, "EDGE_CONTROL=127.0.0.1:0", "TMPDIR=" + tmp})
}

// sendRequest sends one request on a new connection and returns its status.
func (g *testGateway) sendRequest() int {
	g.t.Helper()
	c := g.dial()
	defer c.Close()
	_, text := g.nextRequest()
	io.WriteString(c, text)
	status, _, err := readAnswer(bufio.NewReader(c))
	if err != nil {
		g.t.Error(err)
	}
	return status
}

// An ejection applies immediately even if its file can't be written, although the command's reply is NO. The
// file is written once that is possible, so that a process started after a kill loads the ejection.
func TestEjectionSurvivesFailedFileWrite(t *testing.T) {
	tmp := t.TempDir()
	serve := func() string { return enginetest.Stream(2, 0) }
	engines := [3]*enginetest.Engine{enginetest.NewEngine(t, answerReleasesOr(prefillAnswer)), enginetest.NewEngine(t, answerReleasesOr(serve)), enginetest.NewEngine(t, answerReleasesOr(serve))}
	g := startEjectionGateway(t, tmp, engines)
	original := getRlimit(t, g.cmd, syscall.RLIMIT_FSIZE)
	setRlimit(t, g.cmd, syscall.RLIMIT_FSIZE, syscall.Rlimit{Cur: 0, Max: original.Max})
	if reply := sendCommand(t, g.control, "maint-on w1"); reply != "NO" {
		t.Errorf("reply to maint-on with unwritable file: %s", reply)
	}
	before := len(engines[1].Calls(http.MethodPost))
	for range 10 {
		if status := g.sendRequest(); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	if n := len(engines[1].Calls(http.MethodPost)); n != before {
		t.Errorf("%d requests to the ejected engine", n-before)
	}
	setRlimit(t, g.cmd, syscall.RLIMIT_FSIZE, original)
	enginetest.Eventually(t, "the ejection file is written", func() bool {
		text, _ := os.ReadFile(filepath.Join(tmp, "wellgw-bans-n1"))
		return string(text) == "w1\n"
	})
	g.cmd.Process.Kill()
	g.cmd.Wait()
	next := startEjectionGateway(t, tmp, engines)
	for range 10 {
		if status := next.sendRequest(); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	if n := len(engines[1].Calls(http.MethodPost)); n != before {
		t.Errorf("%d requests to the ejected engine after a kill", n-before)
	}
}

// An ejection file that is empty, truncated, malformed or too long doesn't change the ejections in force, and
// the log has a line for it.
func TestInvalidEjectionFilesChangeNothing(t *testing.T) {
	tmp := t.TempDir()
	serve := func() string { return enginetest.Stream(2, 0) }
	engines := [3]*enginetest.Engine{enginetest.NewEngine(t, answerReleasesOr(prefillAnswer)), enginetest.NewEngine(t, answerReleasesOr(serve)), enginetest.NewEngine(t, answerReleasesOr(serve))}
	g := startEjectionGateway(t, tmp, engines)
	if reply := sendCommand(t, g.control, "maint-on w1"); reply != "YES" {
		t.Fatalf("maint-on: %s", reply)
	}
	path := filepath.Join(tmp, "wellgw-bans-n1")
	for n, text := range []string{"", "w", "{\"v\":2,\x00}\n", strings.Repeat("x", 1<<20+1)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		enginetest.Eventually(t, "the unreadable file is logged", func() bool {
			return len(g.lines.withMessage("ejections file unreadable, keeping ejections in force")) > n
		})
		if status := g.sendRequest(); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
		os.WriteFile(path+".valid", []byte("w1\n"), 0o600)
		os.Rename(path+".valid", path)
		time.Sleep(300 * time.Millisecond) // so that the gateway reads the valid file in between
	}
	if n := len(engines[1].Calls(http.MethodPost)); n != 0 {
		t.Errorf("%d requests to the ejected engine", n)
	}
}

// A process on the clients' socket doesn't hand over because of a stale or invalid ready mark of an earlier
// process, including one whose clock was an hour ahead.
func TestStaleReadyMarkCausesNoHandOver(t *testing.T) {
	for name, mark := range map[string]string{
		"an hour ahead": fmt.Sprintf("%d 99\n", time.Now().Add(time.Hour).UnixNano()), "an hour behind": fmt.Sprintf("%d 99\n", time.Now().Add(-time.Hour).UnixNano()),
		"truncated": "179", "unknown format": "{\"version\": 9}\n", "empty": "",
	} {
		t.Run(name, func(t *testing.T) {
			tmp := t.TempDir()
			if err := os.WriteFile(filepath.Join(tmp, "wellgw-ready-n1"), []byte(mark), 0o600); err != nil {
				t.Fatal(err)
			}
			socket, addr := clientsSocket(t)
			prefill := enginetest.NewEngine(t, answerReleasesOr(prefillAnswer))
			decode := enginetest.NewEngine(t, answerReleasesOr(func() string { return enginetest.Stream(2, 0) }))
			config := platformConfig(t, "n1", "127.0.0.1:1", testSettings, prefill, decode)
			_, control, handedOver := startOnSocket(t, []string{"EDGE_CONFIG=" + config, "EDGE_CONTROL=127.0.0.1:0", "EDGE_SOCKET_FD=3", "TMPDIR=" + tmp}, socket)
			enginetest.Eventually(t, "status is yes", func() bool { return sendCommand(t, control, "status") == "YES" })
			time.Sleep(500 * time.Millisecond) // several polls of the mark
			select {
			case <-handedOver:
				t.Error("handed over to a process that no longer runs")
			default:
			}
			waitHealthy(t, "http://"+addr)
		})
	}
}

// clientsSocket returns a listening socket, as the platform passes it to the program, and its address.
func clientsSocket(t *testing.T) (*os.File, string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	socket, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	t.Cleanup(func() { socket.Close() })
	return socket, l.Addr().String()
}

// Running out of descriptors doesn't stop the program: it serves clients and operators again as soon as
// descriptors are available.
func TestRecoversFromDescriptorExhaustion(t *testing.T) {
	g := startTestGateway(t, func() string { return enginetest.Stream(2, 0) })
	original := getRlimit(t, g.cmd, syscall.RLIMIT_NOFILE)
	setRlimit(t, g.cmd, syscall.RLIMIT_NOFILE, syscall.Rlimit{Cur: 3, Max: original.Max})
	var waiting []net.Conn
	for range 8 { // accept fails for each of these and for the control connection
		waiting = append(waiting, g.dial())
	}
	command, err := net.Dial("tcp4", g.control)
	if err != nil {
		t.Fatal(err)
	}
	defer command.Close()
	io.WriteString(command, "standby\n")
	enginetest.Eventually(t, "both listeners have failed", func() bool {
		listeners := map[any]bool{}
		for _, line := range g.lines.withMessage("accept failed; tried again") {
			listeners[line["listen"]] = true
		}
		return len(listeners) == 2
	})
	setRlimit(t, g.cmd, syscall.RLIMIT_NOFILE, original)
	command.SetReadDeadline(time.Now().Add(time.Minute)) // only reached by a failing test
	if reply, err := bufio.NewReader(command).ReadString('\n'); reply != "YES\n" {
		t.Errorf("standby: %q, %v", reply, err)
	}
	if reply := sendCommand(t, g.control, "active"); reply != "YES" {
		t.Errorf("active: %s", reply)
	}
	for _, c := range waiting {
		c.Close()
	}
	waitHealthy(t, "http://"+g.addr)
	if status := g.sendRequest(); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// A process whose listening socket is shut down by another process performs a graceful shutdown: it answers
// the requests in flight and exits with an error.
func TestLostListenerCausesGracefulShutdown(t *testing.T) {
	socket, addr := clientsSocket(t)
	started, finish := make(chan bool, 1), make(chan bool)
	prefill := enginetest.NewEngine(t, answerReleasesOr(prefillAnswer))
	decode := enginetest.NewEngine(t, answerReleasesOr(func() string {
		started <- true
		<-finish
		return enginetest.Stream(2, 0)
	}))
	config := platformConfig(t, "n1", "127.0.0.1:1", testSettings, prefill, decode)
	cmd, control, _ := startOnSocket(t, []string{"EDGE_CONFIG=" + config, "EDGE_CONTROL=127.0.0.1:0", "EDGE_SOCKET_FD=3", "TMPDIR=" + t.TempDir()}, socket)
	enginetest.Eventually(t, "status is yes", func() bool { return sendCommand(t, control, "status") == "YES" })
	status := make(chan int, 1)
	go func() {
		resp, err := http.DefaultClient.Do(newRequest(t, "http://"+addr))
		if err != nil {
			status <- 0
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-started
	if err := syscall.Shutdown(int(socket.Fd()), syscall.SHUT_RDWR); err != nil {
		t.Fatal(err)
	}
	close(finish)
	if code := <-status; code != http.StatusOK {
		t.Errorf("status of the request in flight: %d", code)
	}
	if err := cmd.Wait(); cmd.ProcessState.ExitCode() != 1 {
		t.Errorf("exit: %v", err)
	}
}

// Sequences of signals and commands: every command has one reply, the health check never succeeds during the
// shutdown, and the process exits by itself.
func TestCommandAndSignalSequences(t *testing.T) {
	for _, c := range []struct {
		name     string
		commands []string // commands before and after SIGTERM
		want     []string
	}{
		{"standby, then SIGTERM", []string{"standby", "SIGTERM", "active", "standby"}, []string{"YES", "", "NO", "YES"}},
		{"SIGTERM, then standby", []string{"SIGTERM", "standby", "active"}, []string{"", "YES", "NO"}},
		{"repeated commands", []string{"standby", "standby", "active", "active", "standby", "SIGTERM", "SIGTERM"}, []string{"YES", "YES", "YES", "YES", "YES", "", ""}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := startTestGateway(t, func() string { return enginetest.SlowStream(2, 0, 4*time.Second) })
			streaming := g.dial() // its stream keeps the process running during the commands
			in := bufio.NewReader(streaming)
			_, text := g.nextRequest()
			io.WriteString(streaming, text)
			if _, err := in.Peek(1); err != nil {
				t.Fatal(err)
			}
			for n, command := range c.commands {
				if command == "SIGTERM" {
					g.cmd.Process.Signal(syscall.SIGTERM)
					enginetest.Eventually(t, "the shutdown has started", func() bool { return len(g.lines.withMessage("shutdown started")) > 0 })
					continue
				}
				if reply := sendCommand(t, g.control, command); reply != c.want[n] {
					t.Errorf("%s: %s, want %s", command, reply, c.want[n])
				}
				if command == "standby" && healthStatus("http://"+g.addr) == http.StatusOK {
					t.Error("health check succeeds during a drain")
				}
			}
			if status, _, err := readAnswer(in); status != http.StatusOK || err != nil {
				t.Errorf("stream in flight: %d %v", status, err)
			}
			if err := g.cmd.Wait(); err != nil {
				t.Errorf("exit: %v", err)
			}
		})
	}
}

// A log whose reader stalls or closes its end neither blocks requests nor stops the process.
func TestServesWithStalledOrClosedLogReader(t *testing.T) {
	prefill := enginetest.NewEngine(t, answerReleasesOr(prefillAnswer))
	decode := enginetest.NewEngine(t, answerReleasesOr(func() string { return enginetest.Stream(2, 0) }))
	cmd := programCommand(t, []string{"EDGE_CONFIG=" + platformConfig(t, "n1", "127.0.0.1:1", testSettings, prefill, decode)}, "serve", "--verbose")
	stderr, log := startLogged(t, cmd)
	g := &testGateway{t: t, cmd: cmd}
	for g.addr == "" && log.Scan() {
		if m := servingLine.FindStringSubmatch(log.Text()); m != nil {
			g.addr = m[1]
		}
	}
	waitHealthy(t, "http://"+g.addr)
	for range 400 { // a pipe holds 64 KiB; each request logs about 700 bytes
		if status := g.sendRequest(); status != http.StatusOK {
			t.Fatalf("status %d while the log reader stalls", status)
		}
	}
	stderr.(io.Closer).Close()
	for range 10 {
		if status := g.sendRequest(); status != http.StatusOK {
			t.Fatalf("status %d after the log reader has closed", status)
		}
	}
}
