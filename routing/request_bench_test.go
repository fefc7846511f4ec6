package routing

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest plays whole requests over pools of growing size.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{40, 110} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := testSettings()
			set.Gateways = 100
			r, err := New(set, 1)
			if err != nil {
				b.Fatal(err)
			}
			var servers []EngineInfo
			for i := range n {
				servers = append(servers, testEngine(fmt.Sprint("s", i), []string{"r", "w"}[i%2], i/6))
			}
			r.Handle(0, EngineList{Scope: EngineListSnapshot, Engines: servers})
			for i := range b.N {
				id, now, to := RequestID(i), time.Duration(i)*time.Second, ""
				for _, e := range []func() Event{
					func() Event { return testRequest(id, 3000) },
					func() Event { return prefilledAt(id, 0, to, 0) },
					func() Event { return FirstToken{ID: id, Attempt: 1, Engine: to, Latency: ms} },
					func() Event { return Outcome{ID: id, Attempt: 1, Engine: to, Status: StatusServed, Final: true} },
				} {
					for _, a := range r.Handle(now, e()) {
						if s, ok := a.(Send); ok {
							to = s.Engine
						}
					}
				}
			}
		})
	}
}
