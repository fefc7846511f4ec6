// Package simulator translates between the simulator's JSON protocol and routing's
// interface, and hosts one independent Router per instance. It decides nothing.
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

// inLine is any line of a batch; absent fields keep their zero values.
type inLine struct {
	Verb      string             `json:"verb"`
	Who       *int               `json:"who"`
	Time      *int64             `json:"time"`
	Turn      *int64             `json:"turn"`
	Salt      json.Number        `json:"salt"`
	Options   json.RawMessage    `json:"options"`
	List      int                `json:"list"`
	Lines     []entry            `json:"lines"`
	Scope     string             `json:"scope"`
	Xid       uint32             `json:"xid"`
	Resent    bool               `json:"resent"`
	Lane      string             `json:"lane"`
	Team      text               `json:"team"`
	Prefix    text               `json:"prefix"`
	MaxTokens float64            `json:"max_tokens"`
	TTL       int64              `json:"ttl"`
	Talk      text               `json:"talk"`
	PrefixLen float64            `json:"prefix_len"`
	Reconnect bool               `json:"reconnect"`
	Predicted float64            `json:"predicted"`
	Prompt    float64            `json:"prompt_tokens"`
	Copy      int                `json:"copy"`
	Worker    string             `json:"worker"`
	Latency   int64              `json:"latency"`
	Last      bool               `json:"last"`
	Info      float64            `json:"info"`
	Reason    string             `json:"reason"`
	Usage     map[string]float64 `json:"usage"`
	What      int                `json:"what"`
	Mark      string             `json:"mark"`
	From      int                `json:"from"`
	Contents  string             `json:"contents"`
}

// text is a key that the dialect may also write as the number 0, meaning none.
type text string

// UnmarshalJSON accepts a string, a number or null.
func (t *text) UnmarshalJSON(b []byte) error {
	switch {
	case bytes.Equal(b, []byte("null")), bytes.Equal(b, []byte("0")), bytes.Equal(b, []byte(`"0"`)):
		*t = ""
	case len(b) > 0 && b[0] == '"':
		var s string
		if err := json.Unmarshal(b, &s); err != nil {
			return err
		}
		*t = text(s)
	default:
		var n json.Number
		if err := json.Unmarshal(b, &n); err != nil {
			return err
		}
		*t = text(n)
	}
	return nil
}

type entry struct {
	CameUp int64   `json:"came_up"`
	Worker string  `json:"worker"`
	Family string  `json:"family_type"`
	Bay    int     `json:"bay"`
	Scale  float64 `json:"scale"`
	DC     string  `json:"dc"`
	Phase  string  `json:"phase"`
}

type outLine struct {
	Verb    string  `json:"verb"`
	Who     *int    `json:"who,omitempty"`
	Xid     *uint32 `json:"xid,omitempty"`
	Worker  string  `json:"worker,omitempty"`
	Limit   int64   `json:"limit,omitempty"`
	Backoff int64   `json:"backoff,omitempty"`
	Copy    *int    `json:"copy,omitempty"`
	In      *int64  `json:"in,omitempty"`
	Mark    string  `json:"mark,omitempty"`
	Want    *bool   `json:"want,omitempty"`
	Message string  `json:"message,omitempty"`
	Turn    *int64  `json:"turn,omitempty"`
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

// host holds the instances of one process; they share nothing but the lists.
type host struct {
	routers map[int]*routing.Router // nil once stopped
	lists   map[int][]routing.EngineInfo
	now     routing.Time
	out     bytes.Buffer
}

// Serve answers batches from in on out until in ends. An error names the line
// at fault; no part of an unanswerable batch's reply is written.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{routers: map[int]*routing.Router{}, lists: map[int][]routing.EngineInfo{}}
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriter(out)
	var turn *int64
	for n := 1; ; n++ {
		raw, err := r.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", n, err)
		}
		end := err != nil
		if raw = bytes.TrimSpace(raw); len(raw) > 0 {
			if turn, err = h.line(raw, turn); err != nil {
				return fmt.Errorf("line %d: %w", n, err)
			}
			if turn == nil {
				if err := h.flush(w); err != nil {
					return err
				}
			}
		}
		if end {
			if turn != nil {
				return fmt.Errorf("line %d: input ended within batch %d", n, *turn)
			}
			return nil
		}
	}
}

