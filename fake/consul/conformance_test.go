package consul

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/consul/api"
)

// start starts an agent and returns it with its store and an official Consul client for it.
func start(t *testing.T) (*Store, *Agent, *api.Client) {
	t.Helper()
	store := NewStore()
	t.Cleanup(store.Close)
	a, err := NewAgent(store, "node-1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	c, err := api.NewClient(&api.Config{Address: a.Addr, Transport: &http.Transport{}})
	if err != nil {
		t.Fatal(err)
	}
	return store, a, c
}

func must[T any](v T, err error) func(*testing.T) T {
	return func(t *testing.T) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

func TestAgentServicesAndChecks(t *testing.T) {
	_, _, c := start(t)
	agent, health := c.Agent(), c.Health()
	reg := &api.AgentServiceRegistration{
		ID: "e1", Name: "llm", Address: "127.0.0.1", Port: 9001, Tags: []string{"gpu"}, Meta: map[string]string{"role": "read"},
		Check: &api.AgentServiceCheck{TTL: "1h"},
	}
	if err := agent.ServiceRegister(reg); err != nil {
		t.Fatal(err)
	}
	list, meta, err := health.Service("llm", "gpu", false, nil)
	if err != nil || len(list) != 1 || list[0].Service.Meta["role"] != "read" || list[0].Service.Port != 9001 || list[0].Checks.AggregatedStatus() != api.HealthCritical {
		t.Fatalf("after registration: %+v, error %v", list, err)
	}
	if meta.LastIndex == 0 || !meta.KnownLeader {
		t.Errorf("query metadata %+v", meta)
	}
	if err := agent.UpdateTTL("service:e1", "fine", api.HealthPassing); err != nil {
		t.Fatal(err)
	}
	if list, _, _ = health.Service("llm", "", true, nil); len(list) != 1 {
		t.Errorf("%d passing instances, want 1", len(list))
	}
	created := list[0].Service.CreateIndex
	if err := agent.EnableServiceMaintenance("e1", "new board"); err != nil {
		t.Fatal(err)
	}
	if list, _, _ = health.Service("llm", "", false, nil); list[0].Checks.AggregatedStatus() != api.HealthMaint {
		t.Errorf("checks during maintenance: %+v", list[0].Checks)
	}
	if err := agent.DisableServiceMaintenance("e1"); err != nil {
		t.Fatal(err)
	}
	if err := agent.ServiceRegister(reg); err != nil { // registered again without a deregistration
		t.Fatal(err)
	}
	if list, _, _ = health.Service("llm", "", false, nil); list[0].Service.CreateIndex != created || list[0].Service.ModifyIndex == created {
		t.Errorf("registered again: %+v", list[0].Service)
	}
	if services := must(agent.Services())(t); services["e1"] == nil || services["e1"].Service != "llm" {
		t.Errorf("services of the agent: %+v", services)
	}
	if checks := must(agent.Checks())(t); checks["service:e1"] == nil {
		t.Errorf("checks of the agent: %+v", checks)
	}
	if services, _, err := c.Catalog().Services(nil); err != nil || !slices.Equal(services["llm"], []string{"gpu"}) {
		t.Errorf("services in the catalogue: %v, error %v", services, err)
	}
	if critical, _, err := health.State(api.HealthCritical, nil); err != nil || len(critical) != 1 || critical[0].ServiceName != "llm" {
		t.Errorf("critical checks: %v, error %v", critical, err)
	}
	if err := agent.ServiceDeregister("e1"); err != nil {
		t.Fatal(err)
	}
	if list, _, _ = health.Service("llm", "", false, nil); len(list) != 0 {
		t.Errorf("%d instances after deregistration, want 0", len(list))
	}
	if err := agent.ServiceDeregister("e1"); err == nil || !strings.Contains(err.Error(), "404") {
		t.Errorf("second deregistration: %v", err)
	}
	if err := agent.UpdateTTL("service:e1", "", api.HealthPassing); err == nil {
		t.Error("update of a deleted check succeeded")
	}
	if leader, err := c.Status().Leader(); err != nil || leader == "" {
		t.Errorf("leader %q, %v", leader, err)
	}
}

func TestTTLExpiryDeregisters(t *testing.T) {
	store, _, c := start(t)
	if err := c.Agent().ServiceRegister(&api.AgentServiceRegistration{
		ID: "g1", Name: "wellgw", Port: 1, Check: &api.AgentServiceCheck{TTL: "100ms", Status: api.HealthPassing, DeregisterCriticalServiceAfter: "100ms"},
	}); err != nil {
		t.Fatal(err)
	}
	var index uint64
	var seen []string
	for len(seen) < 3 { // each blocking query returns at the next change
		list, meta, err := c.Health().Service("wellgw", "", false, &api.QueryOptions{WaitIndex: index, WaitTime: 20 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		index = meta.LastIndex
		if len(list) == 0 {
			seen = append(seen, "gone")
		} else {
			seen = append(seen, list[0].Checks.AggregatedStatus())
		}
	}
	if !slices.Equal(seen, []string{"passing", "critical", "gone"}) {
		t.Errorf("statuses seen by blocking queries: %v", seen)
	}
	var statuses []string
	for _, change := range store.StatusChanges() {
		statuses = append(statuses, change.Status)
	}
	if !slices.Equal(statuses, []string{"clear", "critical", "gone"}) {
		t.Errorf("status changes %v", statuses)
	}
}

// A blocking query returns at a change to its own service, not to another service. Without a change it
// returns after its wait, and immediately when the servers are restored from a snapshot.
func TestBlockingQueries(t *testing.T) {
	store, agent, c := start(t)
	store.Register(Service{ID: "a", Name: "x", Port: 1}, nil)
	before := store.Snapshot()
	store.Register(Service{ID: "b", Name: "y", Port: 1}, nil)
	store.Register(Service{ID: "a2", Name: "x", Port: 1}, nil)
	query := func(index uint64, wait time.Duration) (int, uint64) {
		t.Helper()
		list, meta, err := c.Health().Service("x", "", false, &api.QueryOptions{WaitIndex: index, WaitTime: wait})
		if err != nil {
			t.Fatal(err)
		}
		return len(list), meta.LastIndex
	}
	n, index := query(0, 0)
	if n != 2 {
		t.Fatalf("%d instances, want 2", n)
	}
	type answer struct {
		instances int
		index     uint64
	}
	startBlocking := func() chan answer {
		ch := make(chan answer, 1)
		go func() {
			list, meta, err := c.Health().Service("x", "", false, &api.QueryOptions{WaitIndex: index, WaitTime: time.Minute})
			if err != nil {
				t.Error(err)
				close(ch)
				return
			}
			ch <- answer{len(list), meta.LastIndex}
		}()
		return ch
	}
	ch := startBlocking()
	store.Register(Service{ID: "b2", Name: "y", Port: 1}, nil)
	store.Deregister("node-1", "a2")
	if a := <-ch; a.instances != 1 || a.index <= index {
		t.Errorf("after a change: %+v, previous index %d", a, index)
	}
	n, index = query(0, 0)
	if n2, index2 := query(index, 10*time.Millisecond); n2 != n || index2 != index {
		t.Errorf("without a change: %d instances at index %d, before %d at %d", n2, index2, n, index)
	}
	ch = startBlocking()
	for _, _, open := agent.Stats(); open == 0; _, _, open = agent.Stats() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // lets the agent begin to block the query
	store.Restore(before)
	if a := <-ch; a.index >= index {
		t.Errorf("after a restore: index %d, want below %d", a.index, index)
	}
}

func TestLocks(t *testing.T) {
	_, _, c := start(t)
	kv, sessions := c.KV(), c.Session()
	entry := &api.SessionEntry{Name: "roles", TTL: "10s", LockDelay: time.Millisecond, Behavior: api.SessionBehaviorRelease}
	first, _, err := sessions.Create(entry, nil)
	if err != nil {
		t.Fatal(err)
	}
	second, _, err := sessions.Create(entry, nil)
	if err != nil {
		t.Fatal(err)
	}
	acquire := func(session string) bool {
		t.Helper()
		got, _, err := kv.Acquire(&api.KVPair{Key: "lock", Value: []byte(session), Session: session}, nil)
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	if !acquire(first) || acquire(second) || !acquire(first) {
		t.Error("the lock is not held by the first session exclusively")
	}
	pair, _, err := kv.Get("lock", nil)
	if err != nil || pair.Session != first || pair.LockIndex != 1 || string(pair.Value) != first {
		t.Errorf("locked entry: %+v, error %v", pair, err)
	}
	if _, err := sessions.Destroy(first, nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Millisecond) // the lock delay
	if !acquire(second) {
		t.Error("the lock was not released at the end of its session")
	}
	if pair, _, _ = kv.Get("lock", nil); pair.LockIndex != 2 {
		t.Errorf("lock index %d, want 2", pair.LockIndex)
	}
	if released, _, err := kv.Release(&api.KVPair{Key: "lock", Session: second}, nil); err != nil || !released {
		t.Errorf("release: %v, error %v", released, err)
	}
	if entry, _, err := sessions.Renew(first, nil); err != nil || entry != nil {
		t.Errorf("renewal of a destroyed session: %+v, error %v", entry, err)
	}
	if entry, _, err := sessions.Renew(second, nil); err != nil || entry == nil {
		t.Errorf("renewal of a session: %+v, error %v", entry, err)
	}
	if _, _, err := sessions.Create(&api.SessionEntry{TTL: "1s"}, nil); err == nil {
		t.Error("a TTL below 10 s was accepted")
	}
}

func TestPairs(t *testing.T) {
	_, _, c := start(t)
	kv := c.KV()
	for _, key := range []string{"a/1", "a/2", "b"} {
		if _, err := kv.Put(&api.KVPair{Key: key, Value: []byte(key), Flags: 7}, nil); err != nil {
			t.Fatal(err)
		}
	}
	if list, _, err := kv.List("a/", nil); err != nil || len(list) != 2 || string(list[1].Value) != "a/2" || list[1].Flags != 7 {
		t.Errorf("list: %v, error %v", list, err)
	}
	if keys, _, err := kv.Keys("", "", nil); err != nil || !slices.Equal(keys, []string{"a/1", "a/2", "b"}) {
		t.Errorf("keys: %v, error %v", keys, err)
	}
	pair, _, _ := kv.Get("b", nil)
	for _, want := range []bool{true, false} { // the second index is outdated
		if done, _, err := kv.CAS(&api.KVPair{Key: "b", Value: []byte("x"), ModifyIndex: pair.ModifyIndex}, nil); err != nil || done != want {
			t.Errorf("check-and-set: %v, error %v", done, err)
		}
	}
	if _, err := kv.DeleteTree("a/", nil); err != nil {
		t.Fatal(err)
	}
	if pair, _, err := kv.Get("a/1", nil); err != nil || pair != nil {
		t.Errorf("read of a deleted key: %v, error %v", pair, err)
	}
}

func TestFaults(t *testing.T) {
	store, a, c := start(t)
	store.Register(Service{ID: "a", Name: "x", Port: 1}, nil)
	old := store.Snapshot()
	store.Register(Service{ID: "b", Name: "x", Port: 1}, nil)
	query := func(o *api.QueryOptions) (int, *api.QueryMeta, error) {
		list, meta, err := c.Health().Service("x", "", false, o)
		return len(list), meta, err
	}
	expectError := func(f Faults, want string) {
		t.Helper()
		a.SetFaults(f)
		if _, _, err := query(nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("faults %+v: error %v, want %s", f, err, want)
		}
	}
	expectError(Faults{Status: 429, RetryAfter: "2"}, "429")
	expectError(Faults{Leaderless: true}, "No cluster leader")
	expectError(Faults{ResetFraction: 1}, "unexpected EOF")
	expectError(Faults{Refuse: true}, "refused")
	a.SetFaults(Faults{Leaderless: true, LastContact: time.Minute})
	if n, meta, err := query(&api.QueryOptions{AllowStale: true}); err != nil || n != 2 || meta.KnownLeader || meta.LastContact != time.Minute {
		t.Errorf("stale query without a leader: %d instances, %+v, error %v", n, meta, err)
	}
	a.SetFaults(Faults{Lag: old})
	if n, _, err := query(nil); err != nil || n != 1 {
		t.Errorf("lagging server: %d instances, error %v", n, err)
	}
	a.SetFaults(Faults{Trickle: time.Microsecond})
	if n, _, err := query(nil); err != nil || n != 2 {
		t.Errorf("slow answer: %d instances, error %v", n, err)
	}
	a.SetFaults(Faults{})
	a.Token = "secret"
	if _, _, err := query(nil); err == nil || !strings.Contains(err.Error(), "403") {
		t.Errorf("request without a token: error %v", err)
	}
	if n, _, err := query(&api.QueryOptions{Token: "secret"}); err != nil || n != 2 {
		t.Errorf("request with a token: %d instances, error %v", n, err)
	}
}
