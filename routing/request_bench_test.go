package routing

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures complete requests, of four events each, with pools of 40 and 110 engines.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{40, 110} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := testSettings()
			set.Gateways = 100
			r, err := New(set, 1)
			if err != nil {
				b.Fatal(err)
			}
			var engines []EngineInfo
			for i := range n {
				engines = append(engines, testEngine(fmt.Sprint("s", i), []string{"r", "w"}[i%2], i/6))
			}
			r.Handle(0, EngineList{Scope: EngineListSnapshot, Engines: engines})
			for i := range b.N {
				id, now, engine := RequestID(i), time.Duration(i)*time.Second, ""
				for _, event := range []func() Event{
					func() Event { return testRequest(id, 3000) },
					func() Event { return prefilledAt(id, 0, engine, 0) },
					func() Event { return FirstToken{ID: id, Attempt: 1, Engine: engine, Latency: ms} },
					func() Event { return Outcome{ID: id, Attempt: 1, Engine: engine, Status: StatusServed, Final: true} },
				} {
					for _, a := range r.Handle(now, event()) {
						if s, ok := a.(Send); ok {
							engine = s.Engine
						}
					}
				}
			}
		})
	}
}
