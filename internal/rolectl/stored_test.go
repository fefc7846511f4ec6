package rolectl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/rolechange"
	"wellgw/decide/roles"
	"wellgw/internal/consul"
	"wellgw/internal/enginetest"
)

func testdata(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.TrimSuffix(text, []byte("\n"))
}

var storedAt = time.Date(2026, 11, 30, 8, 15, 0, 123456789, time.UTC)

// storedRecords are the records that testdata holds, by file.
func storedRecords() map[string]rolechange.Record {
	begun := rolechange.Record{
		Engine: "w1", Addr: "10.0.0.7:9000", Rack: 3, From: "write", To: "read", Step: rolechange.Step("announced"), FencingToken: 41, Leader: "edge-a",
		StartedAt: storedAt, StepStartedAt: storedAt, Reason: "read work needs 3.2 of 2.0 engines, \"busy\" & more",
	}
	warming := begun
	warming.Engine, warming.Step, warming.StepStartedAt, warming.FlippedAt = "w2", rolechange.Step("warming"), storedAt.Add(9*time.Second), storedAt.Add(9*time.Second)
	return map[string]rolechange.Record{"change-announced.json": begun, "change-warming.json": warming}
}

// storedLock is the value of the lock in testdata/owner.json.
func storedLock() lockValue {
	return lockValue{Gateway: "edge-a", History: []HistoryEntry{
		{At: storedAt, Engine: "w1", To: "read", Outcome: rolechange.Outcome(""), Reason: "read work needs it"},
		{At: storedAt.Add(time.Minute), Engine: "w1", To: "read", Outcome: rolechange.Outcome("done"), Reason: "the catalogue says the same"},
		{At: storedAt.Add(time.Hour), Engine: "w2", To: "write", Outcome: rolechange.Outcome("undone"), Reason: "its drain hangs"},
	}}
}

