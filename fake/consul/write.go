package consul

import (
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const maxWrite = 1 << 20

// write carries out a call that changes something.
func (c call) write(path string) (int, http.Header, []byte) {
	raw, err := io.ReadAll(io.LimitReader(c.Body, maxWrite))
	if err != nil {
		return bad(err.Error())
	}
	if key, is := strings.CutPrefix(path, "kv/"); is {
		if c.Method == http.MethodDelete {
			return c.deletePair(key)
		}
		return c.writePair(key, raw)
	}
	if c.Method != http.MethodPut {
		return http.StatusMethodNotAllowed, nil, []byte("method not allowed")
	}
	verb, rest := cutLast(path)
	switch {
	case path == "agent/service/register":
		return c.register(raw)
	case verb == "agent/service/deregister":
		return c.deregister(rest)
	case verb == "agent/service/maintenance":
		on := c.URL.Query().Get("enable")
		if on != "true" && on != "false" {
			return bad("Missing value for enable")
		}
		if !c.agent.store.SetMaintenance(c.agent.Node, rest, on == "true", c.URL.Query().Get("reason")) {
			return http.StatusNotFound, nil, []byte("Unknown service ID " + strconv.Quote(rest))
		}
		return ok("")
	case verb == "agent/check/pass", verb == "agent/check/warn", verb == "agent/check/fail":
		status := map[string]string{"pass": "passing", "warn": "warning", "fail": "critical"}[verb[len("agent/check/"):]]
		return c.setTTL(rest, status, c.URL.Query().Get("note"))
	case verb == "agent/check/update":
		var u struct{ Status, Output string }
		if err := codec.Unmarshal(raw, &u); err != nil {
			return bad("Request decode failed: " + err.Error())
		}
		if !slices.Contains([]string{"passing", "warning", "critical"}, u.Status) {
			return bad("Invalid check status: " + strconv.Quote(u.Status))
		}
		return c.setTTL(rest, u.Status, u.Output)
	case path == "session/create":
		return c.createSession(raw)
	case verb == "session/destroy":
		c.agent.store.update(func(st *state) bool { return st.endSession(rest) })
		return ok("true")
	case verb == "session/renew":
		return c.renewSession(rest)
	}
	return http.StatusNotFound, nil, []byte("no such path")
}

// cutLast splits a path before its last element; ids hold no slash here.
func cutLast(path string) (verb, last string) {
	i := strings.LastIndexByte(path, '/')
	if i < 0 {
		return path, ""
	}
	return path[:i], path[i+1:]
}

// checkBody is a check as a service's registration defines it.
type checkBody struct {
	CheckID, Name, TTL, Status, Notes string
	DeregisterCriticalServiceAfter    string
}

// invalidCheckError is a check that can't be registered, in the words of Consul's API.
type invalidCheckError struct{ cause error }

func (e invalidCheckError) Error() string { return "Invalid check: " + e.cause.Error() }
func (e invalidCheckError) Unwrap() error { return e.cause }

func (b checkBody) check(defaultID string) (Check, error) {
	c := Check{CheckID: b.CheckID, Name: b.Name, Status: b.Status, Notes: b.Notes}
	if c.CheckID == "" {
		c.CheckID = defaultID
	}
	if c.Name == "" {
		c.Name = "Service check"
	}
	if c.Status == "" {
		c.Status = "critical" // by the documentation, until it is first heard of
	}
	for _, d := range []struct {
		text string
		to   *time.Duration
	}{{b.TTL, &c.ttl}, {b.DeregisterCriticalServiceAfter, &c.deregister}} {
		if d.text == "" {
			continue
		}
		v, err := time.ParseDuration(d.text)
		if err != nil {
			return c, invalidCheckError{err}
		}
		*d.to = v
	}
	c.expires = time.Now().Add(c.ttl)
	return c, nil
}

func (c call) register(raw []byte) (int, http.Header, []byte) {
	var b struct {
		ID, Name, Address string
		Port              int
		Tags              []string
		Meta              map[string]string
		Check             *checkBody
		Checks            []checkBody
	}
	if err := codec.Unmarshal(raw, &b); err != nil {
		return bad("Request decode failed: " + err.Error())
	}
	if b.Name == "" {
		return bad("Missing service name")
	}
	if b.ID == "" {
		b.ID = b.Name
	}
	if b.Check != nil {
		b.Checks = append(b.Checks, *b.Check)
	}
	var checks []Check
	for i, cb := range b.Checks {
		id := "service:" + b.ID
		if len(b.Checks) > 1 {
			id += ":" + strconv.Itoa(i+1)
		}
		check, err := cb.check(id)
		if err != nil {
			return bad(err.Error())
		}
		checks = append(checks, check)
	}
	c.agent.store.update(func(st *state) bool {
		st.register(Service{ID: b.ID, Name: b.Name, Node: c.agent.Node, Address: b.Address, Port: b.Port, Tags: b.Tags, Meta: b.Meta}, checks)
		return true
	})
	return ok("")
}

func (c call) deregister(id string) (int, http.Header, []byte) {
	found := false
	c.agent.store.update(func(st *state) bool {
		found = st.deregister(serviceKey{c.agent.Node, id})
		return found
	})
	if !found {
		return http.StatusNotFound, nil, []byte("Unknown service ID " + strconv.Quote(id) + ". Ensure that the service ID is passed, not the service name.")
	}
	return ok("")
}

func (c call) setTTL(id, status, output string) (int, http.Header, []byte) {
	code, text := http.StatusOK, ""
	c.agent.store.update(func(st *state) bool {
		check, there := st.checks[checkKey{c.agent.Node, id}]
		switch {
		case !there:
			code, text = http.StatusNotFound, "Unknown check ID "+strconv.Quote(id)+". Ensure that the check ID is passed, not the check name."
			return false
		case check.ttl == 0:
			code, text = http.StatusInternalServerError, "CheckID "+strconv.Quote(id)+" does not have associated TTL"
			return false
		}
		check.expires = time.Now().Add(check.ttl)
		if check.Status == status && check.Output == output {
			st.checks[checkKey{c.agent.Node, id}] = check
			return false
		}
		check.Status, check.Output = status, output
		st.setCheck(check, st.bump())
		return true
	})
	return code, nil, []byte(text)
}

func (c call) agentServices() (int, http.Header, []byte) {
	c.agent.store.mu.Lock()
	defer c.agent.store.mu.Unlock()
	out := map[string]serviceBody{}
	for key, s := range c.agent.store.now.services {
		if key.node == c.agent.Node {
			out[key.id] = bodyOf(s)
		}
	}
	body, _ := codec.Marshal(out)
	return ok(string(body))
}

func (c call) agentChecks() (int, http.Header, []byte) {
	c.agent.store.mu.Lock()
	defer c.agent.store.mu.Unlock()
	out := map[string]Check{}
	for key, check := range c.agent.store.now.checks {
		if key.node == c.agent.Node {
			out[key.id] = check
		}
	}
	body, _ := codec.Marshal(out)
	return ok(string(body))
}

// newID returns a random id in the form of a UUID.
func newID() string {
	var b [16]byte
	rand.Read(b[:])
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:])
}

