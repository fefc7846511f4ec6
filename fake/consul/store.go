// Package consul is a fake of a Consul agent and the servers behind it, written
// from the published HTTP API: catalogue, health, the agent's services and checks,
// key-value entries with locks and sessions, blocking queries with an index for each
// service, and faults that a test or an experiment scripts. It keeps no data on disk
// and speaks to no other agent; several Agents may share one Store, and each may lag.
package consul

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Service is an instance as it is registered.
type Service struct {
	ID, Name    string
	Node        string
	Address     string
	Port        int
	Tags        []string
	Meta        map[string]string
	CreateIndex uint64
	ModifyIndex uint64
}

// Check is a check of a node, or of one service on it.
type Check struct {
	Node, CheckID, Name    string
	Status, Notes, Output  string
	ServiceID, ServiceName string
	CreateIndex            uint64
	ModifyIndex            uint64

	ttl        time.Duration
	expires    time.Time
	deregister time.Duration // after it has been critical for so long
	criticalAt time.Time
}

// Node is a machine with an agent on it.
type Node struct {
	Node, Address string
	CreateIndex   uint64
	ModifyIndex   uint64
}

// Pair is a key-value entry.
type Pair struct {
	Key                                 string
	Value                               []byte
	Flags                               uint64
	Session                             string `json:",omitempty"`
	LockIndex, CreateIndex, ModifyIndex uint64
}

// Session is a lock's holder.
type Session struct {
	ID, Name, Node     string
	Behavior, TTL      string
	LockDelay          time.Duration
	CreateIndex        uint64
	ModifyIndex        uint64
	expires            time.Time
	ttl                time.Duration
	Checks, NodeChecks []string
	ServiceChecks      []string `json:"-"`
}

type serviceKey struct{ node, id string }

type checkKey struct{ node, id string }

// state is all that the servers hold.
type state struct {
	index    uint64
	nodes    map[string]Node
	services map[serviceKey]Service
	checks   map[checkKey]Check
	byName   map[string]map[serviceKey]bool // instances of a service
	byNode   map[string]map[checkKey]bool   // checks of a node itself
	ofID     map[serviceKey]map[checkKey]bool
	changed  map[string]uint64 // index of the last change to a service's health
	catalog  uint64            // of the last change to the names and tags
	critical uint64            // of the last change to a check
	pairs    map[string]Pair
	kvIndex  uint64
	gone     map[string]uint64 // index at which a key was deleted
	sessions map[string]Session
	delays   map[string]time.Time // keys whose lock may not be taken yet
}

func newState() *state {
	return &state{
		index: 1, nodes: map[string]Node{}, services: map[serviceKey]Service{}, checks: map[checkKey]Check{},
		byName: map[string]map[serviceKey]bool{}, byNode: map[string]map[checkKey]bool{}, ofID: map[serviceKey]map[checkKey]bool{},
		changed: map[string]uint64{}, pairs: map[string]Pair{}, gone: map[string]uint64{}, sessions: map[string]Session{},
		delays: map[string]time.Time{}, catalog: 1, critical: 1, kvIndex: 1,
	}
}

func cloneSets[K, V comparable](m map[K]map[V]bool) map[K]map[V]bool {
	out := make(map[K]map[V]bool, len(m))
	for k, v := range m {
		out[k] = maps.Clone(v)
	}
	return out
}

func (st *state) clone() *state {
	c := *st
	c.nodes, c.services, c.checks = maps.Clone(st.nodes), maps.Clone(st.services), maps.Clone(st.checks)
	c.byName, c.byNode, c.ofID = cloneSets(st.byName), cloneSets(st.byNode), cloneSets(st.ofID)
	c.changed, c.pairs, c.gone = maps.Clone(st.changed), maps.Clone(st.pairs), maps.Clone(st.gone)
	c.sessions, c.delays = maps.Clone(st.sessions), maps.Clone(st.delays)
	return &c
}

// Store is what the servers of one datacentre hold.
type Store struct {
	mu      sync.Mutex
	now     *state
	changed chan struct{} // closed at the next change
	marks   []StatusChange
	epoch   int // restores so far: each ends all blocking queries
	stopped chan struct{}
	once    sync.Once
}

// StatusChange is a change to whether an engine may be sent to, for a checker of the rules.
type StatusChange struct {
	At      time.Time
	Service string // its id
	Status  string // critical, maintenance, clear, gone
}

// sweepEvery is how often TTLs are looked at.
const sweepEvery = 50 * time.Millisecond

// NewStore returns an empty store. Close ends its sweep.
func NewStore() *Store {
	s := &Store{now: newState(), changed: make(chan struct{}), stopped: make(chan struct{})}
	go s.sweep()
	return s
}

// Close ends the store's work.
func (s *Store) Close() { s.once.Do(func() { close(s.stopped) }) }

