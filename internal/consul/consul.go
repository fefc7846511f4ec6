// Package consul learns which engines there are from Consul's HTTP API: the
// health of a service by blocking queries, and from the catalogue which services
// carry a tag.
package consul

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/ringdale"
)

// The margins of blocking queries.
const (
	waitSpan  = 55 * time.Second
	waitSlack = waitSpan/16 + 2*time.Second // Consul adds up to a sixteenth, by its documentation
	pauseMin  = 100 * time.Millisecond
	pauseMost = 10 * time.Second
	maxBody   = 4 << 20
)

// serviceEntry is one line of /v1/health/service/NAME.
type serviceEntry struct {
	Node struct {
		Address string
	}
	Service struct {
		ID, Address string
		Port        int
		Meta        map[string]string
	}
	Checks []check
}

type check struct {
	CheckID, Status string
}

// Directory follows Consul. It is a core.Directory.
type Directory struct {
	zone   string
	tell   func(ringdale.RosterScope, []core.Member)
	log    *slog.Logger
	client *http.Client

	mu    sync.Mutex
	cfg   config.Consul
	leave context.CancelFunc       // ends the queries under way
	lists map[string][]core.Member // by service
	seen  map[string]core.Member   // every engine that is listed
}

// New returns a directory that tells a core through tell. Engines that state no
// zone are held to be in zone.
func New(cfg config.Consul, zone string, tell func(ringdale.RosterScope, []core.Member), log *slog.Logger) *Directory {
	return &Directory{
		cfg: cfg, zone: zone, tell: tell, log: log,
		client: &http.Client{Timeout: waitSpan + waitSlack, Transport: &http.Transport{}},
		lists:  map[string][]core.Member{}, seen: map[string]core.Member{},
	}
}

// Subscribe does nothing: changes come by themselves.
func (d *Directory) Subscribe() {}

// Move has the directory go on by another configuration. Engines stay as they were
// known until the new one has said what holds.
func (d *Directory) Move(cfg config.Consul) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cfg = cfg; d.leave != nil {
		d.leave()
	}
}

// Run follows Consul until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sub, leave := context.WithCancel(ctx)
		d.mu.Lock()
		cfg := d.cfg
		d.leave = leave
		d.mu.Unlock()
		d.watch(sub, cfg)
		leave()
	}
}

// watch follows one configuration until ctx ends.
func (d *Directory) watch(ctx context.Context, cfg config.Consul) {
	if cfg.Service != "" {
		d.watchService(ctx, cfg, cfg.Service, func() { d.keep(func(name string) bool { return name == cfg.Service }) })
		return
	}
	watched := map[string]context.CancelFunc{}
	var group sync.WaitGroup
	defer group.Wait()
	d.follow(ctx, cfg, "/v1/catalog/services", func(body []byte) error {
		var services map[string][]string
		if err := jsoniter.Unmarshal(body, &services); err != nil {
			return fmt.Errorf("catalogue: %w", err)
		}
		tagged := func(name string) bool { return slices.Contains(services[name], cfg.Tag) }
		for name, stop := range watched {
			if !tagged(name) {
				stop()
				delete(watched, name)
			}
		}
		d.keep(tagged)
		for name := range services {
			if watched[name] == nil && tagged(name) {
				sub, stop := context.WithCancel(ctx)
				watched[name] = stop
				group.Go(func() { d.watchService(sub, cfg, name, func() {}) })
			}
		}
		return nil
	})
}

// keep drops the services that are not to be kept.
func (d *Directory) keep(wanted func(name string) bool) {
	d.mu.Lock()
	names := slices.Collect(maps.Keys(d.lists))
	d.mu.Unlock()
	for _, name := range names {
		if !wanted(name) {
			d.put(name, nil)
		}
	}
}

func (d *Directory) watchService(ctx context.Context, cfg config.Consul, name string, then func()) {
	d.follow(ctx, cfg, "/v1/health/service/"+url.PathEscape(name), func(body []byte) error {
		var entries []serviceEntry
		if err := jsoniter.Unmarshal(body, &entries); err != nil {
			return fmt.Errorf("health of %s: %w", name, err)
		}
		if ctx.Err() == nil { // a service that has lost its tag must not come back
			d.put(name, entries)
			then()
		}
		return nil
	})
}

