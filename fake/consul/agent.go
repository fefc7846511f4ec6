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

// Faults are the faults that an agent injects. The zero value injects none.
type Faults struct {
	Hang          bool          // accepts connections, but answers no request, including those in flight
	Refuse        bool          // refuses new connections and closes open ones
	ResetFraction float64       // fraction of answers that end with a reset in the middle of the body
	Trickle       time.Duration // delay after each byte of an answer
	Status        int           // status of every answer, if not 0
	RetryAfter    string        // Retry-After header of answers with Status
	Body          string        // replaces the body of every 200 answer, if not empty
	// Rewrite replaces the body of every 200 answer, if not nil.
	Rewrite     func(path string, body []byte) []byte
	Leaderless  bool          // the servers have no leader
	LastContact time.Duration // time since the answering server's last contact with the leader
	Lag         *Snapshot     // queries are answered from this older state
	NonBlocking bool          // blocking queries return without waiting
}

// Agent answers the HTTP API on loopback.
type Agent struct {
	Addr  string
	Node  string
	Token string // if set, required in every request
	store *Store

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{}
	server        *http.Server
	listener      net.Listener
	requests      int
	inFlight      int
	bodyBytes     int64
	requestCounts map[string]int
}

// Bounds of blocking queries according to Consul's documentation.
const (
	defaultWait   = 5 * time.Minute
	maxWait       = 10 * time.Minute
	jitterDivisor = 16 // max. jitter = wait / jitterDivisor; the fake adds half of it
)

