package consul

import (
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
)

var codec = jsoniter.ConfigCompatibleWithStandardLibrary

// Faults are what an agent does wrong. The zero value does nothing wrong.
type Faults struct {
	Hang          bool          // accepts and says nothing, also on what was asked before
	Refuse        bool          // accepts no connection and closes those that are open
	ResetFraction float64       // part of the answers that break off in the middle
	Trickle       time.Duration // between one byte of an answer and the next
	Status        int           // every answer is of this status
	RetryAfter    string        // with Status: its Retry-After
	Body          string        // in the place of every answer's body, when not empty
	Rewrite       func(path string, body []byte) []byte
	Leaderless    bool          // the servers have lost their leader
	LastContact   time.Duration // since the server that answers heard from the leader
	Lag           *Snapshot     // answers come from this state
	NonBlocking   bool          // blocking queries never block
}

// Agent answers the HTTP API on loopback.
type Agent struct {
	Addr  string
	Node  string
	Token string // if set, asked of every call
	store *Store

	mu       sync.Mutex
	faults   Faults
	changed  chan struct{}
	server   *http.Server
	listener net.Listener
	queries  int
	open     int
	bytes    int64
	seen     map[string]int
}

// The bounds of blocking queries, by the documentation.
const (
	defaultWait = 5 * time.Minute
	mostWait    = 10 * time.Minute
	jitterPart  = 16
)

// NewAgent starts an agent over a store.
func NewAgent(store *Store, node string) (*Agent, error) {
	a := &Agent{store: store, Node: node, changed: make(chan struct{}), seen: map[string]int{}}
	store.update(func(st *state) bool {
		if _, there := st.nodes[node]; there {
			return false
		}
		i := st.bump()
		st.nodes[node] = Node{Node: node, Address: "127.0.0.1", CreateIndex: i, ModifyIndex: i}
		return true
	})
	if err := a.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	return a, nil
}

func (a *Agent) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("fake agent: %w", err)
	}
	a.Addr = l.Addr().String()
	srv := &http.Server{Handler: a, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 10 * time.Second}
	a.mu.Lock()
	a.listener, a.server = l, srv
	a.mu.Unlock()
	go srv.Serve(l)
	return nil
}

// Close ends the agent.
func (a *Agent) Close() {
	a.mu.Lock()
	srv := a.server
	a.mu.Unlock()
	if srv != nil {
		srv.Close()
	}
}

// SetFaults has the agent do wrong from now on, and ends what it did wrong before.
func (a *Agent) SetFaults(f Faults) error {
	a.mu.Lock()
	was := a.faults
	a.faults = f
	close(a.changed)
	a.changed = make(chan struct{})
	srv := a.server
	if f.Refuse {
		a.server = nil
	}
	a.mu.Unlock()
	switch {
	case f.Refuse && srv != nil:
		return srv.Close()
	case !f.Refuse && was.Refuse:
		return a.listen(a.Addr)
	}
	return nil
}

func (a *Agent) present() (Faults, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults, a.changed
}

// Stats tells what the agent has been asked: calls, bytes answered, calls open.
func (a *Agent) Stats() (queries int, bytes int64, open int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queries, a.bytes, a.open
}

// RequestCounts returns how often each path was asked.
func (a *Agent) RequestCounts() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.seen)
}

// ServeHTTP answers one call, as far as the faults let it.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.queries++
	a.open++
	a.seen[r.URL.Path]++
	n := a.queries
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.open--
		a.mu.Unlock()
	}()
	if f, _ := a.present(); f.Hang {
		<-r.Context().Done() // it never answers what it was asked while it hung
		panic(http.ErrAbortHandler)
	}
	status, header, body := a.answer(r)
	f, _ := a.present()
	switch {
	case f.Hang || status == 0: // it began to hang while the query blocked
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.Status != 0:
		status, body = f.Status, []byte(http.StatusText(f.Status))
		header = http.Header{}
		if f.RetryAfter != "" {
			header.Set("Retry-After", f.RetryAfter)
		}
	case f.Body != "" && status == http.StatusOK:
		body = []byte(f.Body)
	case f.Rewrite != nil && status == http.StatusOK:
		body = f.Rewrite(r.URL.Path, body)
	}
	maps.Copy(w.Header(), header)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	a.mu.Lock()
	a.bytes += int64(len(body))
	a.mu.Unlock()
	if f.ResetFraction > 0 && float64(n%100) < 100*f.ResetFraction && len(body) > 0 {
		w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if f.Trickle <= 0 {
		w.Write(body)
		return
	}
	out := http.NewResponseController(w)
	for i := range body {
		if _, err := w.Write(body[i : i+1]); err != nil || out.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(f.Trickle):
		}
	}
}

