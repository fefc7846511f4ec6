// Package simulator translates between the simulator's JSON protocol and the routing package's
// events and actions. It runs one independent Router per instance and makes no routing decisions.
package simulator

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"wellgw/internal/settings"
	"wellgw/routing"
)

// inputLine is a line of any type within a batch; absent fields have their zero values.
type inputLine struct {
	Verb         string             `json:"verb"`
	Instance     *int               `json:"who"`
	Time         *int64             `json:"time"`
	Batch        *int64             `json:"turn"`
	Seed         json.Number        `json:"salt"`
	Options      json.RawMessage    `json:"options"`
	List         int                `json:"list"`
	Engines      []engineEntry      `json:"lines"`
	Scope        string             `json:"scope"`
	RequestID    uint32             `json:"xid"`
	Retry        bool               `json:"resent"`
	Class        string             `json:"lane"`
	Tenant       optionalKey        `json:"team"`
	Prefix       optionalKey        `json:"prefix"`
	MaxTokens    float64            `json:"max_tokens"`
	TTL          int64              `json:"ttl"`
	Session      optionalKey        `json:"talk"`
	PrefixLen    float64            `json:"prefix_len"`
	Reconnect    bool               `json:"reconnect"`
	DurationHint float64            `json:"predicted"`
	PromptTokens float64            `json:"prompt_tokens"`
	Attempt      int                `json:"copy"`
	Engine       string             `json:"worker"`
	Latency      int64              `json:"latency"`
	Final        bool               `json:"last"`
	OutcomeInfo  float64            `json:"info"`
	Reason       string             `json:"reason"`
	Usage        map[string]float64 `json:"usage"`
	Result       int                `json:"what"`
	Timer        string             `json:"mark"`
	From         int                `json:"from"`
	Payload      string             `json:"contents"`
}

// optionalKey is a key that the protocol may also encode as null, 0 or "0", all meaning no key.
type optionalKey string

// UnmarshalJSON accepts a string, a number or null.
func (k *optionalKey) UnmarshalJSON(b []byte) error {
	switch {
	case bytes.Equal(b, []byte("null")), bytes.Equal(b, []byte("0")), bytes.Equal(b, []byte(`"0"`)):
		*k = ""
	case len(b) > 0 && b[0] == '"':
		var s string
		if err := json.Unmarshal(b, &s); err != nil {
			return err
		}
		*k = optionalKey(s)
	default:
		var n json.Number
		if err := json.Unmarshal(b, &n); err != nil {
			return err
		}
		*k = optionalKey(n)
	}
	return nil
}

type engineEntry struct {
	StartTime int64   `json:"came_up"`
	Engine    string  `json:"worker"`
	Kind      string  `json:"family_type"`
	Cell      int     `json:"bay"`
	Weight    float64 `json:"scale"`
	Zone      string  `json:"dc"`
	Phase     string  `json:"phase"`
}

type outputLine struct {
	Verb       string  `json:"verb"`
	Instance   *int    `json:"who,omitempty"`
	RequestID  *uint32 `json:"xid,omitempty"`
	Engine     string  `json:"worker,omitempty"`
	Timeout    int64   `json:"limit,omitempty"`
	RetryAfter int64   `json:"backoff,omitempty"`
	Attempt    *int    `json:"copy,omitempty"`
	After      *int64  `json:"in,omitempty"`
	Timer      string  `json:"mark,omitempty"`
	Enabled    *bool   `json:"want,omitempty"`
	Message    string  `json:"message,omitempty"`
	Batch      *int64  `json:"turn,omitempty"`
}

var phases = map[string]routing.Phase{
	"on": routing.PhaseActive, "fading": routing.PhaseDraining, "off": routing.PhaseRemoved,
}

var scopes = map[string]routing.EngineListScope{
	"D": routing.EngineListDelta, "F": routing.EngineListSnapshot, "C": routing.EngineListStale, "X": routing.EngineListFailed,
}

var statuses = map[string]routing.Status{
	"S": routing.StatusServed, "E": routing.StatusError, "F": routing.StatusRejected,
	"T": routing.StatusTimeout, "C": routing.StatusConnectFailed, "R": routing.StatusReset,
	"X": routing.StatusCancelled, "N": routing.StatusNotSent, "ready_to_answer": routing.StatusPrefilled,
}

// host runs the instances of one process. Instances share only the engine lists.
type host struct {
	routers map[int]*routing.Router // nil after Destroy
	lists   map[int][]routing.EngineInfo
	now     routing.Time
	out     bytes.Buffer
}

