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

// Three gateways that know nothing of each other, engines from the file, and nothing said of
// how many there are: one is killed and one stopped while clients send orders, and each
// client asks the next gateway again under its key. No order may run twice.
func TestOrderRetriedAtOtherGatewayRunsOnce(t *testing.T) {
	fleet := engine.NewFleet()
	defer fleet.Close()
	var engines []string
	for i := range 2 {
		e, err := fleet.Start(engine.Options{ID: fmt.Sprint("e", i), Role: engine.OpenAI, Slots: 64, Tokens: 8, TokenEvery: 10 * time.Millisecond}, true)
		if err != nil {
			t.Fatal(err)
		}
		engines = append(engines, fmt.Sprintf(`{"id": "e%d", "address": %q, "role": "openai"}`, i, e.Addr()))
	}
	text := strings.Replace(operatorConfig, `"effect": "free"`, `"effect": "single_shot"`, 1)
	text = strings.Replace(text, `[{"id": "e", "address": "127.0.0.1:9", "role": "openai"}]`, "["+strings.Join(engines, ",")+"]", 1)
	p := load.Plan{
		Name: "o", Key: "k", Models: []load.Model{{Name: "m", Weight: 1, Words: 3}}, MaxTokens: 8,
		Clients: 24, Retries: 4, Idempotent: true, RotateGateways: true, Timeout: 700 * time.Millisecond, Seed: 7,
	}
	var signals []func(syscall.Signal)
	for range 3 {
		// With a file of their own they trust their memory from the first moment on.
		own := fmt.Sprintf(`"idempotency": {"file": %q}, "engines":`, filepath.Join(t.TempDir(), "keys.db"))
		cmd, url := startServing(t, nil, "serve", "--operator", writeConfig(t, strings.Replace(text, `"engines":`, own, 1)))
		stop := func(s syscall.Signal) { _ = cmd.Process.Signal(s) }
		t.Cleanup(func() { stop(syscall.SIGCONT); stop(syscall.SIGKILL); _ = cmd.Wait() })
		signals = append(signals, stop)
		p.Targets = append(p.Targets, strings.TrimPrefix(url, "http://"))
		waitHealthy(t, url)
	}
	ctx, done := context.WithCancel(t.Context())
	var rec load.Recorder
	ended := make(chan struct{})
	go func() { defer close(ended); load.Run(ctx, p, &rec) }()
	enginetest.Eventually(t, "orders are under way", func() bool { return len(rec.All()) >= 48 })
	signals[0](syscall.SIGSTOP) // its clients give up, and go elsewhere
	time.Sleep(2 * p.Timeout)
	signals[0](syscall.SIGCONT)
	signals[1](syscall.SIGKILL)
	seen := len(rec.All())
	enginetest.Eventually(t, "orders go on", func() bool { return len(rec.All()) >= seen+48 })
	done()
	<-ended
	unknown := 0
	for _, o := range rec.All() {
		if o.Code == "idempotency_fate_unknown" {
			unknown++
		}
	}
	if twice := engine.RunTwice(fleet.Attempts(), func(string) bool { return true }); len(twice) > 0 {
		t.Errorf("of %d orders %d ran twice, such as %s", len(rec.All()), len(twice), twice[0])
	}
	if unknown == 0 {
		t.Error("no client had to ask elsewhere: nothing was tried")
	}
}
