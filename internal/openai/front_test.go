package openai

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wellgw/decide/deduplication"
	"wellgw/internal/clientconn"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/enginetest"
	"wellgw/internal/idempotency"
	"wellgw/internal/invariant"
	"wellgw/internal/upstream"
	"wellgw/routing"
)

const operator = `{
	"listen": "127.0.0.1:0", "zone": "a",
	"contracts": [
		{"name": "lookup", "effect": "free", "aim_ms": 1000, "deadline_ms": 60000, "worth": 1},
		{"name": "order", "effect": "single_shot", "aim_ms": 1000, "deadline_ms": 60000, "worth": 1},
		{"name": "short", "effect": "single_shot", "aim_ms": 300, "deadline_ms": 300, "worth": 1}
	],
	"models": [{"name": "parts", "contract": "lookup"}, {"name": "orders", "contract": "order"}, {"name": "quick", "contract": "short"}, {"name": "hidden", "contract": "order"}],
	"teams": [
		{"name": "counter", "keys": ["k1"], "models": ["parts", "orders", "quick"]},
		{"name": "poor", "keys": ["k2"], "models": ["parts"], "requests_per_s": 0.01}
	],
	"engines": [{"id": "e1", "address": "127.0.0.1:1", "role": "openai"}]
}`

// start starts a front on loopback before engines of the roles given.
func start(t *testing.T, engines map[string]*enginetest.Engine) (url string, c *core.Core) {
	var members []core.Endpoint
	for role, e := range engines {
		members = append(members, core.Endpoint{EngineInfo: routing.EngineInfo{Name: role, Kind: role, Zone: "a", Weight: 1}, Addr: e.Addr})
	}
	return serve(t, operator, members)
}

// serve starts a front by an operator's file.
func serve(t *testing.T, file string, members []core.Endpoint) (url string, c *core.Core) {
	url, c, _ = serveFront(t, file, members)
	return url, c
}

func serveFront(t *testing.T, file string, members []core.Endpoint) (url string, c *core.Core, f *Front) {
	o, err := config.ParseOperator([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	router, err := routing.New(o.Settings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	pool := upstream.NewPool(upstream.Options{ConnectTimeout: time.Second, ServerIdleTimeout: time.Minute})
	engine := upstream.NewClient(pool, func(kind string) upstream.Dialect {
		if kind == config.RoleOpenAI {
			return Dialect{Key: "secret"}
		}
		return TwoStage{}
	})
	log := slog.New(slog.DiscardHandler)
	c = core.New(router, engine, nil, core.Limits{DeadlineSlack: 50 * time.Millisecond, HeldStateLimit: 500 * time.Millisecond, MaxAttempts: 4}, log, invariant.New())
	go c.Run(t.Context())
	c.UpdateEndpoints(routing.EngineListSnapshot, members)
	keys, err := idempotency.Open("", deduplication.DefaultLimits(), log)
	if err != nil {
		t.Fatal(err)
	}
	f = NewFront(Options{Core: c, File: o, Bodies: clientconn.NewBudget(1 << 20), Keys: keys, MaxBufferedBytes: 1 << 20})
	server := httptest.NewUnstartedServer(f)
	server.Config.ErrorLog = slog.NewLogLogger(log.Handler(), 0)
	server.Start()
	t.Cleanup(server.Close)
	return server.URL, c, f
}

// A request goes by one file from its head to its answer, though another is read while its
// body is on the way: neither the team nor the contract of the other is seen.
func TestRequestUsesOneConfiguration(t *testing.T) {
	e := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.Stream(2, 0) })
	url, _, f := serveFront(t, operator, []core.Endpoint{{EngineInfo: routing.EngineInfo{Name: "e1", Kind: config.RoleOpenAI, Zone: "a", Weight: 1}, Addr: e.Addr}})
	other, err := config.ParseOperator([]byte(strings.NewReplacer(`"k1"`, `"k9"`, `"name": "orders"`, `"name": "works"`, `"parts", "orders", "quick"`, `"parts", "works", "quick"`).Replace(operator)))
	if err != nil {
		t.Fatal(err)
	}
	ask := func(key, model string, between func()) int {
		t.Helper()
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(30 * time.Second))
		body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"x"}]}`, model)
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", chatPath, key, len(body))
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusContinue { // its head was refused
			return resp.StatusCode
		}
		between()
		io.WriteString(c, body)
		if resp, err = http.ReadResponse(in, nil); err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode
	}
	if code := ask("k1", "orders", func() { f.Reload(other) }); code != http.StatusOK {
		t.Errorf("taken under the first file: %d", code)
	}
	if code := ask("k1", "works", func() {}); code != http.StatusUnauthorized {
		t.Errorf("by the first file's key after the second was read: %d", code)
	}
	if code := ask("k9", "works", func() {}); code != http.StatusOK {
		t.Errorf("by the second file: %d", code)
	}
}

func one(role string, script func(enginetest.Call) string, t *testing.T) (map[string]*enginetest.Engine, *enginetest.Engine) {
	e := enginetest.NewEngine(t, script)
	return map[string]*enginetest.Engine{role: e}, e
}

func chat(t *testing.T, url, key, model string, stream bool) (*http.Response, error) {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"system","content":"help"},{"role":"user","content":"a hull fitting"}]}`, model, stream)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+chatPath, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	return http.DefaultClient.Do(req)
}