// Serve reads batches from in and writes their replies to out until the end of in. An error names the
// line that caused it. If a batch contains an error, no part of its reply is written.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{routers: map[int]*routing.Router{}, lists: map[int][]routing.EngineInfo{}}
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriter(out)
	var batch *int64
	for lineNumber := 1; ; lineNumber++ {
		raw, err := r.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		atEOF := err != nil
		if raw = bytes.TrimSpace(raw); len(raw) > 0 {
			if batch, err = h.processLine(raw, batch); err != nil {
				return fmt.Errorf("line %d: %w", lineNumber, err)
			}
			if batch == nil {
				if err := h.flush(w); err != nil {
					return err
				}
			}
		}
		if atEOF {
			if batch != nil {
				return fmt.Errorf("line %d: input ended within batch %d", lineNumber, *batch)
			}
			return nil
		}
	}
}

// flush writes the buffered reply of a batch.
func (h *host) flush(w *bufio.Writer) error {
	if _, err := w.Write(h.out.Bytes()); err != nil {
		return err
	}
	h.out.Reset()
	return w.Flush()
}

// Errors in the input.
var (
	errIncompleteTurnLine = errors.New("incomplete Turn line: turn or time is missing")
	errMissingOptions     = errors.New("no options in Hello line")
)

// processLine handles one line and returns the number of the batch that is open after it, or nil.
func (h *host) processLine(raw []byte, batch *int64) (*int64, error) {
	var l inputLine
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil, fmt.Errorf("malformed JSON: %w", err)
	}
	switch {
	case l.Verb == "Turn" && batch != nil:
		return nil, fmt.Errorf("nested batch: Turn line inside batch %d", *batch)
	case l.Verb == "Turn" && (l.Batch == nil || l.Time == nil):
		return nil, errIncompleteTurnLine
	case l.Verb == "Turn":
		h.now = settings.Micros(*l.Time)
		return l.Batch, nil
	case batch == nil:
		return nil, fmt.Errorf("%q outside a batch", l.Verb)
	case l.Verb == "EofBatch":
		h.emit(outputLine{Verb: "End", Batch: batch})
		return nil, nil
	}
	return batch, h.processEvent(&l)
}

func (h *host) processEvent(l *inputLine) error {
	if l.Verb == "Directory" {
		h.lists[l.List] = engineInfos(l.Engines)
		return nil
	}
	if l.Instance == nil {
		return fmt.Errorf("%q event without an instance", l.Verb)
	}
	if l.Verb == "Hello" {
		return h.startInstance(l)
	}
	router, known := h.routers[*l.Instance]
	if !known {
		return fmt.Errorf("%q for instance %d, which was never started", l.Verb, *l.Instance)
	}
	if l.Verb == "Destroy" {
		h.routers[*l.Instance] = nil
		return nil
	}
	ev, err := h.decode(l)
	if err != nil || router == nil {
		return err
	}
	h.handle(*l.Instance, router, ev)
	return nil
}

func (h *host) startInstance(l *inputLine) error {
	var o settings.Options
	if len(l.Options) == 0 {
		return errMissingOptions
	}
	if err := json.Unmarshal(l.Options, &o); err != nil {
		return fmt.Errorf("options: %w", err)
	}
	seed, err := parseSeed(l.Seed)
	if err != nil {
		return err
	}
	router, err := routing.New(o.Settings(), seed)
	if err != nil {
		h.emit(outputLine{Verb: "Die", Instance: l.Instance, Message: err.Error()})
	}
	h.routers[*l.Instance] = router
	return nil
}

// parseSeed parses a signed 64-bit integer, or an unsigned one above the signed range.
func parseSeed(n json.Number) (uint64, error) {
	if n == "" {
		return 0, nil
	}
	if v, err := n.Int64(); err == nil {
		return uint64(v), nil
	}
	var u uint64
	if err := json.Unmarshal([]byte(n), &u); err != nil {
		return 0, fmt.Errorf("salt: %w", err)
	}
	return u, nil
}

// handle passes one event to a router and emits the resulting actions. A panic is reported as a Die
// action.
func (h *host) handle(instance int, router *routing.Router, ev routing.Event) {
	defer func() {
		if p := recover(); p != nil {
			h.emit(outputLine{Verb: "Die", Instance: &instance, Message: fmt.Sprint("panic: ", p)})
		}
	}()
	for _, a := range router.Handle(h.now, ev) {
		h.emit(encode(instance, a))
	}
}

func (h *host) emit(l outputLine) {
	b, err := json.Marshal(l)
	if err != nil { // cannot happen: outputLine has only strings, numbers and booleans
		panic(err)
	}
	h.out.Write(b)
	h.out.WriteByte('\n')
}