// storedWorld is a gateway that has no name, so that it follows and never leads, and a leader's
// work that the test does in its place.
func storedWorld(t *testing.T) (*world, *gate, *leader) {
	t.Helper()
	w := newWorld(t)
	g := w.gate("", nil)
	session, err := g.client.NewSession(t.Context(), "test", 10*time.Second, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	planner, err := roles.NewPlanner(g.opt.Settings)
	if err != nil {
		t.Fatal(err)
	}
	value := storedLock()
	value.History = value.History[:2]
	return w, g, &leader{
		Controller: g.Controller, client: g.client, planner: planner, http: &http.Client{Timeout: time.Second},
		lease:   &lease{session: session, value: value, Lease: rolechange.NewLease(41, time.Hour, time.Now())},
		replies: map[string]rolechange.Reply{}, reports: map[string]*engineReport{}, silentSince: map[string]time.Time{},
	}
}

func stored(t *testing.T, client *consul.Client, key string) []byte {
	t.Helper()
	p, there, err := client.Read(t.Context(), key)
	if err != nil || !there {
		t.Fatalf("%s: %v, %v", key, there, err)
	}
	return p.Value
}

// Records and the value of the lock are written in the bytes that earlier versions wrote.
func TestStoredBytes(t *testing.T) {
	_, g, h := storedWorld(t)
	for file, r := range storedRecords() {
		if done, err := h.putRecord(t.Context(), r, 0); err != nil || !done {
			t.Fatalf("%s: %v, %v", file, done, err)
		}
		if got := stored(t, g.client, "p/change/"+r.Engine); !bytes.Equal(got, testdata(t, file)) {
			t.Errorf("%s: %s, want %s", file, got, testdata(t, file))
		}
	}
	if err := h.recordHistory(t.Context(), storedLock().History[2]); err != nil {
		t.Fatal(err)
	}
	if got := stored(t, g.client, "p/owner"); !bytes.Equal(got, testdata(t, "owner.json")) {
		t.Errorf("the lock: %s, want %s", got, testdata(t, "owner.json"))
	}
}

// Records and the value of the lock that earlier versions wrote are read with all they hold,
// and a gateway confirms a change in the same form under the same key.
func TestStoredIsRead(t *testing.T) {
	w := newWorld(t)
	g := w.gate("", nil)
	records := storedRecords()
	for file, r := range records {
		if err := g.client.Write(t.Context(), "p/change/"+r.Engine, testdata(t, file)); err != nil {
			t.Fatal(err)
		}
	}
	if err := g.client.Write(t.Context(), "p/owner", testdata(t, "owner.json")); err != nil {
		t.Fatal(err)
	}
	enginetest.Eventually(t, "the records and the lock are read", func() bool {
		s := g.Status()
		return len(s.Changes) == len(records) && s.Leader == "edge-a"
	})
	s := g.Status()
	for _, got := range s.Changes {
		found := false
		for _, want := range records {
			found = found || reflect.DeepEqual(got, want)
		}
		if !found {
			t.Errorf("read as %+v", got)
		}
	}
	if want := storedLock().History; !reflect.DeepEqual(s.History, want) {
		t.Errorf("the lock is read as %+v, want %+v", s.History, want)
	}
	other := w.gate("g2", func(o *Options) { o.Limits.Confirmation = time.Hour; o.GatewayCount = func() int { return 9 } })
	enginetest.Eventually(t, "a gateway confirms a change", func() bool {
		p, there, err := other.client.Read(t.Context(), "p/seen/w1/g2")
		return err == nil && there && string(p.Value) == "2026-11-30T08:15:00.123456789Z"
	})
}

// An engine is asked and told what docs/engine-roles.md says, and its report is read whole.
func TestRoleProtocolForm(t *testing.T) {
	var calls []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		calls = append(calls, r.Method+" "+r.URL.Path)
		if r.Method == http.MethodPut {
			var got map[string]any
			if err := json.Unmarshal(body, &got); err != nil {
				t.Error(err)
			}
			if want := map[string]any{"command": "drain", "role": "read", "fence": 41.0}; !reflect.DeepEqual(got, want) {
				t.Errorf("told %v, want %v", got, want)
			}
		}
		w.Write([]byte(`{"role":"write","draining":true,"running":3,"held":2,"fence":41,"started":"2026-11-30T08:15:00Z","slots":8,"queue":1,"memory":0.5,"tokens":1200.5,"busy_s":9.25}`))
	}))
	t.Cleanup(srv.Close)
	_, _, h := storedWorld(t)
	addr := strings.TrimPrefix(srv.URL, "http://")
	got, status, err := h.callEngine(context.Background(), http.MethodGet, addr, nil)
	want := engineReport{
		Report: rolechange.Report{Role: "write", Draining: true, Running: 3, HeldStates: 2, FencingToken: 41, StartedAt: time.Date(2026, 11, 30, 8, 15, 0, 0, time.UTC)},
		Slots:  8, Queue: 1, Memory: 0.5, Tokens: 1200.5, Busy: 9.25,
	}
	if err != nil || status != http.StatusOK || !reflect.DeepEqual(*got, want) {
		t.Errorf("%+v, %d, %v", got, status, err)
	}
	h.sendCommand(context.Background(), rolechange.Action{Record: rolechange.Record{Engine: "w1", Addr: addr, To: "read"}, Command: rolechange.Command("drain")})
	if got := h.replies["w1"]; got != rolechange.Reply(1) {
		t.Errorf("the reply was taken for %d", got)
	}
	if want := []string{"GET /role", "PUT /role"}; !reflect.DeepEqual(calls, want) {
		t.Errorf("called %v", calls)
	}
}

// fill sets every part of a value to something else than its zero.
func fill(v reflect.Value, n *int64) {
	*n++
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(storedAt.Add(time.Duration(*n) * time.Second)))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), n)
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.String:
		v.SetString("text " + string(rune('a'+*n%26)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint8:
		v.SetUint(1)
	case reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Int:
		v.SetInt(*n)
	case reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	default:
		panic("no value for a " + v.Kind().String())
	}
}

// The admin page's JSON has the keys, and their order, that earlier versions gave it.
func TestStatusJSON(t *testing.T) {
	var s Status
	n := int64(0)
	fill(reflect.ValueOf(&s).Elem(), &n)
	got, err := jsoniter.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	want := testdata(t, "status.json")
	if !bytes.Equal(got, want) {
		t.Errorf("%s\nwant %s", got, want)
	}
	var read Status
	if err := jsoniter.Unmarshal(want, &read); err != nil || !reflect.DeepEqual(read, s) {
		t.Errorf("read as %+v, %v", read, err)
	}
}