// The bounds of a session's TTL, and the delay of its locks where none is given, by
// the documentation.
const (
	leastTTL         = 10 * time.Second
	mostTTL          = 24 * time.Hour
	defaultLockDelay = 15 * time.Second
	mostLockDelay    = 60 * time.Second
)

func (c call) createSession(raw []byte) (int, http.Header, []byte) {
	var b struct {
		LockDelay, Node, Name, Behavior, TTL string
		Checks, NodeChecks                   []string
		ServiceChecks                        []struct{ ID string }
	}
	if len(raw) > 0 {
		if err := codec.Unmarshal(raw, &b); err != nil {
			return bad("Request decode failed: " + err.Error())
		}
	}
	s := Session{ID: newID(), Name: b.Name, Node: b.Node, Behavior: b.Behavior, TTL: b.TTL, LockDelay: defaultLockDelay, Checks: b.Checks, NodeChecks: b.NodeChecks}
	for _, sc := range b.ServiceChecks {
		s.ServiceChecks = append(s.ServiceChecks, sc.ID)
	}
	if s.Node == "" {
		s.Node = c.agent.Node
	}
	if s.Behavior == "" {
		s.Behavior = "release"
	}
	if s.Behavior != "release" && s.Behavior != "delete" {
		return bad("Invalid Behavior setting " + strconv.Quote(s.Behavior))
	}
	if b.LockDelay != "" {
		d, err := time.ParseDuration(b.LockDelay)
		if err != nil || d > mostLockDelay {
			return bad("Invalid LockDelay")
		}
		s.LockDelay = d
	}
	if b.TTL != "" {
		d, err := time.ParseDuration(b.TTL)
		if err != nil || d != 0 && (d < leastTTL || d > mostTTL) {
			return http.StatusInternalServerError, nil, []byte("Invalid Session TTL '" + b.TTL + "', must be between [10s=24h0m0s]")
		}
		s.ttl = d
		s.expires = time.Now().Add(2 * d) // by the documentation it may last up to twice its TTL
	}
	code, text := http.StatusOK, ""
	c.agent.store.update(func(st *state) bool {
		for _, id := range s.Checks {
			if check, there := st.checks[checkKey{s.Node, id}]; id != "serfHealth" && (!there || check.Status == "critical") {
				code, text = http.StatusInternalServerError, "Missing or failing check "+strconv.Quote(id)
				return false
			}
		}
		s.CreateIndex = st.bump()
		s.ModifyIndex = s.CreateIndex
		st.sessions[s.ID] = s
		return true
	})
	if code != http.StatusOK {
		return code, nil, []byte(text)
	}
	return ok(fmt.Sprintf(`{"ID":%q}`, s.ID))
}

