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

// What can be wrong with an entry.
var (
	errNoServiceID = errors.New("no service id")
	errInvalidPort = errors.New("port") // followed by the number
	errNoAddress   = errors.New("no address")
)

// serviceEntry is an element of /v1/health/service/NAME, as far as it is read.
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

// parseHealth parses a body of /v1/health/service/NAME, and returns the nodes of its entries
// too. A malformed entry is listed in Malformed and does not affect the others; only a body
// that is not a list is an error.
func parseHealth(body []byte, zone string) (v roster.View, nodes []string, err error) {
	var raw []jsoniter.RawMessage
	if trimmed := strings.TrimSpace(string(body[:min(len(body), 64)])); !strings.HasPrefix(trimmed, "[") {
		return v, nil, errNotAList
	}
	if err := jsoniter.Unmarshal(body, &raw); err != nil {
		return v, nil, fmt.Errorf("%w: %w", errNotAList, err)
	}
	listed := map[string]int{}
	for _, line := range raw {
		e, node, err := parseEntry(line, zone)
		if err != nil {
			// With a readable id only that engine is in doubt; else any missing engine may be
			// the one.
			id, mark := parseMarks(line)
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
		// The same id on two nodes: an agent that has moved leaves its old entry behind for a
		// while. The later registration takes precedence, with the worse mark of the two.
		if at, twice := listed[e.ID]; twice {
			mark := max(e.Mark, v.Entries[at].Mark)
			if e.Registered > v.Entries[at].Registered {
				v.Entries[at] = e
			}
			v.Entries[at].Mark = mark
			continue
		}
		listed[e.ID] = len(v.Entries)
		v.Entries = append(v.Entries, e)
	}
	return v, nodes, nil
}

// parseMarks returns the id and the mark of a malformed entry, as far as they can be read.
func parseMarks(line []byte) (id string, mark roster.Mark) {
	var parts struct{ Service, Checks jsoniter.RawMessage }
	if jsoniter.Unmarshal(line, &parts) != nil {
		return "", roster.Clear
	}
	var named struct{ ID string }
	if len(parts.Service) == 0 || jsoniter.Unmarshal(parts.Service, &named) != nil {
		return "", roster.Clear
	}
	var checks []check
	if len(parts.Checks) == 0 || jsoniter.Unmarshal(parts.Checks, &checks) != nil {
		checks = nil
	}
	return named.ID, markOf(checks)
}

// parseEntry parses one entry and returns its node's name too.
func parseEntry(line []byte, zone string) (roster.Entry, string, error) {
	var s serviceEntry
	if err := jsoniter.Unmarshal(line, &s); err != nil {
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
		if host == "" { // Consul's documentation then has clients use the node's
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
		e.Kind = role // an unknown role gets no requests
	}
	if z := s.Service.Meta["zone"]; z != "" {
		e.Zone = z
	}
	if cell, err := strconv.Atoi(s.Service.Meta["cell"]); err == nil {
		e.Cell = cell
	}
	return e, node, nil
}

// markOf derives an engine's mark from its checks: a check that fails, or has an unknown
// status, is critical; maintenance drains it; a warning does not keep it from serving.
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

// startTime returns the start that an engine reports: Meta's started_ms, Unix time in
// milliseconds, or started, by RFC 3339. It is zero without a valid one.
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
// the others, each in order of name.
func parseServices(body []byte, tag string) (tagged, others []string, err error) {
	var services map[string][]string
	if err := jsoniter.Unmarshal(body, &services); err != nil || services == nil {
		return nil, nil, fmt.Errorf("the body is no map of services: %w", err)
	}
	for name, tags := range services {
		if slices.Contains(tags, tag) {
			tagged = append(tagged, name)
		} else {
			others = append(others, name)
		}
	}
	slices.Sort(tagged)
	slices.Sort(others)
	return tagged, others, nil
}
