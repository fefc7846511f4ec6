// Package consul is a fake of a Consul agent and its servers, written from the published HTTP API:
// catalogue, health, the agent's services and checks, key-value entries with locks and sessions, blocking
// queries with an index for each service, and faults that a test or an experiment injects. It stores
// nothing on disk and communicates with no other agent. Several Agents may share one Store, and each may
// lag behind it.
package consul

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Service is a registered instance of a service.
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

// Check is a health check of a node, or of one service instance on it.
type Check struct {
	Node, CheckID, Name    string
	Status, Notes, Output  string
	ServiceID, ServiceName string
	CreateIndex            uint64
	ModifyIndex            uint64

	ttl        time.Duration
	expires    time.Time
	deregister time.Duration // how long the check may be critical before its service is deregistered
	criticalAt time.Time
}

// Node is a machine that runs an agent.
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

// Session is a session that may hold locks on keys.
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

// state is all data of the servers.
type state struct {
	index           uint64
	nodes           map[string]Node
	services        map[serviceKey]Service
	checks          map[checkKey]Check
	instancesByName map[string]map[serviceKey]bool   // instances of each service
	checksByNode    map[string]map[checkKey]bool     // node-level checks
	checksByService map[serviceKey]map[checkKey]bool // checks of each instance
	serviceIndexes  map[string]uint64                // index of the last change to each service's health
	catalogIndex    uint64                           // index of the last change to service names and tags
	checksIndex     uint64                           // index of the last change to a check
	pairs           map[string]Pair
	kvIndex         uint64
	deleteIndexes   map[string]uint64 // index at which each deleted key was deleted
	sessions        map[string]Session
	lockDelays      map[string]time.Time // end of the lock delay of each key
}

func newState() *state {
	return &state{
		index: 1, nodes: map[string]Node{}, services: map[serviceKey]Service{}, checks: map[checkKey]Check{},
		instancesByName: map[string]map[serviceKey]bool{}, checksByNode: map[string]map[checkKey]bool{}, checksByService: map[serviceKey]map[checkKey]bool{},
		serviceIndexes: map[string]uint64{}, pairs: map[string]Pair{}, deleteIndexes: map[string]uint64{}, sessions: map[string]Session{},
		lockDelays: map[string]time.Time{}, catalogIndex: 1, checksIndex: 1, kvIndex: 1,
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
	c.instancesByName, c.checksByNode, c.checksByService = cloneSets(st.instancesByName), cloneSets(st.checksByNode), cloneSets(st.checksByService)
	c.serviceIndexes, c.pairs, c.deleteIndexes = maps.Clone(st.serviceIndexes), maps.Clone(st.pairs), maps.Clone(st.deleteIndexes)
	c.sessions, c.lockDelays = maps.Clone(st.sessions), maps.Clone(st.lockDelays)
	return &c
}

// Store is the data of the servers of one datacentre.
type Store struct {
	mu            sync.Mutex
	current       *state
	updated       chan struct{} // closed and replaced at the next change
	statusChanges []StatusChange
	restores      int // number of restores; each ends all blocking queries
	stopped       chan struct{}
	once          sync.Once
}

// StatusChange is a change to whether requests may be sent to an instance. Checkers compare it with the
// traffic.
type StatusChange struct {
	At      time.Time
	Service string // id of the instance
	Status  string // critical, maintenance, clear, gone
}

// sweepInterval is the interval between checks for expired TTLs.
const sweepInterval = 50 * time.Millisecond

// NewStore returns an empty store and starts its expiry of TTLs. Close stops it.
func NewStore() *Store {
	s := &Store{current: newState(), updated: make(chan struct{}), stopped: make(chan struct{})}
	go s.sweep()
	return s
}

// Close stops the expiry of TTLs.
func (s *Store) Close() { s.once.Do(func() { close(s.stopped) }) }

func (s *Store) sweep() {
	t := time.NewTicker(sweepInterval)
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

// update calls change on the state. If change reports a modification, update records status changes and
// wakes blocking queries.
func (s *Store) update(change func(*state) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.current.instanceStatuses()
	if !change(s.current) {
		return
	}
	s.recordStatusChanges(before, s.current.instanceStatuses())
	close(s.updated)
	s.updated = make(chan struct{})
}

func (s *Store) recordStatusChanges(before, after map[string]string) {
	now := time.Now()
	for id, status := range after {
		if before[id] != status {
			s.statusChanges = append(s.statusChanges, StatusChange{now, id, status})
		}
	}
	for id := range before {
		if _, exists := after[id]; !exists {
			s.statusChanges = append(s.statusChanges, StatusChange{now, id, "gone"})
		}
	}
}

// instanceStatuses returns the status of each service instance by id: clear, critical or maintenance. To
// be fast on large stores it sets all to clear and then evaluates only checks that are not passing.
func (st *state) instanceStatuses() map[string]string {
	out := make(map[string]string, len(st.services))
	for key := range st.services {
		out[key.id] = "clear"
	}
	for _, c := range st.checks {
		status := ""
		switch {
		case strings.HasPrefix(c.CheckID, "_service_maintenance") || c.CheckID == "_node_maintenance":
			status = "maintenance"
		case c.Status == "critical":
			status = "critical"
		}
		if status == "" {
			continue
		}
		if c.ServiceID != "" {
			if status == "critical" || out[c.ServiceID] != "critical" {
				out[c.ServiceID] = status
			}
			continue
		}
		for key := range st.services {
			if key.node == c.Node {
				out[key.id] = status
			}
		}
	}
	return out
}

// StatusChanges returns all status changes so far, oldest first.
func (s *Store) StatusChanges() []StatusChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.statusChanges)
}