// flush writes the reply to a batch.
func (h *host) flush(w *bufio.Writer) error {
	if _, err := w.Write(h.out.Bytes()); err != nil {
		return err
	}
	h.out.Reset()
	return w.Flush()
}

// Errors of malformed input.
var (
	errIncompleteTurn = errors.New("a Turn without turn or time")
	errNoOptions      = errors.New("a Hello without options")
)

// line takes one line and returns the number of the batch it leaves open.
func (h *host) line(raw []byte, turn *int64) (*int64, error) {
	var l inLine
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil, fmt.Errorf("malformed JSON: %w", err)
	}
	switch {
	case l.Verb == "Turn" && turn != nil:
		return nil, fmt.Errorf("a batch begins inside batch %d", *turn)
	case l.Verb == "Turn" && (l.Turn == nil || l.Time == nil):
		return nil, errIncompleteTurn
	case l.Verb == "Turn":
		h.now = settings.Micros(*l.Time)
		return l.Turn, nil
	case turn == nil:
		return nil, fmt.Errorf("%q outside a batch", l.Verb)
	case l.Verb == "EofBatch":
		h.emit(outLine{Verb: "End", Turn: turn})
		return nil, nil
	}
	return turn, h.event(&l)
}

func (h *host) event(l *inLine) error {
	if l.Verb == "Directory" {
		h.lists[l.List] = servers(l.Lines)
		return nil
	}
	if l.Who == nil {
		return fmt.Errorf("%q names no instance", l.Verb)
	}
	if l.Verb == "Hello" {
		return h.start(l)
	}
	router, known := h.routers[*l.Who]
	if !known {
		return fmt.Errorf("%q for instance %d, which was never started", l.Verb, *l.Who)
	}
	if l.Verb == "Destroy" {
		h.routers[*l.Who] = nil
		return nil
	}
	ev, err := h.decode(l)
	if err != nil || router == nil {
		return err
	}
	h.handle(*l.Who, router, ev)
	return nil
}

func (h *host) start(l *inLine) error {
	var o settings.Options
	if len(l.Options) == 0 {
		return errNoOptions
	}
	if err := json.Unmarshal(l.Options, &o); err != nil {
		return fmt.Errorf("options: %w", err)
	}
	seed, err := salt(l.Salt)
	if err != nil {
		return err
	}
	router, err := routing.New(o.Settings(), seed)
	if err != nil {
		h.emit(outLine{Verb: "Die", Who: l.Who, Message: err.Error()})
	}
	h.routers[*l.Who] = router
	return nil
}

