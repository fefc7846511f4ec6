package telemetry

import (
	"bytes"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/membership"
	"wellgw/decide/rolechange"
	"wellgw/internal/admin"
	"wellgw/internal/core"
	"wellgw/internal/directory"
	"wellgw/internal/peers"
	"wellgw/internal/rolectl"
	"wellgw/routing"
)

// The metrics page has the values of the views, and no metrics of roles and tier without those views.
func TestMetrics(t *testing.T) {
	view := func() admin.View {
		return admin.View{
			Gateways: 3, Counts: map[string]int{"no connect": 2},
			View: directory.View{
				Engines: []directory.Engine{{Role: "read", State: "in", Confidence: "held"}, {Role: "read", State: "in", Confidence: "held"}},
				Sources: []directory.Source{{Source: "service llm", DistrustReason: "no leader", AgeMS: 1500}},
			},
		}
	}
	roles := func() rolectl.Status {
		return rolectl.Status{
			IsLeader: true, Plan: rolectl.Plan{Demand: [2]float64{1.5, 2}}, Changes: []rolechange.Record{{Step: rolechange.Draining}},
			History: []rolectl.HistoryEntry{{Outcome: rolechange.Done}, {}},
		}
	}
	tier := func() peers.Status {
		return peers.Status{
			View: membership.View{
				Epoch: 7, ActiveGateways: 3, Minority: true, Stats: membership.Stats{Deaths: 2, Pauses: 1},
				Peers: []membership.Gateway{{Status: membership.Dead}, {OneWay: true}},
			},
			Counts: peers.Counts{Sent: 5, Replayed: 4},
		}
	}
	w := httptest.NewRecorder()
	Handler(Views{view, roles, tier}).ServeHTTP(w, httptest.NewRequest("GET", Path, nil))
	for _, want := range []string{
		`wellgw_engines{confidence="held",role="read",state="in"} 2`, `wellgw_source_in_doubt{reason="no leader",source="service llm"} 1`,
		`wellgw_source_believed_age_seconds{source="service llm"} 1.5`, `wellgw_gateways 3`, `wellgw_events_total{event="no_connect"} 2`,
		`wellgw_roles_owner 1`, `wellgw_roles_demand_engines{role="read"} 1.5`, `wellgw_roles_changes_under_way{step="draining"} 1`,
		`wellgw_roles_changes_remembered{outcome="begun"} 1`, `wellgw_tier_gateways{reach="direct",standing="dead"} 1`,
		`wellgw_tier_gateways{reach="one_way",standing="alive"} 1`, `wellgw_tier{of="minority"} 1`, `wellgw_tier{of="sharing"} 3`,
		`wellgw_tier_events_total{event="died"} 2`, `wellgw_tier_datagrams_total{way="sent"} 5`, `wellgw_tier_datagrams_dropped_total{reason="replay"} 4`,
	} {
		if !strings.Contains(w.Body.String(), want+"\n") {
			t.Errorf("metrics page lacks %s", want)
		}
	}
	w = httptest.NewRecorder()
	Handler(Views{Engines: view}).ServeHTTP(w, httptest.NewRequest("GET", Path, nil))
	if strings.Contains(w.Body.String(), "roles") || strings.Contains(w.Body.String(), "tier") || w.Code != 200 {
		t.Errorf("without the views of roles and tier: status %d, body %s", w.Code, w.Body)
	}
}

// failingTransport fails each attempt and completes each release.
type failingTransport struct{ core.Transport }

func (failingTransport) Start(_ core.Attempt, _ func(core.Stream), ended func(core.Result)) core.Handle {
	ended(core.Result{Status: routing.StatusReset, Cause: errors.New("connection reset")})
	return nil
}

func (failingTransport) Release(_ core.Release, done func(error)) (stop func()) {
	done(nil)
	return nil
}

// All spans of a request are in one trace, and so are all steps of a role change and all spans about one
// incarnation of a gateway, even if several gateways write them.
func TestTraces(t *testing.T) {
	var out bytes.Buffer
	r := rolechange.Record{Engine: "e1", From: "read", To: "write", Step: rolechange.Announced, StartedAt: time.Now(), StepStartedAt: time.Now()}
	for _, gateway := range []string{"g1", "g2"} { // two leaders, one after the other
		tracer, err := NewTracer(&out, gateway, 1)
		if err != nil {
			t.Fatal(err)
		}
		if gateway == "g1" {
			transport := tracer.WrapTransport(failingTransport{})
			transport.Start(core.Attempt{ClientRequestID: "q1", Endpoint: core.Endpoint{}}, nil, func(core.Result) {})
			transport.Release(core.Release{ClientRequestID: "q1"}, func(error) {})
			tracer.Answered(core.Request{ClientRequestID: "q1", Arrived: time.Now().Add(-time.Second)}, core.Answer{Verdict: core.Failed}, "failed")
		}
		tracer.RoleChangeStep(r, time.Now(), "seen")
		tracer.MemberEvent(peers.Event{Gateway: "g3", From: "suspect", To: "dead", Incarnation: 4, Since: time.Now()})
		r.Step = rolechange.Draining
		if err := tracer.Close(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	traces := map[string][]string{}
	for d := jsoniter.NewDecoder(&out); d.More(); {
		var span struct {
			Name        string
			SpanContext struct{ TraceID string }
		}
		if err := d.Decode(&span); err != nil {
			t.Fatal(err)
		}
		traces[span.SpanContext.TraceID] = append(traces[span.SpanContext.TraceID], span.Name)
	}
	var got []string
	for _, names := range traces {
		got = append(got, strings.Join(names, ", "))
	}
	text := strings.Join(got, "; ")
	if !strings.Contains(text, "member: suspect to dead, member: suspect to dead") {
		t.Errorf("the spans of two gateways about one incarnation are not in one trace: %s", text)
	}
	if len(traces) != 3 || !strings.Contains(text, "attempt, release, request") || !strings.Contains(text, "change of role: announced, change of role: draining") {
		t.Errorf("%d traces, want 3: %s", len(traces), text)
	}
}
