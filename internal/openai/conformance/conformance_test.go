package conformance_test

import (
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"wellgw/decide/deduplication"
	"wellgw/fake/engine"
	"wellgw/internal/clientconn"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/idempotency"
	"wellgw/internal/invariant"
	"wellgw/internal/openai"
	"wellgw/internal/openai/conformance"
	"wellgw/internal/upstream"
	"wellgw/routing"
)

const operator = `{
	"listen": "127.0.0.1:0", "zone": "a",
	"contracts": [
		{"name": "lookup", "effect": "free", "aim_ms": 1000, "deadline_ms": 60000, "worth": 1},
		{"name": "order", "effect": "single_shot", "aim_ms": 1000, "deadline_ms": 60000, "worth": 1}
	],
	"models": [{"name": "parts", "contract": "lookup"}, {"name": "orders", "contract": "order"}],
	"teams": [{"name": "counter", "keys": ["k1"], "models": ["parts", "orders"]}],
	"engines": [{"id": "e1", "address": "127.0.0.1:1", "role": "openai"}]
}`

// The whole suite passes, before an engine of each kind.
func TestTheFrontConforms(t *testing.T) {
	for _, role := range []string{engine.OpenAI, engine.Both} {
		t.Run(role, func(t *testing.T) {
			fleet := engine.NewFleet()
			t.Cleanup(fleet.Close)
			e, err := fleet.Start(engine.Options{ID: "e1", Role: role, Tokens: 8, Burst: true}, true)
			if err != nil {
				t.Fatal(err)
			}
			o, err := config.ParseOperator([]byte(operator))
			if err != nil {
				t.Fatal(err)
			}
			router, err := routing.New(o.Settings(), 1)
			if err != nil {
				t.Fatal(err)
			}
			log := slog.New(slog.DiscardHandler)
			up := upstream.NewClient(upstream.NewPool(upstream.Options{ConnectTimeout: time.Second, ServerIdleTimeout: time.Minute}), func(kind string) upstream.Dialect {
				if kind == config.RoleOpenAI {
					return openai.Dialect{}
				}
				return openai.TwoStage{}
			})
			c := core.New(router, up, nil, core.Limits{DeadlineSlack: 50 * time.Millisecond, HeldStateLimit: 500 * time.Millisecond, MaxAttempts: 4}, log, invariant.New())
			go c.Run(t.Context())
			c.UpdateEndpoints(routing.EngineListSnapshot, []core.Endpoint{{EngineInfo: routing.EngineInfo{Name: "e1", Kind: role, Zone: "a", Weight: 1}, Addr: e.Addr()}})
			keys, err := idempotency.Open("", deduplication.DefaultLimits(), log)
			if err != nil {
				t.Fatal(err)
			}
			server := httptest.NewServer(openai.NewFront(openai.Options{Core: c, File: o, Bodies: clientconn.NewBudget(1 << 20), Keys: keys, MaxBufferedBytes: 1 << 20}))
			t.Cleanup(server.Close)
			for _, r := range conformance.Run(t.Context(), conformance.Options{
				BaseURL: server.URL, Key: "k1", Model: "parts", OrderModel: "orders", RefusalPrompt: "please-refuse", ReasoningPrompt: "please-think",
			}) {
				if !r.Passed {
					t.Errorf("%s: %s", r.Name, r.Detail)
				}
			}
		})
	}
}
