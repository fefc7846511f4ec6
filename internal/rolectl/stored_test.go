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

// storedRecords returns the records in testdata, by file name.
func storedRecords() map[string]rolechange.Record {
	announced := rolechange.Record{
		Engine: "w1", Addr: "10.0.0.7:9000", Rack: 3, From: "write", To: "read", Step: rolechange.Step("announced"), FencingToken: 41, Leader: "edge-a",
		StartedAt: storedAt, StepStartedAt: storedAt, Reason: "read work needs 3.2 of 2.0 engines, \"busy\" & more",
	}
	warming := announced
	warming.Engine, warming.Step, warming.StepStartedAt, warming.FlippedAt = "w2", rolechange.Step("warming"), storedAt.Add(9*time.Second), storedAt.Add(9*time.Second)
	return map[string]rolechange.Record{"change-announced.json": announced, "change-warming.json": warming}
}

// storedLock returns the value of the lock in testdata/owner.json.
func storedLock() lockValue {
	return lockValue{Gateway: "edge-a", History: []HistoryEntry{
		{At: storedAt, Engine: "w1", To: "read", Outcome: rolechange.Outcome(""), Reason: "read work needs it"},
		{At: storedAt.Add(time.Minute), Engine: "w1", To: "read", Outcome: rolechange.Outcome("done"), Reason: "the catalogue says the same"},
		{At: storedAt.Add(time.Hour), Engine: "w2", To: "write", Outcome: rolechange.Outcome("undone"), Reason: "its drain hangs"},
	}}
}

// newStoredLeader returns a gateway without a name, which therefore never becomes the leader, and a leader
// whose methods the test calls instead.
func newStoredLeader(t *testing.T) (*cluster, *testGateway, *leader) {
	t.Helper()
	c := newCluster(t)
	g := c.startGateway("", nil)
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
	return c, g, &leader{
		Controller: g.Controller, client: g.client, planner: planner, http: &http.Client{Timeout: time.Second},
		lease:   &lease{session: session, value: value, Lease: rolechange.NewLease(41, time.Hour, time.Now())},
		replies: map[string]rolechange.Reply{}, reports: map[string]*engineReport{}, unresponsiveSince: map[string]time.Time{},
	}
}

func readValue(t *testing.T, client *consul.Client, key string) []byte {
	t.Helper()
	p, found, err := client.Read(t.Context(), key)
	if err != nil || !found {
		t.Fatalf("%s: found %v, error %v", key, found, err)
	}
	return p.Value
}

// Records and the value of the lock are written with the same bytes as in earlier versions.
func TestStoredBytes(t *testing.T) {
	_, g, l := newStoredLeader(t)
	for file, r := range storedRecords() {
		if written, err := l.putRecord(t.Context(), r, 0); err != nil || !written {
			t.Fatalf("%s: written %v, error %v", file, written, err)
		}
		if got := readValue(t, g.client, "p/change/"+r.Engine); !bytes.Equal(got, testdata(t, file)) {
			t.Errorf("%s: %s, want %s", file, got, testdata(t, file))
		}
	}
	if err := l.recordHistory(t.Context(), storedLock().History[2]); err != nil {
		t.Fatal(err)
	}
	if got := readValue(t, g.client, "p/owner"); !bytes.Equal(got, testdata(t, "owner.json")) {
		t.Errorf("lock value: %s, want %s", got, testdata(t, "owner.json"))
	}
}

// Every field of the records and of the lock's value that earlier versions wrote is read, and a gateway
// confirms a change with the same value under the same key as in earlier versions.
func TestStoredValuesAreRead(t *testing.T) {
	c := newCluster(t)
	g := c.startGateway("", nil)
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
			t.Errorf("no stored record equals %+v", got)
		}
	}
	if want := storedLock().History; !reflect.DeepEqual(s.History, want) {
		t.Errorf("history of the lock: %+v, want %+v", s.History, want)
	}
	other := c.startGateway("g2", func(o *Options) { o.Limits.Confirmation = time.Hour; o.GatewayCount = func() int { return 9 } })
	enginetest.Eventually(t, "g2 confirms the change", func() bool {
		p, found, err := other.client.Read(t.Context(), "p/seen/w1/g2")
		return err == nil && found && string(p.Value) == "2026-11-30T08:15:00.123456789Z"
	})
}

// Requests to an engine have the form that docs/engine-roles.md specifies, and every field of its report
// is read.
func TestRoleProtocolFormat(t *testing.T) {
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
				t.Errorf("command %v, want %v", got, want)
			}
		}
		w.Write([]byte(`{"role":"write","draining":true,"running":3,"held":2,"fence":41,"started":"2026-11-30T08:15:00Z","slots":8,"queue":1,"memory":0.5,"tokens":1200.5,"busy_s":9.25}`))
	}))
	t.Cleanup(srv.Close)
	_, _, l := newStoredLeader(t)
	addr := strings.TrimPrefix(srv.URL, "http://")
	got, status, err := l.callEngine(context.Background(), http.MethodGet, addr, nil)
	want := engineReport{
		Report: rolechange.Report{Role: "write", Draining: true, Running: 3, HeldStates: 2, FencingToken: 41, StartedAt: time.Date(2026, 11, 30, 8, 15, 0, 0, time.UTC)},
		Slots:  8, Queue: 1, MemoryUsed: 0.5, Tokens: 1200.5, BusySeconds: 9.25,
	}
	if err != nil || status != http.StatusOK || !reflect.DeepEqual(*got, want) {
		t.Errorf("report %+v, status %d, error %v", got, status, err)
	}
	l.sendCommand(context.Background(), rolechange.Action{Record: rolechange.Record{Engine: "w1", Addr: addr, To: "read"}, Command: rolechange.Command("drain")})
	if got := l.replies["w1"]; got != rolechange.Reply(1) {
		t.Errorf("reply %d, want Accepted", got)
	}
	if want := []string{"GET /role", "PUT /role"}; !reflect.DeepEqual(calls, want) {
		t.Errorf("calls %v, want %v", calls, want)
	}
}

// setNonZero sets every field and element of a value to a non-zero value.
func setNonZero(v reflect.Value, n *int64) {
	*n++
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(storedAt.Add(time.Duration(*n) * time.Second)))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			setNonZero(v.Field(i), n)
		}
	case reflect.Array:
		for i := range v.Len() {
			setNonZero(v.Index(i), n)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setNonZero(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		setNonZero(v.Index(0), n)
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
		panic("setNonZero: unsupported kind " + v.Kind().String())
	}
}

// The JSON of the admin page has the same keys in the same order as in earlier versions.
func TestStatusJSON(t *testing.T) {
	var s Status
	n := int64(0)
	setNonZero(reflect.ValueOf(&s).Elem(), &n)
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
		t.Errorf("decoded %+v, error %v", read, err)
	}
}