func TestRecordedExchanges(t *testing.T) {
	enginetest.EachRecording(t, func(t *testing.T, file string) {
		engines, e := one(config.RoleOpenAI, func(c enginetest.Call) string {
			if strings.Contains(c.Body, "reject") {
				return enginetest.Status(400, "", "too long")
			}
			return enginetest.Stream(2, 0)
		}, t)
		url, c := start(t, engines)
		enginetest.Play(t, strings.TrimPrefix(url, "http://"), file, "BIG", strings.Repeat("x", clientconn.MaxBodySize+1))
		if err := c.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		for _, call := range e.Calls("POST") {
			if !strings.Contains(call.Body, `"stream":true`) || !strings.Contains(call.Body, `"include_usage":true`) {
				t.Errorf("the engine was sent %s", call.Body)
			}
		}
	})
}

// A place-order stream that breaks, wherever it does, ends in one final answer
// and is not sent again: its engine may have reserved stock already.
func TestBrokenOrderIsNotRetried(t *testing.T) {
	whole := enginetest.Stream(6, 0)
	random := rand.New(rand.NewPCG(7, 11))
	for n := range 40 {
		cut, stream := random.IntN(len(whole)-1), n%2 == 0
		t.Run(fmt.Sprintf("cut at %d, stream %v", cut, stream), func(t *testing.T) {
			engines, e := one(config.RoleOpenAI, func(enginetest.Call) string { return whole[:cut] + enginetest.Cut }, t)
			url, c := start(t, engines)
			resp, err := chat(t, url, "k1", "orders", stream)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			errors := strings.Count(string(text), `"error":`)
			// Past the end of its one choice the answer is there, though the stream has not ended.
			if strings.Contains(whole[:cut], `"finish_reason":"stop"}]}`+"\n") {
				if resp.StatusCode != http.StatusOK || err != nil || errors != 0 || stream && !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
					t.Errorf("status %d, %v: %s", resp.StatusCode, err, text)
				}
			} else if resp.StatusCode == http.StatusOK { // begun: an error event, then no last chunk
				if !stream || err == nil || errors != 1 {
					t.Errorf("stream ended by %v with %d errors", err, errors)
				}
			} else if resp.StatusCode != http.StatusBadGateway || err != nil || errors != 1 {
				t.Errorf("status %d, %v, %d errors", resp.StatusCode, err, errors)
			}
			if err := c.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
			if calls := e.Calls("POST"); len(calls) != 1 {
				t.Errorf("sent %d times", len(calls))
			}
		})
	}
}

// A lookup may be sent again, but never once its first event has been passed on.
func TestLookupRetriedOnlyBeforeFirstEvent(t *testing.T) {
	for _, c := range []struct {
		first  string
		sent   int
		broken bool
	}{{enginetest.StreamHead + enginetest.Cut, 2, false}, {enginetest.Stream(2, 0)[:200] + enginetest.Cut, 1, true}} {
		engines, e := one(config.RoleOpenAI, func(call enginetest.Call) string {
			if call.Number == 1 {
				return c.first
			}
			return enginetest.Stream(2, 0)
		}, t)
		url, _ := start(t, engines)
		resp, err := chat(t, url, "k1", "parts", true)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if (err != nil) != c.broken || len(e.Calls("POST")) != c.sent {
			t.Errorf("%v after %d sends, want %d", err, len(e.Calls("POST")), c.sent)
		}
	}
}