// salt reads an integer of either sign, or an unsigned one past the signed range.
func salt(n json.Number) (uint64, error) {
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

// handle gives one event to a router; a panic becomes the dialect's Die.
func (h *host) handle(who int, router *routing.Router, ev routing.Event) {
	defer func() {
		if p := recover(); p != nil {
			h.emit(outLine{Verb: "Die", Who: &who, Message: fmt.Sprint("panic: ", p)})
		}
	}()
	for _, a := range router.Handle(h.now, ev) {
		h.emit(encode(who, a))
	}
}

func (h *host) emit(l outLine) {
	b, err := json.Marshal(l)
	if err != nil { // outLine holds only plain fields
		panic(err)
	}
	h.out.Write(b)
	h.out.WriteByte('\n')
}

func servers(lines []entry) []routing.EngineInfo {
	list := make([]routing.EngineInfo, 0, len(lines))
	for _, e := range lines {
		phase, known := phases[e.Phase]
		if !known {
			phase = routing.PhaseDraining
		}
		list = append(list, routing.EngineInfo{
			Name: e.Worker, Kind: e.Family, Zone: e.DC, Cell: e.Bay, Weight: e.Scale,
			StartTime: settings.Micros(e.CameUp), Phase: phase,
		})
	}
	return list
}

func (h *host) decode(l *inLine) (routing.Event, error) {
	id := routing.RequestID(l.Xid)
	switch l.Verb {
	case "Fleet":
		return h.engineList(l)
	case "Call":
		return routing.Request{
			ID: id, Class: l.Lane, Tenant: string(l.Team), Session: string(l.Talk), Prefix: string(l.Prefix),
			PrefixLen: int(l.PrefixLen), PromptTokens: int(l.Prompt), MaxTokens: int(l.MaxTokens),
			DurationHint: settings.Micros(int64(l.Predicted)), TTL: settings.Micros(l.TTL), Retry: l.Resent, Reconnect: l.Reconnect,
		}, nil
	case "UnderWay":
		return routing.FirstToken{ID: id, Attempt: l.Copy, Engine: l.Worker, Latency: settings.Micros(l.Latency)}, nil
	case "HeldNote":
		return routing.ReservationResult{ID: id, Granted: l.What == 1}, nil
	case "Verdict":
		status, known := statuses[l.Reason]
		if !known {
			return nil, fmt.Errorf("unknown outcome %q", l.Reason)
		}
		return outcome(l, status), nil
	case "Gone":
		return routing.ClientGone{ID: id}, nil
	case "DeadlineHit":
		return routing.TimerFired{Name: l.Mark}, nil
	case "Health":
		status, known := statuses[l.Reason]
		if !known {
			return nil, fmt.Errorf("unknown outcome %q", l.Reason)
		}
		return routing.ProbeResult{
			Engine: l.Worker, Status: status, Latency: settings.Micros(l.Latency), Report: settings.ParseLoadReport(l.Usage),
		}, nil
	case "FromPeer":
		payload, err := hex.DecodeString(l.Contents)
		if err != nil {
			return nil, fmt.Errorf("contents: %w", err)
		}
		return routing.PeerMessage{From: l.From, Payload: payload}, nil
	}
	return nil, fmt.Errorf("unknown event %q", l.Verb)
}

// engineList decodes a list of engines, or the failure of a call for one.
func (h *host) engineList(l *inLine) (routing.Event, error) {
	scope, known := scopes[l.Scope]
	if !known {
		return nil, fmt.Errorf("unknown scope %q", l.Scope)
	}
	list := routing.EngineList{Scope: scope}
	if scope == routing.EngineListFailed {
		return list, nil
	}
	engines, given := h.lists[l.List]
	if !given {
		return nil, fmt.Errorf("list %d was never given", l.List)
	}
	list.Engines = engines
	return list, nil
}

func outcome(l *inLine, status routing.Status) routing.Outcome {
	o := routing.Outcome{
		ID: routing.RequestID(l.Xid), Attempt: l.Copy, Engine: l.Worker, Status: status,
		Latency: settings.Micros(l.Latency), Final: l.Last, Report: settings.ParseLoadReport(l.Usage),
	}
	if status == routing.StatusRejected {
		o.StateMissing = l.Info == 1
	} else {
		o.CachedTokens = int(l.Info)
	}
	return o
}

func encode(who int, action routing.Action) outLine {
	l := outLine{Who: &who}
	id := func(v routing.RequestID) *uint32 { n := uint32(v); return &n }
	switch a := action.(type) {
	case routing.Send:
		l.Verb, l.Xid, l.Worker, l.Limit = "Issue", id(a.ID), a.Engine, a.Timeout.Microseconds()
	case routing.Reject:
		l.Verb, l.Xid, l.Backoff = "Decline", id(a.ID), a.RetryAfter.Microseconds()
	case routing.Fail:
		l.Verb, l.Xid = "Surrender", id(a.ID)
	case routing.CancelAttempt:
		l.Verb, l.Xid, l.Copy = "DropAttempt", id(a.ID), &a.Attempt
	case routing.Release:
		l.Verb, l.Xid = "FreeState", id(a.ID)
	case routing.SetTimer:
		in := a.After.Microseconds()
		l.Verb, l.In, l.Mark = "Timer", &in, a.Name
	case routing.Probe:
		l.Verb, l.Worker = "AskLoad", a.Engine
	case routing.Subscribe:
		want := true
		l.Verb, l.Want = "Tail", &want
	default:
		panic(fmt.Sprintf("action %T has no line", action))
	}
	return l
}
