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

const maxWriteBytes = 1 << 20

// write executes a PUT or DELETE request.
func (c apiRequest) write(path string) (int, http.Header, []byte) {
	raw, err := io.ReadAll(io.LimitReader(c.Body, maxWriteBytes))
	if err != nil {
		return badRequest(err.Error())
	}
	if key, present := strings.CutPrefix(path, "kv/"); present {
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
			return badRequest("Missing value for enable")
		}
		if !c.agent.store.SetMaintenance(c.agent.Node, rest, on == "true", c.URL.Query().Get("reason")) {
			return http.StatusNotFound, nil, []byte("Unknown service ID " + strconv.Quote(rest))
		}
		return okResponse("")
	case verb == "agent/check/pass", verb == "agent/check/warn", verb == "agent/check/fail":
		status := map[string]string{"pass": "passing", "warn": "warning", "fail": "critical"}[verb[len("agent/check/"):]]
		return c.setTTL(rest, status, c.URL.Query().Get("note"))
	case verb == "agent/check/update":
		var u struct{ Status, Output string }
		if err := codec.Unmarshal(raw, &u); err != nil {
			return badRequest("Request decode failed: " + err.Error())
		}
		if !slices.Contains([]string{"passing", "warning", "critical"}, u.Status) {
			return badRequest("Invalid check status: " + strconv.Quote(u.Status))
		}
		return c.setTTL(rest, u.Status, u.Output)
	case path == "session/create":
		return c.createSession(raw)
	case verb == "session/destroy":
		c.agent.store.update(func(st *state) bool { return st.endSession(rest) })
		return okResponse("true")
	case verb == "session/renew":
		return c.renewSession(rest)
	}
	return http.StatusNotFound, nil, []byte("no such path")
}

// cutLast splits a path before its last element. It assumes that ids contain no slash.
func cutLast(path string) (verb, last string) {
	i := strings.LastIndexByte(path, '/')
	if i < 0 {
		return path, ""
	}
	return path[:i], path[i+1:]
}

// checkBody is the definition of a check in the body of a service registration.
type checkBody struct {
	CheckID, Name, TTL, Status, Notes string
	DeregisterCriticalServiceAfter    string
}

// invalidCheckError is an invalid definition of a check. Its text is that of Consul's API.
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
		c.Status = "critical" // Consul's documented status until the check's first update
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

func (c apiRequest) register(raw []byte) (int, http.Header, []byte) {
	var b struct {
		ID, Name, Address string
		Port              int
		Tags              []string
		Meta              map[string]string
		Check             *checkBody
		Checks            []checkBody
	}
	if err := codec.Unmarshal(raw, &b); err != nil {
		return badRequest("Request decode failed: " + err.Error())
	}
	if b.Name == "" {
		return badRequest("Missing service name")
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
			return badRequest(err.Error())
		}
		checks = append(checks, check)
	}
	c.agent.store.update(func(st *state) bool {
		st.register(Service{ID: b.ID, Name: b.Name, Node: c.agent.Node, Address: b.Address, Port: b.Port, Tags: b.Tags, Meta: b.Meta}, checks)
		return true
	})
	return okResponse("")
}

func (c apiRequest) deregister(id string) (int, http.Header, []byte) {
	found := false
	c.agent.store.update(func(st *state) bool {
		found = st.deregister(serviceKey{c.agent.Node, id})
		return found
	})
	if !found {
		return http.StatusNotFound, nil, []byte("Unknown service ID " + strconv.Quote(id) + ". Ensure that the service ID is passed, not the service name.")
	}
	return okResponse("")
}

