package routing_test

import (
	"fmt"
	"testing"
	"time"

	"wellgw/routing"
)

// BenchmarkHandle plays whole requests, of four events each, before pools of growing size.
// Requests overlap, share prefixes and repeat sessions, and reports come with each outcome.
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
	roster := routing.EngineList{Scope: routing.EngineListSnapshot}
	for i := range engines {
		roster.Engines = append(roster.Engines, routing.EngineInfo{
			Name: fmt.Sprint("e", i), Kind: []string{"r", "w"}[i%2], Zone: "z", Cell: i / 10, Weight: 1,
		})
	}
	router.Handle(0, roster)
	const overlap = 8 // requests that are in hand at once
	var at [overlap]string
	memory, waiting := 0.3, 200.0
	report := &routing.LoadReport{MemoryUsed: &memory, WaitingTokens: &waiting}
	sent := func(slot int, actions []routing.Action) {
		for _, a := range actions {
			if s, ok := a.(routing.Send); ok {
				at[slot] = s.Engine
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
		if i >= overlap { // the request that came that many steps ago
			id, slot := routing.RequestID(i-overlap), i%overlap
			router.Handle(now, routing.FirstToken{ID: id, Attempt: 1, Engine: at[slot], Latency: 10 * ms})
			router.Handle(now, routing.Outcome{ID: id, Attempt: 1, Engine: at[slot], Status: routing.StatusServed, Final: true, Report: report})
		}
		if half := i - overlap/2; half >= 0 {
			slot := half % overlap
			sent(slot, router.Handle(now, routing.Outcome{
				ID: routing.RequestID(half), Engine: at[slot], Status: routing.StatusPrefilled, Latency: 80 * ms, Report: report,
			}))
		}
		sent(i%overlap, router.Handle(now, routing.Request{
			ID: routing.RequestID(i), Class: "chat", Session: sessions[i*7%len(sessions)], Prefix: prefixes[i%len(prefixes)],
			PrefixLen: 1000, PromptTokens: 3000, MaxTokens: 300, TTL: 5 * time.Second,
		}))
		if i%3 == 0 {
			router.Handle(now, routing.TimerFired{Name: "tick"})
		}
	}
}
