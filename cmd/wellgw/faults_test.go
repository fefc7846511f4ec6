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

// startEjectionGateway starts a gateway of one prefill and two decode engines that keeps ejections in tmp.
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

// ask sends one request on a connection of its own and returns its status.
func (d *testGateway) ask() int {
	d.t.Helper()
	c := d.dial()
	defer c.Close()
	_, text := d.request()
	io.WriteString(c, text)
	status, _, err := readAnswer(bufio.NewReader(c))
	if err != nil {
		d.t.Error(err)
	}
	return status
}

// An engine that was taken out while files can't grow is out at once, though the call is told no;
// the file is written once that can be done, so that a process started after a kill knows of it.
func TestEjectionIsKeptWhereFileCouldNotBeWritten(t *testing.T) {
	tmp := t.TempDir()
	serve := func() string { return enginetest.Stream(2, 0) }
	engines := [3]*enginetest.Engine{enginetest.NewEngine(t, releasedOr(prefillAnswer)), enginetest.NewEngine(t, releasedOr(serve)), enginetest.NewEngine(t, releasedOr(serve))}
	d := startEjectionGateway(t, tmp, engines)
	full := getRlimit(t, d.cmd, syscall.RLIMIT_FSIZE)
	setRlimit(t, d.cmd, syscall.RLIMIT_FSIZE, syscall.Rlimit{Cur: 0, Max: full.Max})
	if a := sendCommand(t, d.control, "maint-on w1"); a != "NO" {
		t.Errorf("maint-on that can't be written: %s", a)
	}
	before := len(engines[1].Calls(http.MethodPost))
	for range 10 {
		if status := d.ask(); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	if n := len(engines[1].Calls(http.MethodPost)); n != before {
		t.Errorf("%d requests to the engine that is out", n-before)
	}
	setRlimit(t, d.cmd, syscall.RLIMIT_FSIZE, full)
	enginetest.Eventually(t, "the ejection is written", func() bool {
		text, _ := os.ReadFile(filepath.Join(tmp, "wellgw-bans-n1"))
		return string(text) == "w1\n"
	})
	d.cmd.Process.Kill()
	d.cmd.Wait()
	next := startEjectionGateway(t, tmp, engines)
	for range 10 {
		if status := next.ask(); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	if n := len(engines[1].Calls(http.MethodPost)); n != before {
		t.Errorf("%d requests to the engine that is out, after a kill", n-before)
	}
}

// Files of ejections that are empty, cut, foreign or too long change nothing that is in force, and
// the log says so.
func TestSpoiltEjectionFilesChangeNothing(t *testing.T) {
	tmp := t.TempDir()
	serve := func() string { return enginetest.Stream(2, 0) }
	engines := [3]*enginetest.Engine{enginetest.NewEngine(t, releasedOr(prefillAnswer)), enginetest.NewEngine(t, releasedOr(serve)), enginetest.NewEngine(t, releasedOr(serve))}
	d := startEjectionGateway(t, tmp, engines)
	if a := sendCommand(t, d.control, "maint-on w1"); a != "YES" {
		t.Fatalf("maint-on: %s", a)
	}
	path := filepath.Join(tmp, "wellgw-bans-n1")
	for n, text := range []string{"", "w", "{\"v\":2,\x00}\n", strings.Repeat("x", 1<<20+1)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		enginetest.Eventually(t, "the log names the file", func() bool { return len(d.lines.with("ejections file unreadable, keeping ejections in force")) > n })
		if status := d.ask(); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
		os.WriteFile(path+".whole", []byte("w1\n"), 0o600)
		os.Rename(path+".whole", path)
		time.Sleep(300 * time.Millisecond) // it is read whole in between
	}
	if n := len(engines[1].Calls(http.MethodPost)); n != 0 {
		t.Errorf("%d requests to the engine that is out", n)
	}
}

// A process on the clients' socket serves whatever mark an earlier one has left, also one of a
// clock that was an hour ahead.
func TestStaleReadyMarkIsNoNewerProcess(t *testing.T) {
	for name, mark := range map[string]string{
		"an hour ahead": fmt.Sprintf("%d 99\n", time.Now().Add(time.Hour).UnixNano()), "an hour behind": fmt.Sprintf("%d 99\n", time.Now().Add(-time.Hour).UnixNano()),
		"half": "179", "foreign": "{\"version\": 9}\n", "empty": "",
	} {
		t.Run(name, func(t *testing.T) {
			tmp := t.TempDir()
			if err := os.WriteFile(filepath.Join(tmp, "wellgw-ready-n1"), []byte(mark), 0o600); err != nil {
				t.Fatal(err)
			}
			socket, addr := clientsSocket(t)
			prefill := enginetest.NewEngine(t, releasedOr(prefillAnswer))
			decode := enginetest.NewEngine(t, releasedOr(func() string { return enginetest.Stream(2, 0) }))
			config := platformConfig(t, "n1", "127.0.0.1:1", testSettings, prefill, decode)
			_, control, handed := startOnSocket(t, []string{"EDGE_CONFIG=" + config, "EDGE_CONTROL=127.0.0.1:0", "EDGE_SOCKET_FD=3", "TMPDIR=" + tmp}, socket)
			enginetest.Eventually(t, "status is yes", func() bool { return sendCommand(t, control, "status") == "YES" })
			time.Sleep(500 * time.Millisecond) // several looks at the mark
			select {
			case <-handed:
				t.Error("handed over to a process that is no more")
			default:
			}
			waitHealthy(t, "http://"+addr)
		})
	}
}

// clientsSocket is a listening socket as the platform hands it down, and its address.
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

// While a program has no descriptors left, nothing ends: clients and operators are served again as
// soon as there are some.
func TestServesAfterDescriptorsRanOut(t *testing.T) {
	d := startTestGateway(t, func() string { return enginetest.Stream(2, 0) })
	usual := getRlimit(t, d.cmd, syscall.RLIMIT_NOFILE)
	setRlimit(t, d.cmd, syscall.RLIMIT_NOFILE, syscall.Rlimit{Cur: 3, Max: usual.Max})
	var waiting []net.Conn
	for range 8 { // accept fails for each of these, and for the call
		waiting = append(waiting, d.dial())
	}
	call, err := net.Dial("tcp4", d.control)
	if err != nil {
		t.Fatal(err)
	}
	defer call.Close()
	io.WriteString(call, "standby\n")
	enginetest.Eventually(t, "both listeners have failed", func() bool {
		listeners := map[any]bool{}
		for _, line := range d.lines.with("accept failed; tried again") {
			listeners[line["listen"]] = true
		}
		return len(listeners) == 2
	})
	setRlimit(t, d.cmd, syscall.RLIMIT_NOFILE, usual)
	call.SetReadDeadline(time.Now().Add(time.Minute)) // a bound for a broken test only
	if a, err := bufio.NewReader(call).ReadString('\n'); a != "YES\n" {
		t.Errorf("standby: %q, %v", a, err)
	}
	if a := sendCommand(t, d.control, "active"); a != "YES" {
		t.Errorf("active: %s", a)
	}
	for _, c := range waiting {
		c.Close()
	}
	waitHealthy(t, "http://"+d.addr)
	if status := d.ask(); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// A process whose clients' socket is taken from it ends in good order, with an error: what is in
// hand is answered.
func TestLostListenerEndsInGoodOrder(t *testing.T) {
	socket, addr := clientsSocket(t)
	begun, end := make(chan bool, 1), make(chan bool)
	prefill := enginetest.NewEngine(t, releasedOr(prefillAnswer))
	decode := enginetest.NewEngine(t, releasedOr(func() string {
		begun <- true
		<-end
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
	<-begun
	if err := syscall.Shutdown(int(socket.Fd()), syscall.SHUT_RDWR); err != nil {
		t.Fatal(err)
	}
	close(end)
	if code := <-status; code != http.StatusOK {
		t.Errorf("what was in hand: %d", code)
	}
	if err := cmd.Wait(); cmd.ProcessState.ExitCode() != 1 {
		t.Errorf("exit: %v", err)
	}
}

// Signals and calls in series: each of them has one answer, health never comes back in a process
// that ends, and it ends by itself.
func TestCallsAndSignalsInSeries(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls []string // before and after SIGTERM
		want  []string
	}{
		{"standby, then SIGTERM", []string{"standby", "SIGTERM", "active", "standby"}, []string{"YES", "", "NO", "YES"}},
		{"SIGTERM, then standby", []string{"SIGTERM", "standby", "active"}, []string{"", "YES", "NO"}},
		{"standby again and again", []string{"standby", "standby", "active", "active", "standby", "SIGTERM", "SIGTERM"}, []string{"YES", "YES", "YES", "YES", "YES", "", ""}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startTestGateway(t, func() string { return enginetest.SlowStream(2, 0, 4*time.Second) })
			held := d.dial() // the process does not end before the calls are over
			in := bufio.NewReader(held)
			_, text := d.request()
			io.WriteString(held, text)
			if _, err := in.Peek(1); err != nil {
				t.Fatal(err)
			}
			for n, call := range c.calls {
				if call == "SIGTERM" {
					d.cmd.Process.Signal(syscall.SIGTERM)
					enginetest.Eventually(t, "it is leaving", func() bool { return len(d.lines.with("shutdown started")) > 0 })
					continue
				}
				if a := sendCommand(t, d.control, call); a != c.want[n] {
					t.Errorf("%s: %s, want %s", call, a, c.want[n])
				}
				if call == "standby" && healthStatus("http://"+d.addr) == http.StatusOK {
					t.Error("healthy in a drain")
				}
			}
			if status, _, err := readAnswer(in); status != http.StatusOK || err != nil {
				t.Errorf("the stream under way: %d %v", status, err)
			}
			if err := d.cmd.Wait(); err != nil {
				t.Errorf("exit: %v", err)
			}
		})
	}
}

// A log that nobody reads, or whose reader has gone, holds nothing up and ends nothing.
func TestLogReaderThatStallsOrGoes(t *testing.T) {
	prefill := enginetest.NewEngine(t, releasedOr(prefillAnswer))
	decode := enginetest.NewEngine(t, releasedOr(func() string { return enginetest.Stream(2, 0) }))
	cmd := program(t, []string{"EDGE_CONFIG=" + platformConfig(t, "n1", "127.0.0.1:1", testSettings, prefill, decode)}, "serve", "--verbose")
	errs, log := startLogged(t, cmd)
	d := &testGateway{t: t, cmd: cmd}
	for d.addr == "" && log.Scan() {
		if m := servingLine.FindStringSubmatch(log.Text()); m != nil {
			d.addr = m[1]
		}
	}
	waitHealthy(t, "http://"+d.addr)
	for range 400 { // a pipe holds 64 KiB; each request logs some 700 bytes
		if status := d.ask(); status != http.StatusOK {
			t.Fatalf("status %d while the log is not read", status)
		}
	}
	errs.(io.Closer).Close()
	for range 10 {
		if status := d.ask(); status != http.StatusOK {
			t.Fatalf("status %d once the log's reader has gone", status)
		}
	}
}
