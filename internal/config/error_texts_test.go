package config

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestErrorTexts compares the errors for invalid operator's files, letter for letter, with
// testdata/error_texts.txt.
func TestErrorTexts(t *testing.T) {
	operator, err := os.ReadFile("../../deploy/operator.json")
	if err != nil {
		t.Fatal(err)
	}
	const peers = `"peers": {"listen": "127.0.0.1:1", "name": "a", "tier": "t", "key_file": "k", "incarnation_file": "i"`
	const consul = `"consul": {"address": "127.0.0.1:1", "service": "x"}, `
	got := ""
	for _, c := range []struct{ old, new string }{
		{`127.0.0.1:8080`, `8080`},
		{`"free"`, `"often"`},
		{`"aim_ms": 1000,`, `"aim_ms": 0,`},
		{`"aim_ms": 1000,`, `"aim_ms": 90000000,`},
		{`"contract": "place-order"`, `"contract": "x"`},
		{`change-me-boatyards`, `change-me-counter`},
		{`["parts-assistant"]`, `["x"]`},
		{`"requests_per_s": 2`, `"requests_per_s": -2`},
		{`"role": "openai"`, `"role": "x"`},
		{`127.0.0.1:9001`, `x`},
		{`"listen"`, `"lisen"`},
		{`"engines"`, `"consul": {"service": "x"}, "engines"`},
		{`"engines"`, `"consul": {"address": "127.0.0.1:8500"}, "engines"`},
		{`"engines"`, `"consul": {"addresses": ["x"], "service": "x"}, "engines"`},
		{`"engines"`, `"consul": {"address": "127.0.0.1:1", "service": "x", "hold_ms": -1}, "engines"`},
		{`"engines"`, `"consul": {"address": "127.0.0.1:1", "service": "x", "consistency": "loose"}, "engines"`},
		{`"engines"`, `"consul": {"address": "127.0.0.1:1", "service": "x", "check_path": "healthz"}, "engines"`},
		{`"engines"`, `"consul": {"address": "127.0.0.1:1", "service": "x", "tls": {"cert_file": "x"}}, "engines"`},
		{`"engines"`, `"consul": {"address": "127.0.0.1:1", "service": "x", "register": {"id": "x"}}, "engines"`},
		{`"engines"`, `"consul": {"address": "127.0.0.1:1", "service": "x", "register": {"name": "x", "ttl_ms": 999}}, "engines"`},
		{`"engines"`, `"consul": {"address": "127.0.0.1:1", "service": "x", "register": {"name": "x", "ttl_ms": 1000}}, "engines"`},
		{`"engines"`, `"consul": {"address": "127.0.0.1:1", "service": "x", "register": {"name": "x", "address": "x"}}, "engines"`},
		{`"engines"`, `"state_file": "x", "engines"`},
		{`"engines"`, `"admin": {"listen": "x"}, "engines"`},
		{`"engines"`, `"admin": {"listen": "127.0.0.1:1", "trace_share": 2}, "engines"`},
		{`"engines"`, peers + `}, "engines"`},
		{`"engines"`, peers + `, "dead_after_ms": 999}, "engines"`},
		{`"engines"`, peers + `, "interval_ms": 231}, "engines"`},
		{`"engines"`, peers + `, "timeout_ms": 231}, "engines"`},
		{`"engines"`, peers + `, "join": ["x"]}, "engines"`},
		{`"engines"`, peers + `, "advertise": "x"}, "engines"`},
		{`"engines"`, strings.Replace(peers, `"a"`, `"`+strings.Repeat("a", 25)+`"`, 1) + `}, "engines"`},
		{`"engines"`, `"roles": {}, "engines"`},
		{`"engines"`, consul + `"roles": {"strategy": "x"}, "engines"`},
		{`"engines"`, consul + `"roles": {"rack_part": 2}, "engines"`},
		{`"engines"`, `"idempotency": {"keys": 1, "keys_of_team": 2}, "engines"`},
		{`"engines"`, `"idempotency": {"age_ms": 1, "least_ms": 2}, "engines"`},
		{`"engines"`, `"idempotency": {"answer_bytes": 1, "largest_answer": 2}, "engines"`},
	} {
		if !strings.Contains(string(operator), c.old) {
			t.Fatalf("%q is not in the operator's file", c.old)
		}
		_, err := ParseOperator([]byte(strings.Replace(string(operator), c.old, c.new, 1)))
		got += fmt.Sprintf("%s -> %s: %v\n", c.old, c.new, err)
	}
	wantTexts, err := os.ReadFile("testdata/error_texts.txt")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(wantTexts), "\n"), strings.Split(got, "\n")); diff != "" {
		t.Errorf("error texts (-want +got):\n%s", diff)
	}
}

// TestDefaults checks the values of settings that a file does not set.
func TestDefaults(t *testing.T) {
	c, r, p := &Consul{}, &Roles{}, &Peers{}
	connect, idle, slack := (&Operator{}).FixedTimeouts()
	interval, timeout, deadAfter := p.Timings()
	got := []time.Duration{c.Wait(), c.MaxStale(), c.Hold(), c.Unlisted(), (&Register{}).TTL(), r.LeaseTTL(), (&Roles{LeaseMS: 1}).LeaseTTL(), connect, idle, slack, interval, timeout, deadAfter}
	want := []time.Duration{10 * time.Second, 10 * time.Second, 30 * time.Second, 15 * time.Minute, 10 * time.Second, 10 * time.Second, 10 * time.Second,
		250 * time.Millisecond, 15 * time.Second, 16 * time.Millisecond, 0, 0, 0}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if c.Watches() != 64 || c.MaxBody() != 16<<20 || r.KeyPrefix() != "wellgw/roles" {
		t.Errorf("%d watches, body limit %d bytes, key prefix %q", c.Watches(), c.MaxBody(), r.KeyPrefix())
	}
	// Stored answers may use one twelfth of the memory limit.
	if bytes := (&Operator{Limits: Limits{MemoryMB: 144}}).IdempotencyLimits().MaxTotalAnswerBytes; bytes != 12<<20 {
		t.Errorf("limit for all stored answers: %d bytes, want 12 MiB", bytes)
	}
	l := Limits{}
	l.setDefaults()
	if diff := cmp.Diff(Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}, l); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
