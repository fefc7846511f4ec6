package routing_test

import (
	"fmt"
	"testing"
	"time"

	"wellgw/routing"
)

// BenchmarkHandle measures complete requests, of four events each, with pools of 10 to 1000 engines. Requests
// overlap and share prefixes and sessions, and each outcome carries a load report.
func BenchmarkHandle(b *testing.B) {
	for _, engines := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) { benchmarkHandle(b, engines) })
	}
}

func benchmarkHandle(b *testing.B, engines int) {
	set := goldenSettings()
	set.Gateways = 30
	router, err := routing.New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	list := routing.EngineList{Scope: routing.EngineListSnapshot}
	for i := range engines {
		list.Engines = append(list.Engines, routing.EngineInfo{
			Name: fmt.Sprint("e", i), Kind: []string{"r", "w"}[i%2], Zone: "z", Cell: i / 10, Weight: 1,
		})
	}
	router.Handle(0, list)
	const overlap = 8            // concurrent requests
	var engineOf [overlap]string // the engine of each request's latest attempt
	memory, waiting := 0.3, 200.0
	report := &routing.LoadReport{MemoryUsed: &memory, WaitingTokens: &waiting}
	recordSends := func(slot int, actions []routing.Action) {
		for _, a := range actions {
			if s, ok := a.(routing.Send); ok {
				engineOf[slot] = s.Engine
			}
		}
	}
	sessions, prefixes := make([]string, 300), make([]string, 20)
	for i := range sessions {
		sessions[i] = fmt.Sprint("s", i)
	}
	for i := range prefixes {
		prefixes[i] = fmt.Sprint("p", i)
	}
	const ms = time.Millisecond
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N + overlap {
		now := time.Duration(i) * 20 * ms
		if i >= overlap { // end the request that arrived overlap iterations ago
			id, slot := routing.RequestID(i-overlap), i%overlap
			router.Handle(now, routing.FirstToken{ID: id, Attempt: 1, Engine: engineOf[slot], Latency: 10 * ms})
			router.Handle(now, routing.Outcome{
				ID: id, Attempt: 1, Engine: engineOf[slot], Status: routing.StatusServed, Final: true, Report: report,
			})
		}
		if prefilled := i - overlap/2; prefilled >= 0 {
			slot := prefilled % overlap
			recordSends(slot, router.Handle(now, routing.Outcome{
				ID: routing.RequestID(prefilled), Engine: engineOf[slot], Status: routing.StatusPrefilled,
				Latency: 80 * ms, Report: report,
			}))
		}
		recordSends(i%overlap, router.Handle(now, routing.Request{
			ID: routing.RequestID(i), Class: "chat", Session: sessions[i*7%len(sessions)],
			Prefix: prefixes[i%len(prefixes)], PrefixLen: 1000,
			PromptTokens: 3000, MaxTokens: 300, TTL: 5 * time.Second,
		}))
		if i%3 == 0 {
			router.Handle(now, routing.TimerFired{Name: "tick"})
		}
	}
}