// call is one call as it is worked on.
type call struct {
	*http.Request
	agent *Agent
}

// answer works out what a healthy agent would say.
func (a *Agent) answer(r *http.Request) (int, http.Header, []byte) {
	f, _ := a.present()
	if a.Token != "" && r.Header.Get("X-Consul-Token") != a.Token && r.Header.Get("Authorization") != "Bearer "+a.Token {
		return http.StatusForbidden, nil, []byte("Permission denied: token with AccessorID '' lacks permission")
	}
	c := call{r, a}
	path := strings.TrimPrefix(r.URL.Path, "/v1/")
	if r.Method == http.MethodPut || r.Method == http.MethodDelete {
		if f.Leaderless && !strings.HasPrefix(path, "agent/") {
			return http.StatusInternalServerError, nil, []byte("No cluster leader")
		}
		return c.write(path)
	}
	if r.Method != http.MethodGet {
		return http.StatusMethodNotAllowed, nil, []byte("method not allowed")
	}
	switch path {
	case "status/leader":
		if f.Leaderless {
			return ok(`""`)
		}
		return ok(`"127.0.0.1:8300"`)
	case "agent/self":
		return ok(fmt.Sprintf(`{"Config":{"Datacenter":"dc1","NodeName":%q,"Server":true},"Member":{"Name":%q}}`, a.Node, a.Node))
	case "agent/services":
		return c.agentServices()
	case "agent/checks":
		return c.agentChecks()
	}
	_, stale := r.URL.Query()["stale"]
	if f.Leaderless && !stale {
		return http.StatusInternalServerError, nil, []byte("No cluster leader")
	}
	return c.read(path)
}

func ok(body string) (int, http.Header, []byte) { return http.StatusOK, nil, []byte(body) }

func bad(text string) (int, http.Header, []byte) {
	return http.StatusBadRequest, nil, []byte(text)
}

// read answers a query that may block, with its index.
func (c call) read(path string) (int, http.Header, []byte) {
	params := c.URL.Query()
	wanted, _ := strconv.ParseUint(params.Get("index"), 10, 64)
	wait := defaultWait
	if text := params.Get("wait"); text != "" {
		var err error
		if wait, err = time.ParseDuration(text); err != nil {
			return bad("Invalid wait time")
		}
	}
	wait = min(wait, mostWait)
	until := time.Now().Add(wait + wait/(2*jitterPart))
	c.agent.store.mu.Lock()
	epoch := c.agent.store.epoch
	c.agent.store.mu.Unlock()
	for {
		f, faultsChanged := c.agent.present()
		c.agent.store.mu.Lock()
		st := c.agent.store.now
		if f.Lag != nil {
			st = f.Lag.state
		}
		value, index, found := c.look(st, path)
		var body []byte
		if index > wanted || wanted == 0 || f.NonBlocking || epoch != c.agent.store.epoch || !time.Now().Before(until) {
			body, _ = codec.Marshal(value)
		}
		changed := c.agent.store.changed
		c.agent.store.mu.Unlock()
		if body != nil {
			h := http.Header{}
			h.Set("X-Consul-Index", strconv.FormatUint(max(index, 1), 10))
			h.Set("X-Consul-KnownLeader", strconv.FormatBool(!f.Leaderless))
			h.Set("X-Consul-LastContact", strconv.FormatInt(f.LastContact.Milliseconds(), 10))
			if !found {
				return http.StatusNotFound, h, nil
			}
			return http.StatusOK, h, body
		}
		t := time.NewTimer(time.Until(until))
		select {
		case <-c.Context().Done():
			t.Stop()
			return http.StatusServiceUnavailable, nil, nil
		case <-changed:
		case <-faultsChanged:
			if f, _ := c.agent.present(); f.Hang {
				t.Stop()
				return 0, nil, nil // never to be answered
			}
		case <-t.C:
		}
		t.Stop()
	}
}

