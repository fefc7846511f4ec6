package routing_test

import (
	"fmt"
	"time"

	"wellgw/routing"
)

func Example() {
	router, err := routing.New(routing.Settings{
		Zone: "a", Zones: []string{"a"}, Gateways: 1, MaxAttempts: 4,
		Classes: []routing.Class{{Name: "chat", FirstTokenObjective: time.Second, PriorityWeight: 1}},
		Kinds: []routing.EngineKind{
			{Name: "prefill", Role: routing.RolePrefill, Memory: 200_000},
			{Name: "decode", Role: routing.RoleDecode, Memory: 150_000},
		},
		SlowStartPeriod: 10 * time.Second, SlowStartCapacity: 0.3,
		OverloadWindow: 2 * time.Second, OverloadMultiple: 3,
		HeldStateLimit: 500 * time.Millisecond,
	}, 42)
	if err != nil {
		panic(err)
	}
	router.Handle(0, routing.EngineList{Scope: routing.EngineListSnapshot, Engines: []routing.EngineInfo{
		{Name: "p1", Kind: "prefill", Zone: "a", Weight: 1}, {Name: "d1", Kind: "decode", Zone: "a", Weight: 1},
	}})
	actions := router.Handle(time.Millisecond, routing.Request{
		ID: 1, Class: "chat", Session: "s", PromptTokens: 900, MaxTokens: 200, TTL: 5 * time.Second,
	})
	fmt.Println(actions[0].(routing.Send).Engine)
	// Output: p1
}