// NewAgent starts an agent that serves the data of a store.
func NewAgent(store *Store, node string) (*Agent, error) {
	a := &Agent{store: store, Node: node, faultsChanged: make(chan struct{}), requestCounts: map[string]int{}}
	store.update(func(st *state) bool {
		if _, exists := st.nodes[node]; exists {
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

// Close stops the agent.
func (a *Agent) Close() {
	a.mu.Lock()
	srv := a.server
	a.mu.Unlock()
	if srv != nil {
		srv.Close()
	}
}

// SetFaults replaces the faults that the agent injects.
func (a *Agent) SetFaults(f Faults) error {
	a.mu.Lock()
	previous := a.faults
	a.faults = f
	close(a.faultsChanged)
	a.faultsChanged = make(chan struct{})
	srv := a.server
	if f.Refuse {
		a.server = nil
	}
	a.mu.Unlock()
	switch {
	case f.Refuse && srv != nil:
		return srv.Close()
	case !f.Refuse && previous.Refuse:
		return a.listen(a.Addr)
	}
	return nil
}

func (a *Agent) currentFaults() (Faults, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults, a.faultsChanged
}

// Stats returns the number of requests so far, of bytes in answers and of requests in flight.
func (a *Agent) Stats() (requests int, bodyBytes int64, inFlight int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests, a.bodyBytes, a.inFlight
}

// RequestCounts returns the number of requests for each path.
func (a *Agent) RequestCounts() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.requestCounts)
}

// ServeHTTP answers one request, subject to the configured faults.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.requests++
	a.inFlight++
	a.requestCounts[r.URL.Path]++
	n := a.requests
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.inFlight--
		a.mu.Unlock()
	}()
	if f, _ := a.currentFaults(); f.Hang {
		<-r.Context().Done() // a request received during a hang is never answered
		panic(http.ErrAbortHandler)
	}
	status, header, body := a.answer(r)
	f, _ := a.currentFaults()
	switch {
	case f.Hang || status == 0: // the hang began while the query was blocked
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
	a.bodyBytes += int64(len(body))
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

// apiRequest is one API request and the agent that serves it.
type apiRequest struct {
	*http.Request
	agent *Agent
}

// answer returns the status, headers and body that an agent without faults returns.
func (a *Agent) answer(r *http.Request) (int, http.Header, []byte) {
	f, _ := a.currentFaults()
	if a.Token != "" && r.Header.Get("X-Consul-Token") != a.Token && r.Header.Get("Authorization") != "Bearer "+a.Token {
		return http.StatusForbidden, nil, []byte("Permission denied: token with AccessorID '' lacks permission")
	}
	c := apiRequest{r, a}
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
			return okResponse(`""`)
		}
		return okResponse(`"127.0.0.1:8300"`)
	case "agent/self":
		return okResponse(fmt.Sprintf(`{"Config":{"Datacenter":"dc1","NodeName":%q,"Server":true},"Member":{"Name":%q}}`, a.Node, a.Node))
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

func okResponse(body string) (int, http.Header, []byte) { return http.StatusOK, nil, []byte(body) }

func badRequest(text string) (int, http.Header, []byte) {
	return http.StatusBadRequest, nil, []byte(text)
}

// read answers a query, with its index in the headers. It blocks as the parameters index and wait request.
func (c apiRequest) read(path string) (int, http.Header, []byte) {
	params := c.URL.Query()
	waitIndex, _ := strconv.ParseUint(params.Get("index"), 10, 64)
	wait := defaultWait
	if text := params.Get("wait"); text != "" {
		var err error
		if wait, err = time.ParseDuration(text); err != nil {
			return badRequest("Invalid wait time")
		}
	}
	wait = min(wait, maxWait)
	deadline := time.Now().Add(wait + wait/(2*jitterDivisor))
	c.agent.store.mu.Lock()
	restores := c.agent.store.restores
	c.agent.store.mu.Unlock()
	for {
		f, faultsChanged := c.agent.currentFaults()
		c.agent.store.mu.Lock()
		st := c.agent.store.current
		if f.Lag != nil {
			st = f.Lag.state
		}
		value, index, found := c.lookup(st, path)
		var body []byte
		if index > waitIndex || waitIndex == 0 || f.NonBlocking || restores != c.agent.store.restores || !time.Now().Before(deadline) {
			body, _ = codec.Marshal(value)
		}
		changed := c.agent.store.updated
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
		t := time.NewTimer(time.Until(deadline))
		select {
		case <-c.Context().Done():
			t.Stop()
			return http.StatusServiceUnavailable, nil, nil
		case <-changed:
		case <-faultsChanged:
			if f, _ := c.agent.currentFaults(); f.Hang {
				t.Stop()
				return 0, nil, nil // status 0: never answered
			}
		case <-t.C:
		}
		t.Stop()
	}
}

// lookup returns the value at a path, the index of its last change and whether it exists.
func (c apiRequest) lookup(st *state, path string) (value any, index uint64, found bool) {
	params := c.URL.Query()
	switch kind, name, _ := strings.Cut(path, "/"); {
	case path == "catalog/services":
		return st.catalogue(), st.catalogIndex, true
	case path == "catalog/nodes":
		return slices.SortedFunc(maps.Values(st.nodes), func(x, y Node) int { return strings.Compare(x.Node, y.Node) }), st.index, true
	case strings.HasPrefix(path, "catalog/service/"):
		name := strings.TrimPrefix(path, "catalog/service/")
		return st.catalogService(name, params["tag"]), max(st.serviceIndexes[name], 1), true
	case strings.HasPrefix(path, "health/service/"):
		name := strings.TrimPrefix(path, "health/service/")
		_, passing := params["passing"]
		index := st.serviceIndexes[name]
		if index == 0 { // for an unknown service the index is that of the whole catalogue
			index = st.catalogIndex
		}
		return st.health(name, params["tag"], passing), index, true
	case strings.HasPrefix(path, "health/state/"):
		return st.checksInState(strings.TrimPrefix(path, "health/state/")), st.checksIndex, true
	case strings.HasPrefix(path, "health/node/"):
		return st.nodeChecks(strings.TrimPrefix(path, "health/node/")), st.checksIndex, true
	case kind == "kv":
		return c.readPair(st, name)
	case path == "session/list":
		return slices.SortedFunc(maps.Values(st.sessions), func(x, y Session) int { return strings.Compare(x.ID, y.ID) }), st.index, true
	case strings.HasPrefix(path, "session/info/"):
		list := []Session{}
		if s, exists := st.sessions[strings.TrimPrefix(path, "session/info/")]; exists {
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

func newServiceBody(s Service) serviceBody {
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

// instances returns a service's instances that have all the given tags, ordered by node and id.
func (st *state) instances(name string, tags []string) []Service {
	var list []Service
	for key := range st.instancesByName[name] {
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
		e := healthEntry{Node: st.nodes[s.Node], Service: newServiceBody(s), Checks: []Check{}}
		for key := range st.checksByNode[s.Node] {
			e.Checks = append(e.Checks, st.checks[key])
		}
		for key := range st.checksByService[serviceKey{s.Node, s.ID}] {
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
		n, b := st.nodes[s.Node], newServiceBody(s)
		out = append(out, map[string]any{
			"Node": n.Node, "Address": n.Address, "ServiceID": b.ID, "ServiceName": b.Service, "ServiceTags": b.Tags,
			"ServiceAddress": b.Address, "ServicePort": b.Port, "ServiceMeta": b.Meta, "CreateIndex": b.CreateIndex, "ModifyIndex": b.ModifyIndex,
		})
	}
	return out
}

func (st *state) checksInState(status string) []Check {
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