func (c call) renewSession(id string) (int, http.Header, []byte) {
	var found []Session
	c.agent.store.update(func(st *state) bool {
		if s, there := st.sessions[id]; there {
			s.expires = time.Now().Add(2 * s.ttl)
			st.sessions[id] = s
			found = append(found, s)
		}
		return false
	})
	if found == nil {
		return http.StatusNotFound, nil, []byte("Session id '" + id + "' not found")
	}
	body, _ := codec.Marshal(found)
	return ok(string(body))
}

// readPair reads one key, all below a prefix, or their names.
func (c call) readPair(st *state, key string) (any, uint64, bool) {
	params := c.URL.Query()
	_, recurse := params["recurse"]
	_, keys := params["keys"]
	if !recurse && !keys {
		p, there := st.pairs[key]
		if !there {
			return nil, max(st.gone[key], 1), false
		}
		return []Pair{p}, p.ModifyIndex, true
	}
	pairs, names := []Pair{}, []string{}
	for name, p := range st.pairs {
		if strings.HasPrefix(name, key) {
			pairs, names = append(pairs, p), append(names, name)
		}
	}
	slices.SortFunc(pairs, func(x, y Pair) int { return strings.Compare(x.Key, y.Key) })
	slices.Sort(names)
	if keys {
		return names, st.kvIndex, len(names) > 0
	}
	return pairs, st.kvIndex, len(pairs) > 0
}

func (c call) writePair(key string, value []byte) (int, http.Header, []byte) {
	params := c.URL.Query()
	flags, _ := strconv.ParseUint(params.Get("flags"), 10, 64)
	done, code := false, http.StatusOK
	c.agent.store.update(func(st *state) bool {
		p, there := st.pairs[key]
		if text, is := params["cas"]; is {
			want, _ := strconv.ParseUint(text[0], 10, 64)
			if want == 0 && there || want != 0 && (!there || p.ModifyIndex != want) {
				return false
			}
		}
		if id := params.Get("acquire"); id != "" {
			if _, lives := st.sessions[id]; !lives {
				code = http.StatusInternalServerError
				return false
			}
			if p.Session != "" && p.Session != id || time.Now().Before(st.delays[key]) {
				return false
			}
			if p.Session == "" {
				p.LockIndex++
			}
			p.Session = id
		}
		if id := params.Get("release"); id != "" {
			if p.Session != id {
				return false
			}
			p.Session = ""
		}
		index := st.bump()
		if !there {
			p.Key, p.CreateIndex = key, index
		}
		p.Value, p.Flags, p.ModifyIndex = value, flags, index
		st.pairs[key], st.kvIndex = p, index
		delete(st.gone, key)
		done = true
		return true
	})
	if code != http.StatusOK {
		return code, nil, []byte("invalid session " + strconv.Quote(params.Get("acquire")))
	}
	return ok(strconv.FormatBool(done))
}

func (c call) deletePair(key string) (int, http.Header, []byte) {
	params := c.URL.Query()
	_, recurse := params["recurse"]
	done := true
	c.agent.store.update(func(st *state) bool {
		if text, is := params["cas"]; is {
			want, _ := strconv.ParseUint(text[0], 10, 64)
			if p := st.pairs[key]; p.ModifyIndex != want {
				done = false
				return false
			}
		}
		index, changed := st.bump(), false
		for name := range st.pairs {
			if name == key || recurse && strings.HasPrefix(name, key) {
				delete(st.pairs, name)
				st.gone[name], changed = index, true
			}
		}
		if changed {
			st.kvIndex = index
		}
		return changed
	})
	return ok(strconv.FormatBool(done))
}