// Index returns the index of the latest change.
func (s *Store) Index() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.index
}

// Snapshot returns a copy of the current state, for Restore and for Faults.Lag.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Snapshot{s.current.clone()}
}

// Snapshot is a copy of the servers' state.
type Snapshot struct{ state *state }

// EmptySnapshot returns the snapshot of newly started servers without data.
func EmptySnapshot() *Snapshot { return &Snapshot{newState()} }

// Restore replaces the current state, including its index, with a snapshot.
func (s *Store) Restore(snap *Snapshot) {
	s.update(func(st *state) bool {
		*st = *snap.state.clone()
		s.restores++
		return true
	})
}

func (st *state) bump() uint64 {
	st.index++
	return st.index
}

func addToSet[K, V comparable](m map[K]map[V]bool, k K, v V) {
	if m[k] == nil {
		m[k] = map[V]bool{}
	}
	m[k][v] = true
}

func removeFromSet[K, V comparable](m map[K]map[V]bool, k K, v V) {
	if delete(m[k], v); len(m[k]) == 0 {
		delete(m, k)
	}
}

// markServiceChanged records the index of a change to a service's health.
func (st *state) markServiceChanged(name string, index uint64) { st.serviceIndexes[name] = index }

// markNodeChanged records the index of a change to the health of all services on a node.
func (st *state) markNodeChanged(node string, index uint64) {
	for k, svc := range st.services {
		if k.node == node {
			st.markServiceChanged(svc.Name, index)
		}
	}
}

func (st *state) register(svc Service, checks []Check) {
	index := st.bump()
	if _, exists := st.nodes[svc.Node]; !exists {
		st.nodes[svc.Node] = Node{Node: svc.Node, Address: "127.0.0.1", CreateIndex: index, ModifyIndex: index}
	}
	key := serviceKey{svc.Node, svc.ID}
	svc.CreateIndex, svc.ModifyIndex = index, index
	if old, exists := st.services[key]; exists {
		svc.CreateIndex = old.CreateIndex
		if old.Name != svc.Name {
			removeFromSet(st.instancesByName, old.Name, key)
			st.markServiceChanged(old.Name, index)
		}
		if old.Name != svc.Name || !slices.Equal(old.Tags, svc.Tags) {
			st.catalogIndex = index
		}
	} else {
		st.catalogIndex = index
	}
	st.services[key] = svc
	addToSet(st.instancesByName, svc.Name, key)
	st.markServiceChanged(svc.Name, index)
	for _, c := range checks {
		c.Node, c.ServiceID, c.ServiceName = svc.Node, svc.ID, svc.Name
		st.setCheck(c, index)
	}
}

