package consul

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/roster"
	"wellgw/internal/config"
)

// Reasons for which an entry is malformed.
var (
	errNoServiceID = errors.New("service ID is missing")
	errInvalidPort = errors.New("invalid port") // the number follows
	errNoAddress   = errors.New("address is missing")
)

// serviceEntry is an element of /v1/health/service/NAME, with only the fields in use.
type serviceEntry struct {
	Node    *nodeInfo    `json:"Node"`
	Service *serviceInfo `json:"Service"`
	Checks  []check      `json:"Checks"`
}

type nodeInfo struct {
	Node    string `json:"Node"`
	Address string `json:"Address"`
}

type serviceInfo struct {
	ID          string            `json:"ID"`
	Address     string            `json:"Address"`
	Port        int               `json:"Port"`
	Meta        map[string]string `json:"Meta"`
	CreateIndex uint64            `json:"CreateIndex"`
	ModifyIndex uint64            `json:"ModifyIndex"`
}

type check struct {
	CheckID     string `json:"CheckID"`
	Status      string `json:"Status"`
	ModifyIndex uint64 `json:"ModifyIndex"`
}

// parseHealth parses a body of /v1/health/service/NAME into a view, and returns the nodes of its
// entries. A malformed entry is listed in View.Malformed and does not affect other entries; only a
// body that is not a JSON array is an error.
func parseHealth(body []byte, zone string) (v roster.View, nodes []string, err error) {
	var elements []jsoniter.RawMessage
	if trimmed := strings.TrimSpace(string(body[:min(len(body), 64)])); !strings.HasPrefix(trimmed, "[") {
		return v, nil, errNotList
	}
	if err := jsoniter.Unmarshal(body, &elements); err != nil {
		return v, nil, fmt.Errorf("%w: %w", errNotList, err)
	}
	positions := map[string]int{}
	for _, raw := range elements {
		e, node, err := parseEntry(raw, zone)
		if err != nil {
			// With a readable ID the entry affects only that engine. Without, it may belong to
			// any engine that is missing from the view.
			id, mark := parseMalformed(raw)
			v.Malformed = append(v.Malformed, id)
			if id != "" && mark > roster.Clear {
				if v.MalformedMarks == nil {
					v.MalformedMarks = map[string]roster.Mark{}
				}
				v.MalformedMarks[id] = max(mark, v.MalformedMarks[id])
			}
			continue
		}
		if node != "" {
			nodes = append(nodes, node)
		}
		// The same ID on two nodes: after an agent moves to another node, its old entry remains
		// for a while. The later registration wins, but gets the worse mark of the two.
		if i, duplicate := positions[e.ID]; duplicate {
			mark := max(e.Mark, v.Entries[i].Mark)
			if e.Registered > v.Entries[i].Registered {
				v.Entries[i] = e
			}
			v.Entries[i].Mark = mark
			continue
		}
		positions[e.ID] = len(v.Entries)
		v.Entries = append(v.Entries, e)
	}
	return v, nodes, nil
}

// parseMalformed returns the ID and the mark of a malformed entry, or "" and roster.Clear where they
// are unreadable.
func parseMalformed(raw []byte) (id string, mark roster.Mark) {
	var entry struct{ Service, Checks jsoniter.RawMessage }
	if jsoniter.Unmarshal(raw, &entry) != nil {
		return "", roster.Clear
	}
	var service struct{ ID string }
	if len(entry.Service) == 0 || jsoniter.Unmarshal(entry.Service, &service) != nil {
		return "", roster.Clear
	}
	var checks []check
	if len(entry.Checks) == 0 || jsoniter.Unmarshal(entry.Checks, &checks) != nil {
		checks = nil
	}
	return service.ID, markOf(checks)
}

// parseEntry parses one entry and also returns the name of its node.
func parseEntry(raw []byte, zone string) (roster.Entry, string, error) {
	var s serviceEntry
	if err := jsoniter.Unmarshal(raw, &s); err != nil {
		return roster.Entry{}, "", err
	}
	switch {
	case s.Service == nil || s.Service.ID == "":
		return roster.Entry{}, "", errNoServiceID
	case s.Service.Port < 1 || s.Service.Port > 65535:
		return roster.Entry{}, "", fmt.Errorf("%w %d", errInvalidPort, s.Service.Port)
	}
	host, node := s.Service.Address, ""
	if s.Node != nil {
		node = s.Node.Node
		if host == "" { // per Consul's documentation the node's address then applies
			host = s.Node.Address
		}
	}
	if host == "" {
		return roster.Entry{}, "", errNoAddress
	}
	e := roster.Entry{
		ID: s.Service.ID, Addr: net.JoinHostPort(host, strconv.Itoa(s.Service.Port)),
		Kind: config.RoleOpenAI, Zone: zone, Mark: markOf(s.Checks), Started: startTime(s.Service.Meta),
		Registered: s.Service.CreateIndex, Index: s.Service.ModifyIndex,
	}
	for _, c := range s.Checks {
		e.Index = max(e.Index, c.ModifyIndex)
	}
	if role := s.Service.Meta["role"]; role != "" {
		e.Kind = role // an engine with an unknown role gets no requests
	}
	if z := s.Service.Meta["zone"]; z != "" {
		e.Zone = z
	}
	if cell, err := strconv.Atoi(s.Service.Meta["cell"]); err == nil {
		e.Cell = cell
	}
	return e, node, nil
}

// markOf derives an engine's mark from its checks. A check that fails or has an unknown status
// makes it critical, maintenance mode drains it, and a warning has no effect.
func markOf(checks []check) roster.Mark {
	m := roster.Clear
	for _, c := range checks {
		switch {
		case c.CheckID == "_node_maintenance" || strings.HasPrefix(c.CheckID, "_service_maintenance"):
			m = max(m, roster.Maintenance)
		case c.Status != "passing" && c.Status != "warning":
			m = roster.Critical
		}
	}
	return m
}

// startTime returns the start time that an engine reports in its Meta: started_ms (Unix time in
// milliseconds), or else started (RFC 3339). It is zero if neither is valid.
func startTime(meta map[string]string) time.Time {
	if ms, err := strconv.ParseInt(meta["started_ms"], 10, 64); err == nil && ms > 0 {
		return time.UnixMilli(ms)
	}
	if t, err := time.Parse(time.RFC3339, meta["started"]); err == nil {
		return t
	}
	return time.Time{}
}

// parseServices parses a body of /v1/catalog/services into the services that carry the tag and
// those that don't, each sorted by name.
func parseServices(body []byte, tag string) (tagged, untagged []string, err error) {
	var services map[string][]string
	if err := jsoniter.Unmarshal(body, &services); err != nil || services == nil {
		return nil, nil, fmt.Errorf("response body is not a map of services: %w", err)
	}
	for name, tags := range services {
		if slices.Contains(tags, tag) {
			tagged = append(tagged, name)
		} else {
			untagged = append(untagged, name)
		}
	}
	slices.Sort(tagged)
	slices.Sort(untagged)
	return tagged, untagged, nil
}
