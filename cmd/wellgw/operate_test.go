package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"wellgw/internal/playback"
)

var calling = regexp.MustCompile(`"control":"([^"]+)","message":"calls taken"`)

// dial makes one operator's call and returns the answer's line.
func dial(t *testing.T, addr, line string) string {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, line+"\n")
	conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // a bound for a broken test only
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(answer)
}

func health(url string) int {
	resp, err := http.Get(url + "/healthz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// The program serves on the socket it inherits, answers calls at the address
// EDGE_CONTROL names, drains and comes back by call, and keeps bans in TMPDIR.
func TestCallsOnAnInheritedSocket(t *testing.T) {
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"revision":2,"complete":true,"members":[{"id":"r1","host_port":"127.0.0.1:1","locality":"a","flavor":"r","phase":"active"},{"id":"w1","host_port":"127.0.0.1:1","locality":"a","flavor":"w","phase":"active"}]}`+"\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	clients, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	socket, err := clients.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	clients.Close() // the program holds the socket now, as on the platform
	tmp := t.TempDir()
	config := file(t, fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:1","discovery":%q,"seed":"1f","settings":%s}`, discovery.Listener.Addr(), settings))
	cmd := program(t, []string{"EDGE_CONFIG=" + config, "EDGE_CONTROL=127.0.0.1:0", "EDGE_SOCKET_FD=3", "TMPDIR=" + tmp}, "serve")
	cmd.ExtraFiles = []*os.File{socket}
	errs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	socket.Close()
	var control string
	log := bufio.NewScanner(errs)
	for control == "" && log.Scan() {
		if m := calling.FindStringSubmatch(log.Text()); m != nil {
			control = m[1]
		}
	}
	go io.Copy(io.Discard, errs)
	if control == "" {
		t.Fatal("no call line")
	}
	url := "http://" + clients.Addr().String()
	healthy(t, url)
	playback.Eventually(t, "status is yes", func() bool { return dial(t, control, "status") == "YES" })
	for _, c := range []struct{ line, want string }{
		{"maint-on nobody", "NO"},
		{"maint-on w1", "YES"},
		{"maint-on w1", "YES"},
		{"bogus", "NO"},
		{"standby", "YES"},
	} {
		if got := dial(t, control, c.line); got != c.want {
			t.Errorf("%s: %s, want %s", c.line, got, c.want)
		}
	}
	if text, err := os.ReadFile(tmp + "/wellgw-bans-n1"); err != nil || string(text) != "w1\n" {
		t.Errorf("file of bans: %q %v", text, err)
	}
	if code := health(url); code != http.StatusServiceUnavailable {
		t.Errorf("health in standby: %d", code)
	}
	if got := dial(t, control, "active"); got != "YES" {
		t.Errorf("active: %s", got)
	}
	if code := health(url); code != http.StatusOK {
		t.Errorf("health after the drain: %d", code)
	}
	if got := dial(t, control, "maint-off w1"); got != "YES" {
		t.Errorf("maint-off: %s", got)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}