func (s *Store) sweep() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case now := <-t.C:
			s.update(func(st *state) bool { return st.expire(now) })
		}
	}
}

// update has change work on the state; if it says that something changed, those that
// wait are woken.
func (s *Store) update(change func(*state) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.now.marked()
	if !change(s.now) {
		return
	}
	s.note(before, s.now.marked())
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) note(before, after map[string]string) {
	now := time.Now()
	for id, what := range after {
		if before[id] != what {
			s.marks = append(s.marks, StatusChange{now, id, what})
		}
	}
	for id := range before {
		if _, there := after[id]; !there {
			s.marks = append(s.marks, StatusChange{now, id, "gone"})
		}
	}
}

// marked tells what is stated of each service instance. It is kept small for large
// stores: only what is not clear is worked out, the rest is named as clear.
func (st *state) marked() map[string]string {
	out := make(map[string]string, len(st.services))
	for key := range st.services {
		out[key.id] = "clear"
	}
	for _, c := range st.checks {
		what := ""
		switch {
		case strings.HasPrefix(c.CheckID, "_service_maintenance") || c.CheckID == "_node_maintenance":
			what = "maintenance"
		case c.Status == "critical":
			what = "critical"
		}
		if what == "" {
			continue
		}
		if c.ServiceID != "" {
			if what == "critical" || out[c.ServiceID] != "critical" {
				out[c.ServiceID] = what
			}
			continue
		}
		for key := range st.services {
			if key.node == c.Node {
				out[key.id] = what
			}
		}
	}
	return out
}

// StatusChanges returns all changes of marks so far, oldest first.
func (s *Store) StatusChanges() []StatusChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.marks)
}

// Index returns the newest index.
func (s *Store) Index() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now.index
}

// Snapshot returns the present state, for Restore and for servers that lag.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Snapshot{s.now.clone()}
}

// Snapshot is a state at one time.
type Snapshot struct{ state *state }

// EmptySnapshot returns the snapshot of servers that were started with nothing.
func EmptySnapshot() *Snapshot { return &Snapshot{newState()} }

// Restore puts an old state in the place of the present one, index and all.
func (s *Store) Restore(snap *Snapshot) {
	s.update(func(st *state) bool {
		*st = *snap.state.clone()
		s.epoch++
		return true
	})
}

func (st *state) bump() uint64 {
	st.index++
	return st.index
}

func put[K, V comparable](m map[K]map[V]bool, k K, v V) {
	if m[k] == nil {
		m[k] = map[V]bool{}
	}
	m[k][v] = true
}

func take[K, V comparable](m map[K]map[V]bool, k K, v V) {
	if delete(m[k], v); len(m[k]) == 0 {
		delete(m, k)
	}
}

// touchService notes a change to a service's health.
func (st *state) touchService(name string, index uint64) { st.changed[name] = index }

// touchNode notes a change to the health of all services on a node.
func (st *state) touchNode(node string, index uint64) {
	for k, svc := range st.services {
		if k.node == node {
			st.touchService(svc.Name, index)
		}
	}
}

func (st *state) register(svc Service, checks []Check) {
	index := st.bump()
	if _, there := st.nodes[svc.Node]; !there {
		st.nodes[svc.Node] = Node{Node: svc.Node, Address: "127.0.0.1", CreateIndex: index, ModifyIndex: index}
	}
	key := serviceKey{svc.Node, svc.ID}
	svc.CreateIndex, svc.ModifyIndex = index, index
	if old, there := st.services[key]; there {
		svc.CreateIndex = old.CreateIndex
		if old.Name != svc.Name {
			take(st.byName, old.Name, key)
			st.touchService(old.Name, index)
		}
		if old.Name != svc.Name || !slices.Equal(old.Tags, svc.Tags) {
			st.catalog = index
		}
	} else {
		st.catalog = index
	}
	st.services[key] = svc
	put(st.byName, svc.Name, key)
	st.touchService(svc.Name, index)
	for _, c := range checks {
		c.Node, c.ServiceID, c.ServiceName = svc.Node, svc.ID, svc.Name
		st.setCheck(c, index)
	}
}

func (st *state) setCheck(c Check, index uint64) {
	key := checkKey{c.Node, c.CheckID}
	old, there := st.checks[key]
	c.CreateIndex, c.ModifyIndex = index, index
	if there {
		c.CreateIndex = old.CreateIndex
	}
	if c.Status == "critical" {
		if c.criticalAt = old.criticalAt; !there || old.Status != "critical" {
			c.criticalAt = time.Now()
		}
	}
	st.checks[key] = c
	if c.ServiceID == "" {
		put(st.byNode, c.Node, key)
	} else {
		put(st.ofID, serviceKey{c.Node, c.ServiceID}, key)
	}
	if st.touchOwner(c, index); c.ServiceID == "" {
		return
	}
	for id, s := range st.sessions { // a session ends with one of its checks
		if c.Status == "critical" && s.Node == c.Node && slices.Contains(slices.Concat(s.Checks, s.NodeChecks, s.ServiceChecks), c.CheckID) {
			st.endSession(id)
		}
	}
}