func (st *state) setCheck(c Check, index uint64) {
	key := checkKey{c.Node, c.CheckID}
	old, exists := st.checks[key]
	c.CreateIndex, c.ModifyIndex = index, index
	if exists {
		c.CreateIndex = old.CreateIndex
	}
	if c.Status == "critical" {
		if c.criticalAt = old.criticalAt; !exists || old.Status != "critical" {
			c.criticalAt = time.Now()
		}
	}
	st.checks[key] = c
	if c.ServiceID == "" {
		addToSet(st.checksByNode, c.Node, key)
	} else {
		addToSet(st.checksByService, serviceKey{c.Node, c.ServiceID}, key)
	}
	if st.markOwnerChanged(c, index); c.ServiceID == "" {
		return
	}
	for id, s := range st.sessions { // a session ends when one of its checks becomes critical
		if c.Status == "critical" && s.Node == c.Node && slices.Contains(slices.Concat(s.Checks, s.NodeChecks, s.ServiceChecks), c.CheckID) {
			st.endSession(id)
		}
	}
}

func (st *state) deleteCheck(key checkKey, index uint64) {
	c, exists := st.checks[key]
	if !exists {
		return
	}
	delete(st.checks, key)
	if c.ServiceID == "" {
		removeFromSet(st.checksByNode, c.Node, key)
	} else {
		removeFromSet(st.checksByService, serviceKey{c.Node, c.ServiceID}, key)
	}
	st.markOwnerChanged(c, index)
}

// markOwnerChanged records the index of a change to a check, for its service or for all services on its
// node.
func (st *state) markOwnerChanged(c Check, index uint64) {
	st.checksIndex = index
	if c.ServiceID == "" {
		st.markNodeChanged(c.Node, index)
		return
	}
	st.markServiceChanged(c.ServiceName, index)
}

func (st *state) deregister(key serviceKey) bool {
	svc, exists := st.services[key]
	if !exists {
		return false
	}
	index := st.bump()
	for c := range maps.Clone(st.checksByService[key]) {
		st.deleteCheck(c, index)
	}
	delete(st.services, key)
	removeFromSet(st.instancesByName, svc.Name, key)
	st.markServiceChanged(svc.Name, index)
	st.catalogIndex = index
	return true
}

// expire applies the TTLs of checks and sessions and deregisters instances that were critical for too long.
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

// endSession deletes a session. The keys that it has locked are unlocked or deleted, depending on its
// behavior, and can't be locked again until its lock delay has passed.
func (st *state) endSession(id string) bool {
	s, exists := st.sessions[id]
	if !exists {
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
			st.lockDelays[key] = time.Now().Add(s.LockDelay)
		}
		if s.Behavior == "delete" {
			delete(st.pairs, key)
			st.deleteIndexes[key] = index
			continue
		}
		p.Session, p.ModifyIndex = "", index
		st.pairs[key] = p
	}
	return true
}

// Register registers an instance. checks maps ids of checks to their statuses.
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

// Deregister removes an instance.
func (s *Store) Deregister(node, id string) {
	s.update(func(st *state) bool { return st.deregister(serviceKey{node, id}) })
}

// SetCheck sets the status of an instance's check.
func (s *Store) SetCheck(node, id, check, status string) {
	s.SetChecks(node, map[string]string{id: status}, check)
}

// SetChecks sets the status of one check of several instances, each with an index of its own.
func (s *Store) SetChecks(node string, statusByID map[string]string, check string) {
	s.update(func(st *state) bool {
		for id, status := range statusByID {
			svc, exists := st.services[serviceKey{node, id}]
			if !exists {
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

// SetMaintenance begins or ends the maintenance of one instance. It reports whether the instance exists.
func (s *Store) SetMaintenance(node, id string, on bool, reason string) bool {
	found := false
	s.update(func(st *state) bool {
		svc, exists := st.services[serviceKey{node, id}]
		if found = exists; !exists {
			return false
		}
		c := Check{Node: node, CheckID: "_service_maintenance:" + id, Name: "Service Maintenance Mode", Status: "critical", Notes: reason, ServiceID: id, ServiceName: svc.Name}
		if on {
			st.setCheck(c, st.bump())
		} else {
			st.deleteCheck(checkKey{node, c.CheckID}, st.bump())
		}
		return true
	})
	return found
}