func (c apiRequest) setTTL(id, status, output string) (int, http.Header, []byte) {
	code, text := http.StatusOK, ""
	c.agent.store.update(func(st *state) bool {
		check, exists := st.checks[checkKey{c.agent.Node, id}]
		switch {
		case !exists:
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

func (c apiRequest) agentServices() (int, http.Header, []byte) {
	c.agent.store.mu.Lock()
	defer c.agent.store.mu.Unlock()
	out := map[string]serviceBody{}
	for key, s := range c.agent.store.current.services {
		if key.node == c.agent.Node {
			out[key.id] = newServiceBody(s)
		}
	}
	body, _ := codec.Marshal(out)
	return okResponse(string(body))
}

func (c apiRequest) agentChecks() (int, http.Header, []byte) {
	c.agent.store.mu.Lock()
	defer c.agent.store.mu.Unlock()
	out := map[string]Check{}
	for key, check := range c.agent.store.current.checks {
		if key.node == c.agent.Node {
			out[key.id] = check
		}
	}
	body, _ := codec.Marshal(out)
	return okResponse(string(body))
}

// newID returns a random id in UUID format.
func newID() string {
	var b [16]byte
	rand.Read(b[:])
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:])
}

// Bounds of a session's TTL and of its lock delay, and the default lock delay, according to Consul's
// documentation.
const (
	minTTL           = 10 * time.Second
	maxTTL           = 24 * time.Hour
	defaultLockDelay = 15 * time.Second
	maxLockDelay     = 60 * time.Second
)

func (c apiRequest) createSession(raw []byte) (int, http.Header, []byte) {
	var b struct {
		LockDelay, Node, Name, Behavior, TTL string
		Checks, NodeChecks                   []string
		ServiceChecks                        []struct{ ID string }
	}
	if len(raw) > 0 {
		if err := codec.Unmarshal(raw, &b); err != nil {
			return badRequest("Request decode failed: " + err.Error())
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
		return badRequest("Invalid Behavior setting " + strconv.Quote(s.Behavior))
	}
	if b.LockDelay != "" {
		d, err := time.ParseDuration(b.LockDelay)
		if err != nil || d > maxLockDelay {
			return badRequest("Invalid LockDelay")
		}
		s.LockDelay = d
	}
	if b.TTL != "" {
		d, err := time.ParseDuration(b.TTL)
		if err != nil || d != 0 && (d < minTTL || d > maxTTL) {
			return http.StatusInternalServerError, nil, []byte("Invalid Session TTL '" + b.TTL + "', must be between [10s=24h0m0s]")
		}
		s.ttl = d
		s.expires = time.Now().Add(2 * d) // Consul documents that a session may last for up to twice its TTL
	}
	code, text := http.StatusOK, ""
	c.agent.store.update(func(st *state) bool {
		for _, id := range s.Checks {
			if check, exists := st.checks[checkKey{s.Node, id}]; id != "serfHealth" && (!exists || check.Status == "critical") {
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
	return okResponse(fmt.Sprintf(`{"ID":%q}`, s.ID))
}

func (c apiRequest) renewSession(id string) (int, http.Header, []byte) {
	var found []Session
	c.agent.store.update(func(st *state) bool {
		if s, exists := st.sessions[id]; exists {
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
	return okResponse(string(body))
}

// readPair returns one entry, all entries with a prefix (recurse), or only their keys (keys).
func (c apiRequest) readPair(st *state, key string) (any, uint64, bool) {
	params := c.URL.Query()
	_, recurse := params["recurse"]
	_, keys := params["keys"]
	if !recurse && !keys {
		p, exists := st.pairs[key]
		if !exists {
			return nil, max(st.deleteIndexes[key], 1), false
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

func (c apiRequest) writePair(key string, value []byte) (int, http.Header, []byte) {
	params := c.URL.Query()
	flags, _ := strconv.ParseUint(params.Get("flags"), 10, 64)
	done, code := false, http.StatusOK
	c.agent.store.update(func(st *state) bool {
		p, exists := st.pairs[key]
		if text, present := params["cas"]; present {
			wantIndex, _ := strconv.ParseUint(text[0], 10, 64)
			if wantIndex == 0 && exists || wantIndex != 0 && (!exists || p.ModifyIndex != wantIndex) {
				return false
			}
		}
		if id := params.Get("acquire"); id != "" {
			if _, sessionExists := st.sessions[id]; !sessionExists {
				code = http.StatusInternalServerError
				return false
			}
			if p.Session != "" && p.Session != id || time.Now().Before(st.lockDelays[key]) {
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
		if !exists {
			p.Key, p.CreateIndex = key, index
		}
		p.Value, p.Flags, p.ModifyIndex = value, flags, index
		st.pairs[key], st.kvIndex = p, index
		delete(st.deleteIndexes, key)
		done = true
		return true
	})
	if code != http.StatusOK {
		return code, nil, []byte("invalid session " + strconv.Quote(params.Get("acquire")))
	}
	return okResponse(strconv.FormatBool(done))
}

func (c apiRequest) deletePair(key string) (int, http.Header, []byte) {
	params := c.URL.Query()
	_, recurse := params["recurse"]
	done := true
	c.agent.store.update(func(st *state) bool {
		if text, present := params["cas"]; present {
			wantIndex, _ := strconv.ParseUint(text[0], 10, 64)
			if p := st.pairs[key]; p.ModifyIndex != wantIndex {
				done = false
				return false
			}
		}
		index, changed := st.bump(), false
		for name := range st.pairs {
			if name == key || recurse && strings.HasPrefix(name, key) {
				delete(st.pairs, name)
				st.deleteIndexes[name], changed = index, true
			}
		}
		if changed {
			st.kvIndex = index
		}
		return changed
	})
	return okResponse(strconv.FormatBool(done))
}
