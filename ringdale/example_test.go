package ringdale_test

import (
	"fmt"
	"time"

	"wellgw/ringdale"
)

func Example() {
	router, err := ringdale.New(ringdale.Settings{
		Zone: "a", Zones: []string{"a"}, Routers: 1, MaxAttempts: 4,
		Classes: []ringdale.Class{{Name: "chat", Aim: time.Second, Gain: 1}},
		Kinds: []ringdale.Kind{
			{Name: "prefill", Role: ringdale.RoleReader, Memory: 200_000},
			{Name: "decode", Role: ringdale.RoleWriter, Memory: 150_000},
		},
		Cold: 10 * time.Second, ColdShare: 0.3, Fall: 2 * time.Second, FallMultiple: 3,
		PinLimit: 500 * time.Millisecond,
	}, 42)
	if err != nil {
		panic(err)
	}
	router.Handle(0, ringdale.Roster{Scope: ringdale.RosterFull, Servers: []ringdale.ServerInfo{
		{Name: "p1", Kind: "prefill", Zone: "a", Weight: 1}, {Name: "d1", Kind: "decode", Zone: "a", Weight: 1},
	}})
	actions := router.Handle(time.Millisecond, ringdale.Request{
		ID: 1, Class: "chat", Session: "s", Prompt: 900, MaxTokens: 200, TTL: 5 * time.Second,
	})
	fmt.Println(actions[0].(ringdale.Send).Server)
	// Output: p1
}
