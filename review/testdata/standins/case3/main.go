// Command case3 takes engines out by hand while a new version starts: at one moment one engine at the old
// process, and another at the new one. An engine that is out gets nothing new.
package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"review/lab"
)

const (
	readers, writers = 6, 7
	pairs            = 3 // of calls at one moment, a reader at one process and a writer at the other
	pairInterval     = 700 * time.Millisecond
	grace            = 2*time.Second + 50*time.Millisecond // rules.drain_grace, with the protocol's slack
	watch            = 6 * time.Second                     // after the last call
	clients          = 6
	think            = 180 * time.Millisecond
)

func main() { lab.Main(run) }

type bans struct {
	mu    sync.Mutex
	since map[string]time.Time // engine: when the gateway said yes
	late  map[string]int       // engine: requests that began to arrive after the grace
	work  map[string]int
}

func run(c *lab.Case) int {
	b := &bans{since: map[string]time.Time{}, late: map[string]int{}, work: map[string]int{}}
	fleet := lab.NewFleet()
	var members []lab.Member
	for i := range readers + writers {
		name, kind := fmt.Sprint("s-", i), "prompt"
		if i >= readers {
			kind = "answer"
		}
		e, err := c.StartEngine(name, func(x *lab.Exchange) bool {
			b.arrived(c, name, x)
			if kind == "prompt" {
				return fleet.Read(x, 20*time.Millisecond)
			}
			return fleet.Write(x, 8, 10*time.Millisecond)
		})
		if err != nil {
			c.Log("%v", err)
			return lab.CouldNot
		}
		members = append(members, lab.Member{ID: name, HostPort: e.Addr, Locality: "ikeja", Flavor: kind, Cell: 1 + i%2, Phase: "active", Size: 1})
	}
	d, err := c.StartDiscovery(members)
	if err != nil {
		c.Log("%v", err)
		return lab.CouldNot
	}
	socket, file, err := sharedSocket()
	if err != nil {
		c.Log("%v", err)
		return lab.CouldNot
	}
	defer socket.Close()
	address := socket.Addr().String()
	start := func(name string) (*lab.Gateway, string, error) {
		control, err := freeAddress()
		if err != nil {
			return nil, "", err
		}
		g, err := c.StartPlatformGateway(name, lab.PlatformConfig("n0", address, d), []string{"EDGE_NAME=n0", "EDGE_LISTEN=" + address, "EDGE_DISCOVERY=" + d.Addr, "EDGE_CONTROL=" + control}, file)
		if err != nil {
			return nil, "", err
		}
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if strings.HasPrefix(lab.Control(control, "status"), "YES") {
				c.Log("%s: says yes to status at %s", name, control)
				return g, control, nil
			}
		}
		return nil, "", fmt.Errorf("%s does not say yes", name)
	}
	old, oldControl, err := start("old process")
	if err != nil {
		c.Log("%v", err)
		return lab.CouldNot
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	served := 0
	for i := range clients {
		group.Go(func() {
			client := lab.NewClient()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(think):
				}
				id := fmt.Sprintf("%04x%08x", i, n)
				a := client.Post(address, "/v1/chat/completions", "", `{"model":"chat","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"a bow shackle"}]}`,
					lab.PlatformHeaders(id, []string{"part-lookup", "place-order"}[n%2], fmt.Sprint("talk-", i, "-", n), 4*time.Second)...)
				b.mu.Lock()
				if a.Status == 200 && a.Whole {
					served++
				} else {
					c.Log("client: request %s got status %d (%v)", id, a.Status, a.Err)
				}
				b.mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	newControl := oldControl
	if c.Trouble {
		if _, newControl, err = start("new process"); err != nil {
			c.Log("%v", err)
			return lab.CouldNot
		}
	}
	yes := time.Now()
	for p := range pairs {
		var calls sync.WaitGroup
		calls.Go(func() { b.takeOut(c, oldControl, members[p].ID) })
		calls.Go(func() { b.takeOut(c, newControl, members[readers+p].ID) })
		calls.Wait()
		time.Sleep(pairInterval)
	}
	if c.Trouble {
		time.Sleep(time.Until(yes.Add(4 * time.Second)))
		old.Signal(syscall.SIGTERM)
		c.Log("SIGTERM to the old process")
	}
	time.Sleep(watch)
	close(stop)
	group.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	c.Log("requests served: %d; requests by engine: %v; engines out: %d", served, b.work, len(b.since))
	c.Log("requests that began over the grace after the yes, by engine: %v", b.late)
	switch {
	case served < 50 || len(b.since) < 2*pairs:
		return lab.CouldNot
	case len(b.late) > 0:
		return lab.Broken
	}
	return lab.Held
}

// arrived records a request that has arrived at an engine.
func (b *bans) arrived(c *lab.Case, engine string, x *lab.Exchange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work[engine]++
	if since, out := b.since[engine]; out && x.Began.Sub(since) > grace {
		b.late[engine]++
		c.Log("NEW WORK: request %s at %s, %v after the yes to its maint-on", x.ID, engine, x.Began.Sub(since).Round(time.Millisecond))
	}
}

func (b *bans) takeOut(c *lab.Case, control, engine string) {
	reply := lab.Control(control, "maint-on "+engine)
	c.Log("operator: maint-on %s at %s: %s", engine, control, reply)
	b.mu.Lock()
	defer b.mu.Unlock()
	if strings.HasPrefix(reply, "YES") {
		b.since[engine] = time.Now()
	}
}

// sharedSocket opens the clients' socket, which the platform holds.
func sharedSocket() (net.Listener, *os.File, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	file, err := l.(*net.TCPListener).File()
	return l, file, err
}

// freeAddress returns an address whose port is free.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