func (st *state) dropCheck(key checkKey, index uint64) {
	c, there := st.checks[key]
	if !there {
		return
	}
	delete(st.checks, key)
	if c.ServiceID == "" {
		take(st.byNode, c.Node, key)
	} else {
		take(st.ofID, serviceKey{c.Node, c.ServiceID}, key)
	}
	st.touchOwner(c, index)
}

// touchOwner notes that a check has changed: of a service, or of a node as a whole.
func (st *state) touchOwner(c Check, index uint64) {
	st.critical = index
	if c.ServiceID == "" {
		st.touchNode(c.Node, index)
		return
	}
	st.touchService(c.ServiceName, index)
}

func (st *state) deregister(key serviceKey) bool {
	svc, there := st.services[key]
	if !there {
		return false
	}
	index := st.bump()
	for c := range maps.Clone(st.ofID[key]) {
		st.dropCheck(c, index)
	}
	delete(st.services, key)
	take(st.byName, svc.Name, key)
	st.touchService(svc.Name, index)
	st.catalog = index
	return true
}

// expire lets TTLs pass.
func (st *state) expire(now time.Time) bool {
	changed := false
	for key, c := range st.checks {
		switch {
		case c.ttl > 0 && c.Status != "critical" && now.After(c.expires):
			c.Status, c.Output = "critical", "TTL expired"
			st.setCheck(c, st.bump())
			changed = true
		case c.deregister > 0 && c.Status == "critical" && now.Sub(c.criticalAt) > c.deregister:
			changed = st.deregister(serviceKey{key.node, c.ServiceID}) || changed
		}
	}
	for id, s := range st.sessions {
		if s.ttl > 0 && now.After(s.expires) {
			st.endSession(id)
			changed = true
		}
	}
	return changed
}

// endSession lets go of, or deletes, what a session has locked. The keys may not be
// locked again until its lock delay is over.
func (st *state) endSession(id string) bool {
	s, there := st.sessions[id]
	if !there {
		return false
	}
	delete(st.sessions, id)
	index := st.bump()
	for key, p := range st.pairs {
		if p.Session != id {
			continue
		}
		st.kvIndex = index
		if s.LockDelay > 0 {
			st.delays[key] = time.Now().Add(s.LockDelay)
		}
		if s.Behavior == "delete" {
			delete(st.pairs, key)
			st.gone[key] = index
			continue
		}
		p.Session, p.ModifyIndex = "", index
		st.pairs[key] = p
	}
	return true
}

// Register lists an instance, with checks given by id and status.
func (s *Store) Register(svc Service, checks map[string]string) {
	s.update(func(st *state) bool {
		if svc.Node == "" {
			svc.Node = "node-1"
		}
		var list []Check
		for _, id := range slices.Sorted(maps.Keys(checks)) {
			list = append(list, Check{CheckID: id, Name: id, Status: checks[id]})
		}
		st.register(svc, list)
		return true
	})
}

// Deregister takes an instance off the list.
func (s *Store) Deregister(node, id string) {
	s.update(func(st *state) bool { return st.deregister(serviceKey{node, id}) })
}

// SetCheck changes the status of a service's check.
func (s *Store) SetCheck(node, id, check, status string) {
	s.SetChecks(node, map[string]string{id: status}, check)
}

// SetChecks changes the status of one check of many services at one index each.
func (s *Store) SetChecks(node string, byID map[string]string, check string) {
	s.update(func(st *state) bool {
		for id, status := range byID {
			svc, there := st.services[serviceKey{node, id}]
			if !there {
				continue
			}
			c := st.checks[checkKey{node, check + ":" + id}]
			c.Node, c.CheckID, c.Name, c.Status = node, check+":"+id, check, status
			c.ServiceID, c.ServiceName = id, svc.Name
			st.setCheck(c, st.bump())
		}
		return true
	})
}

// SetMaintenance begins or ends the maintenance of one instance.
func (s *Store) SetMaintenance(node, id string, on bool, reason string) bool {
	found := false
	s.update(func(st *state) bool {
		svc, there := st.services[serviceKey{node, id}]
		if found = there; !there {
			return false
		}
		c := Check{Node: node, CheckID: "_service_maintenance:" + id, Name: "Service Maintenance Mode", Status: "critical", Notes: reason, ServiceID: id, ServiceName: svc.Name}
		if on {
			st.setCheck(c, st.bump())
		} else {
			st.dropCheck(checkKey{node, c.CheckID}, st.bump())
		}
		return true
	})
	return found
}