// A caller that drops mid-stream frees the state its request holds, at two-stage
// engines by a release and at an OpenAI-only one by the closed connection.
func TestClientDisconnectReleasesState(t *testing.T) {
	whole := enginetest.Stream(6, 0)
	random := rand.New(rand.NewPCG(3, 5))
	begun := strings.Index(whole, "w1")
	for range 8 {
		at := begun + random.IntN(len(whole)-begun-10)
		hang := func(c enginetest.Call) string {
			if c.Method == http.MethodDelete {
				return "HTTP/1.1 204 No Content\r\n\r\n"
			}
			return whole[:at] + enginetest.Hang
		}
		reader := enginetest.NewEngine(t, func(c enginetest.Call) string {
			if c.Method == http.MethodDelete {
				return "HTTP/1.1 204 No Content\r\n\r\n"
			}
			return enginetest.Status(202, "", `{"cached_tokens":0}`)
		})
		writer, alone := enginetest.NewEngine(t, hang), enginetest.NewEngine(t, hang)
		for _, engines := range []map[string]*enginetest.Engine{
			{config.RoleRead: reader, config.RoleWrite: writer}, {config.RoleOpenAI: alone},
		} {
			url, c := start(t, engines)
			enginetest.Within(t, 500*time.Millisecond, func() time.Duration {
				resp, err := chat(t, url, "k1", "orders", true)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(resp.Body, make([]byte, 10)); err != nil {
					t.Fatal(err)
				}
				left := time.Now()
				resp.Body.Close()
				last, states := engines[config.RoleOpenAI], 0
				if last == nil {
					last, states = writer, len(reader.Calls("POST"))
				}
				enginetest.Eventually(t, "the attempt is closed and the state let go", func() bool {
					return len(last.Dropped()) >= len(last.Calls("POST")) && len(reader.Calls("DELETE")) >= states
				})
				return time.Since(left)
			})
			if err := c.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestErrorsAreMapped(t *testing.T) {
	for _, c := range []struct {
		name, key, model, answer string
		status                   int
		sent                     int
	}{
		{"silence to the deadline", "k1", "quick", enginetest.Hang, 504, 1},
		{"an order that failed", "k1", "orders", enginetest.Status(500, "", ""), 502, 1},
		{"an order at an engine that says it is busy", "k1", "orders", enginetest.Status(503, "", ""), 502, 1},
		{"an engine that reports an error in its stream", "k1", "orders", enginetest.StreamHead +
			enginetest.Chunk(`data: {"error":{"message":"out of memory"}}`+"\n\n") + enginetest.Chunk("data: [DONE]\n\n") + "0\r\n\r\n", 502, 1},
		{"an order that was turned away", "k1", "orders", enginetest.Status(429, "", ""), 503, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			engines, e := one(config.RoleOpenAI, func(enginetest.Call) string { return c.answer }, t)
			url, _ := start(t, engines)
			begin := time.Now()
			resp, err := chat(t, url, c.key, c.model, false)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != c.status || resp.Header.Get("Content-Type") != "application/json" {
				t.Errorf("status %d, want %d", resp.StatusCode, c.status)
			}
			if took := time.Since(begin); c.status == 504 && (took < 250*time.Millisecond || took > 5*time.Second) || c.status == 503 && resp.Header.Get("Retry-After") == "" {
				t.Errorf("after %v, Retry-After %q", time.Since(begin), resp.Header.Get("Retry-After"))
			}
			if n := len(e.Calls("POST")); c.sent > 0 && n != c.sent {
				t.Errorf("sent %d times", n)
			}
		})
	}
}

func TestExhaustedQuotaIsRefused(t *testing.T) {
	engines, e := one(config.RoleOpenAI, func(enginetest.Call) string { return enginetest.Stream(1, 0) }, t)
	url, _ := start(t, engines)
	var got []int
	for range 3 {
		resp, err := chat(t, url, "k2", "parts", false)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if limit, reset := resp.Header.Get("X-RateLimit-Limit-Requests"), resp.Header.Get("X-RateLimit-Reset-Requests"); limit != "1" || resp.Header.Get("X-RateLimit-Remaining-Requests") != "0" || reset == "0s" {
			t.Errorf("limit %q, reset %q", limit, reset)
		}
		if got = append(got, resp.StatusCode); resp.StatusCode == 429 && resp.Header.Get("Retry-After") == "" {
			t.Error("no Retry-After")
		}
	}
	if diff := cmp.Diff([]int{200, 429, 429}, got); diff != "" || len(e.Calls("POST")) != 1 {
		t.Errorf("sent %d times; (-want +got):\n%s", len(e.Calls("POST")), diff)
	}
}

func TestDerive(t *testing.T) {
	turn := func(messages string) shape {
		q, err := parse(chatPath, []byte(`{"model":"m","max_tokens":9,"messages":[`+messages+`]}`), "team")
		if err != nil {
			t.Fatal(err)
		}
		return q.shape
	}
	first := turn(`{"role":"system","content":"12345678"},{"role":"user","content":"hi"}`)
	second := turn(`{"role":"system","content":"12345678"},{"role":"user","content":[{"type":"text","text":"hi"}]},{"role":"assistant","content":null},{"role":"user","content":"more"}`)
	other := turn(`{"role":"system","content":"12345678"},{"role":"user","content":"ho"}`)
	if first.session != second.session || first.session == other.session || first.prefix != other.prefix || first.prefix == "" {
		t.Errorf("sessions and openings: %+v %+v %+v", first, second, other)
	}
	if q, err := parse(chatPath, []byte(`{"model":"m","max_tokens":1000000000,"messages":[{"role":"user","content":"hi"}]}`), ""); err != nil || q.shape.maxOutputTokens != maxOutputTokens {
		t.Errorf("a limit past all sense: %v, %+v", err, q)
	}
	first.session, first.prefix = "", ""
	if diff := cmp.Diff(shape{promptTokens: 2 + 1 + 2*messageTokens, prefixLen: 2 + messageTokens, maxOutputTokens: 9}, first, cmp.AllowUnexported(shape{})); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