func engineInfos(entries []engineEntry) []routing.EngineInfo {
	list := make([]routing.EngineInfo, 0, len(entries))
	for _, e := range entries {
		phase, known := phases[e.Phase]
		if !known {
			phase = routing.PhaseDraining
		}
		list = append(list, routing.EngineInfo{
			Name: e.Engine, Kind: e.Kind, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight,
			StartTime: settings.Micros(e.StartTime), Phase: phase,
		})
	}
	return list
}

func (h *host) decode(l *inputLine) (routing.Event, error) {
	id := routing.RequestID(l.RequestID)
	switch l.Verb {
	case "Fleet":
		return h.engineList(l)
	case "Call":
		return routing.Request{
			ID: id, Class: l.Class, Tenant: string(l.Tenant), Session: string(l.Session), Prefix: string(l.Prefix),
			PrefixLen: int(l.PrefixLen), PromptTokens: int(l.PromptTokens), MaxTokens: int(l.MaxTokens),
			DurationHint: settings.Micros(int64(l.DurationHint)), TTL: settings.Micros(l.TTL), Retry: l.Retry, Reconnect: l.Reconnect,
		}, nil
	case "UnderWay":
		return routing.FirstToken{ID: id, Attempt: l.Attempt, Engine: l.Engine, Latency: settings.Micros(l.Latency)}, nil
	case "HeldNote":
		return routing.ReservationResult{ID: id, Granted: l.Result == 1}, nil
	case "Verdict":
		status, known := statuses[l.Reason]
		if !known {
			return nil, fmt.Errorf("unknown outcome %q", l.Reason)
		}
		return decodeOutcome(l, status), nil
	case "Gone":
		return routing.ClientGone{ID: id}, nil
	case "DeadlineHit":
		return routing.TimerFired{Name: l.Timer}, nil
	case "Health":
		status, known := statuses[l.Reason]
		if !known {
			return nil, fmt.Errorf("unknown outcome %q", l.Reason)
		}
		return routing.ProbeResult{
			Engine: l.Engine, Status: status, Latency: settings.Micros(l.Latency), Report: settings.ParseLoadReport(l.Usage),
		}, nil
	case "FromPeer":
		payload, err := hex.DecodeString(l.Payload)
		if err != nil {
			return nil, fmt.Errorf("contents: %w", err)
		}
		return routing.PeerMessage{From: l.From, Payload: payload}, nil
	}
	return nil, fmt.Errorf("unknown event %q", l.Verb)
}

// engineList decodes an engine list, or the failure of a request for one.
func (h *host) engineList(l *inputLine) (routing.Event, error) {
	scope, known := scopes[l.Scope]
	if !known {
		return nil, fmt.Errorf("unknown scope %q", l.Scope)
	}
	list := routing.EngineList{Scope: scope}
	if scope == routing.EngineListFailed {
		return list, nil
	}
	engines, known := h.lists[l.List]
	if !known {
		return nil, fmt.Errorf("list %d is not defined", l.List)
	}
	list.Engines = engines
	return list, nil
}

func decodeOutcome(l *inputLine, status routing.Status) routing.Outcome {
	o := routing.Outcome{
		ID: routing.RequestID(l.RequestID), Attempt: l.Attempt, Engine: l.Engine, Status: status,
		Latency: settings.Micros(l.Latency), Final: l.Final, Report: settings.ParseLoadReport(l.Usage),
	}
	if status == routing.StatusRejected {
		o.StateMissing = l.OutcomeInfo == 1
	} else {
		o.CachedTokens = int(l.OutcomeInfo)
	}
	return o
}

func encode(instance int, action routing.Action) outputLine {
	l := outputLine{Instance: &instance}
	id := func(v routing.RequestID) *uint32 { n := uint32(v); return &n }
	switch a := action.(type) {
	case routing.Send:
		l.Verb, l.RequestID, l.Engine, l.Timeout = "Issue", id(a.ID), a.Engine, a.Timeout.Microseconds()
	case routing.Reject:
		l.Verb, l.RequestID, l.RetryAfter = "Decline", id(a.ID), a.RetryAfter.Microseconds()
	case routing.Fail:
		l.Verb, l.RequestID = "Surrender", id(a.ID)
	case routing.CancelAttempt:
		l.Verb, l.RequestID, l.Attempt = "DropAttempt", id(a.ID), &a.Attempt
	case routing.Release:
		l.Verb, l.RequestID = "FreeState", id(a.ID)
	case routing.SetTimer:
		in := a.After.Microseconds()
		l.Verb, l.After, l.Timer = "Timer", &in, a.Name
	case routing.Probe:
		l.Verb, l.Engine = "AskLoad", a.Engine
	case routing.Subscribe:
		want := true
		l.Verb, l.Enabled = "Tail", &want
	default:
		panic(fmt.Sprintf("action %T has no encoding", action))
	}
	return l
}