// look reads what a path names, the index of its last change, and whether it is there.
func (c call) look(st *state, path string) (value any, index uint64, found bool) {
	params := c.URL.Query()
	switch kind, name, _ := strings.Cut(path, "/"); {
	case path == "catalog/services":
		return st.catalogue(), st.catalog, true
	case path == "catalog/nodes":
		return slices.SortedFunc(maps.Values(st.nodes), func(x, y Node) int { return strings.Compare(x.Node, y.Node) }), st.index, true
	case strings.HasPrefix(path, "catalog/service/"):
		name := strings.TrimPrefix(path, "catalog/service/")
		return st.catalogService(name, params["tag"]), max(st.changed[name], 1), true
	case strings.HasPrefix(path, "health/service/"):
		name := strings.TrimPrefix(path, "health/service/")
		_, passing := params["passing"]
		index := st.changed[name]
		if index == 0 { // a service that is not there has the index of all
			index = st.catalog
		}
		return st.health(name, params["tag"], passing), index, true
	case strings.HasPrefix(path, "health/state/"):
		return st.inState(strings.TrimPrefix(path, "health/state/")), st.critical, true
	case strings.HasPrefix(path, "health/node/"):
		return st.nodeChecks(strings.TrimPrefix(path, "health/node/")), st.critical, true
	case kind == "kv":
		return c.readPair(st, name)
	case path == "session/list":
		return slices.SortedFunc(maps.Values(st.sessions), func(x, y Session) int { return strings.Compare(x.ID, y.ID) }), st.index, true
	case strings.HasPrefix(path, "session/info/"):
		list := []Session{}
		if s, there := st.sessions[strings.TrimPrefix(path, "session/info/")]; there {
			list = append(list, s)
		}
		return list, st.index, true
	}
	return nil, st.index, false
}

type serviceBody struct {
	ID, Service              string
	Tags                     []string
	Address                  string
	Meta                     map[string]string
	Port                     int
	CreateIndex, ModifyIndex uint64
}

func bodyOf(s Service) serviceBody {
	tags := s.Tags
	if tags == nil {
		tags = []string{}
	}
	return serviceBody{s.ID, s.Name, tags, s.Address, s.Meta, s.Port, s.CreateIndex, s.ModifyIndex}
}

type healthEntry struct {
	Node    Node
	Service serviceBody
	Checks  []Check
}

func (st *state) catalogue() map[string][]string {
	out := map[string][]string{}
	for _, s := range st.services {
		if out[s.Name] == nil {
			out[s.Name] = []string{}
		}
		for _, t := range s.Tags {
			if !slices.Contains(out[s.Name], t) {
				out[s.Name] = append(out[s.Name], t)
			}
		}
	}
	for _, tags := range out {
		slices.Sort(tags)
	}
	return out
}

// instances returns those of a service that carry all tags, in order of node and id.
func (st *state) instances(name string, tags []string) []Service {
	var list []Service
	for key := range st.byName[name] {
		s := st.services[key]
		if !slices.ContainsFunc(tags, func(t string) bool { return !slices.Contains(s.Tags, t) }) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(x, y Service) int { return strings.Compare(x.Node+"/"+x.ID, y.Node+"/"+y.ID) })
	return list
}

func (st *state) health(name string, tags []string, passing bool) []healthEntry {
	out := []healthEntry{}
	for _, s := range st.instances(name, tags) {
		e := healthEntry{Node: st.nodes[s.Node], Service: bodyOf(s), Checks: []Check{}}
		for key := range st.byNode[s.Node] {
			e.Checks = append(e.Checks, st.checks[key])
		}
		for key := range st.ofID[serviceKey{s.Node, s.ID}] {
			e.Checks = append(e.Checks, st.checks[key])
		}
		slices.SortFunc(e.Checks, func(x, y Check) int { return strings.Compare(x.CheckID, y.CheckID) })
		if passing && slices.ContainsFunc(e.Checks, func(c Check) bool { return c.Status != "passing" }) {
			continue
		}
		out = append(out, e)
	}
	return out
}

func (st *state) catalogService(name string, tags []string) []map[string]any {
	out := []map[string]any{}
	for _, s := range st.instances(name, tags) {
		n, b := st.nodes[s.Node], bodyOf(s)
		out = append(out, map[string]any{
			"Node": n.Node, "Address": n.Address, "ServiceID": b.ID, "ServiceName": b.Service, "ServiceTags": b.Tags,
			"ServiceAddress": b.Address, "ServicePort": b.Port, "ServiceMeta": b.Meta, "CreateIndex": b.CreateIndex, "ModifyIndex": b.ModifyIndex,
		})
	}
	return out
}

func (st *state) inState(status string) []Check {
	out := []Check{}
	for _, c := range st.checks {
		if status == "any" || c.Status == status {
			out = append(out, c)
		}
	}
	sortChecks(out)
	return out
}

func (st *state) nodeChecks(node string) []Check {
	out := []Check{}
	for _, c := range st.checks {
		if c.Node == node {
			out = append(out, c)
		}
	}
	sortChecks(out)
	return out
}

func sortChecks(list []Check) {
	slices.SortFunc(list, func(x, y Check) int { return strings.Compare(x.Node+"/"+x.CheckID, y.Node+"/"+y.CheckID) })
}
