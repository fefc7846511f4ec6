package main

import (
	"net"
	"net/http"
	"strings"
	"time"

	"review/lab"
)

// standby tells a gateway to send its clients away, and starts a new version of it a second later. The health check
// at the clients' address must not say yes 4 s after the call.
func standby(c *lab.Case) int {
	fleet := lab.NewFleet()
	var members []lab.Member
	for _, kind := range []string{"prompt", "answer"} {
		e, err := c.StartEngine(kind, func(x *lab.Exchange) bool {
			if kind == "prompt" {
				return fleet.Read(x, 20*time.Millisecond)
			}
			return fleet.Write(x, 8, 10*time.Millisecond)
		})
		if err != nil {
			return lab.CouldNot
		}
		members = append(members, lab.Member{ID: kind, HostPort: e.Addr, Locality: "ikeja", Flavor: kind, Cell: 1, Phase: "active", Size: 1})
	}
	d, err := c.StartDiscovery(members)
	if err != nil {
		return lab.CouldNot
	}
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return lab.CouldNot
	}
	defer socket.Close()
	file, err := socket.(*net.TCPListener).File()
	if err != nil {
		return lab.CouldNot
	}
	address := socket.Addr().String()
	start := func(name string) (control string, ok bool) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return "", false
		}
		control = l.Addr().String()
		l.Close()
		if _, err := c.StartPlatformGateway(name, lab.PlatformConfig("n0", address, d), []string{"EDGE_NAME=n0", "EDGE_LISTEN=" + address, "EDGE_DISCOVERY=" + d.Addr, "EDGE_CONTROL=" + control}, file); err != nil {
			return "", false
		}
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if strings.HasPrefix(lab.Control(control, "status"), "YES") {
				return control, true
			}
		}
		return "", false
	}
	control, ok := start("old process")
	if !ok {
		return lab.CouldNot
	}
	c.Log("standby: %s", lab.Control(control, "standby"))
	told := time.Now()
	time.Sleep(time.Second)
	if c.Trouble {
		if _, ok := start("new process"); !ok {
			return lab.CouldNot
		}
	}
	time.Sleep(time.Until(told.Add(4 * time.Second)))
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + address + "/healthz")
	if err != nil {
		c.Log("health check %v after the call: %v", time.Since(told), err)
		return lab.Held
	}
	defer resp.Body.Close()
	c.Log("health check %v after the call: status %d", time.Since(told).Round(time.Millisecond), resp.StatusCode)
	if resp.StatusCode == http.StatusOK {
		return lab.Broken
	}
	return lab.Held
}
