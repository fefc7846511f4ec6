package main

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wellgw/experiments/load"
	"wellgw/fake/engine"
	"wellgw/internal/enginetest"
)

// Three gateways without peers, with engines from the file and no configured number of gateways. One is
// killed and one paused while clients send orders and retry at the next gateway with the same idempotency
// key. No order may run twice.
func TestOrderRetriedAtOtherGatewayRunsOnce(t *testing.T) {
	fleet := engine.NewFleet()
	defer fleet.Close()
	var engines []string
	for i := range 2 {
		e, err := fleet.Start(engine.Options{ID: fmt.Sprint("e", i), Role: engine.OpenAI, Slots: 64, Tokens: 8, TokenInterval: 10 * time.Millisecond}, true)
		if err != nil {
			t.Fatal(err)
		}
		engines = append(engines, fmt.Sprintf(`{"id": "e%d", "address": %q, "role": "openai"}`, i, e.Addr()))
	}
	config := strings.Replace(operatorConfig, `"effect": "free"`, `"effect": "single_shot"`, 1)
	config = strings.Replace(config, `[{"id": "e", "address": "127.0.0.1:9", "role": "openai"}]`, "["+strings.Join(engines, ",")+"]", 1)
	plan := load.Plan{
		Name: "o", Key: "k", Models: []load.Model{{Name: "m", Weight: 1, Words: 3}}, MaxTokens: 8,
		Clients: 24, Retries: 4, Idempotent: true, RotateGateways: true, Timeout: 700 * time.Millisecond, Seed: 7,
	}
	var signals []func(syscall.Signal)
	for range 3 {
		// With a key file the gateways don't need to wait after the start before they trust their stored
		// keys.
		keyFile := fmt.Sprintf(`"idempotency": {"file": %q}, "engines":`, filepath.Join(t.TempDir(), "keys.db"))
		cmd, url := startServing(t, nil, "serve", "--operator", writeConfig(t, strings.Replace(config, `"engines":`, keyFile, 1)))
		stop := func(s syscall.Signal) { _ = cmd.Process.Signal(s) }
		t.Cleanup(func() { stop(syscall.SIGCONT); stop(syscall.SIGKILL); _ = cmd.Wait() })
		signals = append(signals, stop)
		plan.Targets = append(plan.Targets, strings.TrimPrefix(url, "http://"))
		waitHealthy(t, url)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var recorder load.Recorder
	ended := make(chan struct{})
	go func() { defer close(ended); load.Run(ctx, plan, &recorder) }()
	enginetest.Eventually(t, "orders are in flight", func() bool { return len(recorder.All()) >= 48 })
	signals[0](syscall.SIGSTOP) // its clients time out and retry at another gateway
	time.Sleep(2 * plan.Timeout)
	signals[0](syscall.SIGCONT)
	signals[1](syscall.SIGKILL)
	seen := len(recorder.All())
	enginetest.Eventually(t, "orders continue", func() bool { return len(recorder.All()) >= seen+48 })
	cancel()
	<-ended
	unknown := 0
	for _, o := range recorder.All() {
		if o.Code == "idempotency_fate_unknown" {
			unknown++
		}
	}
	if twice := engine.DuplicateExecutions(fleet.Attempts(), func(string) bool { return true }); len(twice) > 0 {
		t.Errorf("of %d orders %d ran twice, for example %s", len(recorder.All()), len(twice), twice[0])
	}
	if unknown == 0 {
		t.Error("no client retried an order at another gateway: the test is inconclusive")
	}
}
