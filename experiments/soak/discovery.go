package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is an engine in the wire format of discovery.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// discoveryList is a snapshot of the engine list or a delta.
type discoveryList struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery serves the engine list, to each gateway at a separate address.
type discovery struct {
	plan     Plan
	observed *Observations

	mu      sync.Mutex
	members []member
	changed map[int]int64 // revision of the latest change, by index in members
	rev     int64
	wake    chan struct{} // closed at each change
	// addresses holds the relay addresses of the engines, by gateway; empty without relays.
	addresses [][]string
	draining  int // the draining decode engine; -1 for none
	since     time.Duration
}

func newDiscovery(p Plan, b *Observations, f *fleet) *discovery {
	d := &discovery{plan: p, observed: b, changed: map[int]int64{}, rev: 1, wake: make(chan struct{}), draining: -1}
	for _, e := range f.all {
		m := member{ID: fmt.Sprint("p", e.number), HostPort: e.addr, Locality: p.zone(e.index), Flavor: "r", Phase: "active", Size: 1}
		if e.decode {
			m.ID, m.Flavor = fmt.Sprint("d", e.number), "w"
		}
		d.members = append(d.members, m)
	}
	return d
}

// list returns the members that changed after a revision, with the addresses for this gateway; a negative
// revision gives a snapshot. The channel is closed at the next change.
func (d *discovery) list(gateway int, after int64) (discoveryList, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := discoveryList{Revision: d.rev, Complete: after < 0, Members: []member{}}
	for n, m := range d.members {
		if len(d.addresses) > 0 {
			m.HostPort = d.addresses[gateway][n]
		}
		if after < 0 || d.changed[n] > after {
			l.Members = append(l.Members, m)
		}
	}
	return l, d.wake
}

// set changes the phase of a decode engine. The phase "active" means that the engine was restarted.
func (d *discovery) set(engine int, phase string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := prefillEngines + engine
	d.members[n].Phase = phase
	if phase == "active" {
		d.members[n].UpSince = time.Now().UnixMilli()
		d.draining = -1
		d.observed.locked(func() {
			for i := range d.observed.DrainNotices {
				d.observed.DrainNotices[i].Until = min(d.observed.DrainNotices[i].Until, d.observed.now())
			}
		})
	} else {
		d.draining, d.since = engine, d.observed.now()
		if end := d.plan.OutageStart + d.plan.Outage; d.since >= d.plan.OutageStart && d.since < end {
			d.since = end // discovery can't be reached before the end of its outage
		}
	}
	d.rev++
	d.changed[n] = d.rev
	close(d.wake)
	d.wake = make(chan struct{})
}

// recordDrainNotice records that a gateway was informed of the current drain, if there is one.
func (d *discovery) recordDrainNotice(gateway int) {
	d.mu.Lock()
	engine, since := d.draining, d.since
	d.mu.Unlock()
	if engine < 0 || d.observed.now() < since {
		return
	}
	d.observed.locked(func() {
		for _, t := range d.observed.DrainNotices {
			if t.Gateway == gateway && t.Engine == engine && t.Since == since {
				return
			}
		}
		d.observed.DrainNotices = append(d.observed.DrainNotices, DrainNotice{Gateway: gateway, Engine: engine, At: d.observed.now(), Since: since, Until: Never})
	})
}

// awaitOutageEnd blocks during the planned outage of discovery.
func (d *discovery) awaitOutageEnd(ctx context.Context) {
	for ctx.Err() == nil {
		now := d.observed.now()
		if d.plan.Outage == 0 || now < d.plan.OutageStart || now >= d.plan.OutageStart+d.plan.Outage {
			return
		}
		wait(ctx, nil, min(d.plan.OutageStart+d.plan.Outage-now, 50*time.Millisecond))
	}
}

const watchHeartbeat = 2 * time.Second

// listen starts a server for one gateway and returns its address.
func (d *discovery) listen(ctx context.Context, gateway int) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	srv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reqCtx, stop := context.WithCancel(r.Context())
		defer stop()
		defer context.AfterFunc(ctx, stop)()
		d.serve(reqCtx, w, r, gateway)
	})}
	context.AfterFunc(ctx, func() { srv.Close() })
	go srv.Serve(l)
	return l.Addr().String(), nil
}

func (d *discovery) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, gateway int) {
	d.awaitOutageEnd(ctx)
	if r.URL.Query().Get("watch") == "" {
		l, _ := d.list(gateway, -1)
		d.recordDrainNotice(gateway)
		_ = json.NewEncoder(w).Encode(l)
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = -1
	}
	out := http.NewResponseController(w)
	var reset <-chan time.Time
	if at := d.plan.WatchReset - d.observed.now(); d.plan.WatchReset > 0 && at > 0 {
		reset = time.After(at)
	}
	for ctx.Err() == nil {
		d.awaitOutageEnd(ctx)
		l, wake := d.list(gateway, after)
		if after < 0 || len(l.Members) > 0 {
			d.recordDrainNotice(gateway)
			if json.NewEncoder(w).Encode(l) != nil {
				return
			}
		} else if _, err := w.Write([]byte("\n")); err != nil {
			return
		}
		after = l.Revision
		if out.Flush() != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-reset:
			panic(http.ErrAbortHandler)
		case <-wake:
		case <-time.After(watchHeartbeat):
		}
	}
}