// follow repeats a blocking query and gives each new body to take.
func (d *Directory) follow(ctx context.Context, cfg config.Consul, path string, take func([]byte) error) {
	index, pause := uint64(0), pauseMin
	for ctx.Err() == nil {
		body, next, err := d.query(ctx, cfg, path, index)
		if err == nil && (index == 0 || next != index) {
			err = take(body)
		}
		if err != nil {
			if ctx.Err() == nil {
				d.log.Warn("consul", "path", path, "cause", err)
			}
			index = 0 // what was missed is unknown: ask for all of it
			sleep(ctx, pause)
			pause = min(2*pause, pauseMost)
			continue
		}
		pause = pauseMin
		if next == index {
			sleep(ctx, pauseMin) // a server that ignores the index is not asked in a tight loop
		}
		if next < index { // the index went back: Consul has been restored; begin anew
			next = 0
		}
		index = next
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (d *Directory) query(ctx context.Context, cfg config.Consul, path string, index uint64) ([]byte, uint64, error) {
	target := "http://" + cfg.Address + path
	if index > 0 {
		target += "?index=" + strconv.FormatUint(index, 10) + "&wait=" + waitSpan.String()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("query: %w", err)
	}
	if cfg.Token != "" {
		req.Header.Set("X-Consul-Token", cfg.Token)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, 0, fmt.Errorf("query: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("query: status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return nil, 0, fmt.Errorf("query: %w", err)
	}
	next, err := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	if err != nil || next == 0 {
		return nil, 0, errors.New("query: no X-Consul-Index above 0")
	}
	return body, next, nil
}

// put takes the new list of one service and tells the core the whole of all.
func (d *Directory) put(service string, entries []serviceEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := make([]core.Member, 0, len(entries))
	_, again := d.lists[service]
	for _, e := range entries {
		members = append(members, d.member(e, again))
	}
	if d.lists[service] = members; entries == nil {
		delete(d.lists, service)
	}
	listed := map[string]core.Member{}
	for _, list := range d.lists {
		for _, m := range list {
			listed[m.Name] = m
		}
	}
	d.seen = listed // who is listed no more is forgotten: engines come under ever new ids
	all := slices.SortedFunc(maps.Values(listed), func(a, b core.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	d.tell(ringdale.RosterFull, all)
}

// member reads an entry. Consul does not say when an engine started: one that was
// critical, or not on the service's list before, counts as started now, so that it
// is not pushed over while it is cold. Of those on a first list nothing is known.
func (d *Directory) member(e serviceEntry, again bool) core.Member {
	m := core.Member{
		ServerInfo: ringdale.ServerInfo{Name: e.Service.ID, Kind: config.RoleOpenAI, Zone: d.zone, Weight: 1, Phase: phase(e.Checks)},
	}
	if role := e.Service.Meta["role"]; role != "" {
		m.Kind = role // one that is unknown is never sent to
	}
	if zone := e.Service.Meta["zone"]; zone != "" {
		m.Zone = zone
	}
	if cell, err := strconv.Atoi(e.Service.Meta["cell"]); err == nil {
		m.Cell = cell
	}
	host := e.Service.Address
	if host == "" { // by Consul's documentation the node's address then holds
		host = e.Node.Address
	}
	m.Addr = net.JoinHostPort(host, strconv.Itoa(e.Service.Port))
	old, known := d.seen[m.Name]
	m.StartedAt = old.StartedAt
	if m.Phase == ringdale.PhaseOn && (known && old.Phase == ringdale.PhaseOff || !known && again) {
		m.StartedAt = time.Now()
	}
	return m
}

// phase reads an engine's checks: maintenance drains it, a critical check takes
// it out, a warning does not keep it from serving.
func phase(checks []check) ringdale.Phase {
	p := ringdale.PhaseOn
	for _, c := range checks {
		switch {
		case c.CheckID == "_node_maintenance" || strings.HasPrefix(c.CheckID, "_service_maintenance"):
			p = max(p, ringdale.PhaseDraining)
		case c.Status != "passing" && c.Status != "warning":
			p = ringdale.PhaseOff
		}
	}
	return p
}
