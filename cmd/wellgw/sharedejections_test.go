package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"wellgw/internal/enginetest"
)

// During an upgrade operators eject one engine at the old process and another at the new one, at the same
// moment. Both ejections are stored; one used to be lost after its YES.
func TestEjectionsAtBothProcessesAreStored(t *testing.T) {
	const rounds = 30
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"revision":2,"complete":true,"members":[{"id":"r1","host_port":"127.0.0.1:1","locality":"a","flavor":"r","phase":"active"},{"id":"w1","host_port":"127.0.0.1:1","locality":"a","flavor":"w","phase":"active"},{"id":"w2","host_port":"127.0.0.1:1","locality":"a","flavor":"w","phase":"active"}]}`+"\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	socket, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	listener.Close() // the duplicated descriptor stays open, as on the platform
	folder := t.TempDir()
	config := writeConfig(t, fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:1","discovery":%q,"seed":"1f","settings":%s}`, discovery.Listener.Addr(), testSettings))
	var controls []string
	for range 2 {
		cmd, control, _ := startOnSocket(t, []string{"EDGE_CONFIG=" + config, "EDGE_CONTROL=127.0.0.1:0", "EDGE_SOCKET_FD=3", "TMPDIR=" + folder}, socket)
		t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
		enginetest.Eventually(t, "the engines are listed", func() bool { return sendCommand(t, control, "maint-off w2") == "YES" })
		controls = append(controls, control)
	}
	atBoth := func(verb string) {
		var operators sync.WaitGroup
		for i, control := range controls {
			operators.Go(func() {
				line := fmt.Sprintf("%s w%d", verb, i+1)
				if reply := sendCommand(t, control, line); reply != "YES" {
					t.Errorf("%s: %s", line, reply)
				}
			})
		}
		operators.Wait()
	}
	for round := range rounds {
		atBoth("maint-on")
		if stored, err := os.ReadFile(folder + "/wellgw-bans-n1"); err != nil || string(stored) != "w1\nw2\n" {
			t.Fatalf("round %d: ejections stored after both calls: %q, %v", round, stored, err)
		}
		atBoth("maint-off")
		if stored, err := os.ReadFile(folder + "/wellgw-bans-n1"); err != nil || string(stored) != "\n" {
			t.Fatalf("round %d: ejections stored after both were ended: %q, %v", round, stored, err)
		}
		time.Sleep(time.Millisecond)
	}
}
