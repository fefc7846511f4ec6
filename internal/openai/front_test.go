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

// start starts a front on a loopback address with one engine per role.
func start(t *testing.T, engines map[string]*enginetest.Engine) (url string, c *core.Core) {
	var members []core.Endpoint
	for role, e := range engines {
		members = append(members, core.Endpoint{EngineInfo: routing.EngineInfo{Name: role, Kind: role, Zone: "a", Weight: 1}, Addr: e.Addr})
	}
	return serve(t, operator, members)
}

// serve starts a front with the given operator's file and engines.
func serve(t *testing.T, file string, members []core.Endpoint) (url string, c *core.Core) {
	url, c, _ = serveFront(t, file, members)
	return url, c
}

// serveFront is like serve and also returns the front.
func serveFront(t *testing.T, file string, members []core.Endpoint) (url string, c *core.Core, f *Front) {
	return serveFrontWithPool(t, file, members, upstream.Options{ConnectTimeout: time.Second, ServerIdleTimeout: time.Minute})
}

// serveFrontWithPool is like serveFront with the given options of the connections to engines.
func serveFrontWithPool(t *testing.T, file string, members []core.Endpoint, options upstream.Options) (url string, c *core.Core, f *Front) {
	o, err := config.ParseOperator([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	router, err := routing.New(o.Settings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	engine := upstream.NewClient(upstream.NewPool(options), func(kind string) upstream.Dialect {
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
	f = NewFront(Options{Core: c, File: o, Bodies: clientconn.NewBudget(1 << 20), Keys: keys, MaxBufferedBytes: 1 << 20, MaxAnswerBytes: 64 << 20})
	server := httptest.NewUnstartedServer(f)
	server.Config.ErrorLog = slog.NewLogLogger(log.Handler(), 0)
	server.Start()
	t.Cleanup(server.Close)
	return server.URL, c, f
}

// A request uses a single operator's file, even if another file is loaded between its headers and its
// body: it must not see the other file's teams or contracts.
func TestRequestUsesOneConfiguration(t *testing.T) {
	e := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.Stream(2, 0) })
	url, _, f := serveFront(t, operator, []core.Endpoint{{EngineInfo: routing.EngineInfo{Name: "e1", Kind: config.RoleOpenAI, Zone: "a", Weight: 1}, Addr: e.Addr}})
	other, err := config.ParseOperator([]byte(strings.NewReplacer(`"k1"`, `"k9"`, `"name": "orders"`, `"name": "works"`, `"parts", "orders", "quick"`, `"parts", "works", "quick"`).Replace(operator)))
	if err != nil {
		t.Fatal(err)
	}
	sendRequest := func(key, model string, between func()) int {
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
		if resp.StatusCode != http.StatusContinue { // the request was rejected by its headers
			return resp.StatusCode
		}
		between()
		io.WriteString(c, body)
		if resp, err = http.ReadResponse(in, nil); err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode
	}
	if code := sendRequest("k1", "orders", func() { f.Reload(other) }); code != http.StatusOK {
		t.Errorf("request that began under the first file: status %d", code)
	}
	if code := sendRequest("k1", "works", func() {}); code != http.StatusUnauthorized {
		t.Errorf("key of the first file after the second was loaded: status %d", code)
	}
	if code := sendRequest("k9", "works", func() {}); code != http.StatusOK {
		t.Errorf("key of the second file: status %d", code)
	}
}

// singleEngine starts one engine of the given role, whose answers come from script.
func singleEngine(role string, script func(enginetest.Call) string, t *testing.T) (map[string]*enginetest.Engine, *enginetest.Engine) {
	e := enginetest.NewEngine(t, script)
	return map[string]*enginetest.Engine{role: e}, e
}

// chat sends a chat request with a system and a user message.
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
		engines, e := singleEngine(config.RoleOpenAI, func(c enginetest.Call) string {
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
				t.Errorf("engine got a request without stream or include_usage: %s", call.Body)
			}
		}
	})
}

// A broken stream of a request that must not be executed twice, here an order, ends in exactly one
// error, or in the complete answer if its choice had finished, and is not sent again: the engine may
// already have reserved stock. Streams are cut at random positions.
func TestBrokenOrderIsNotRetried(t *testing.T) {
	fullStream := enginetest.Stream(6, 0)
	random := rand.New(rand.NewPCG(7, 11))
	for n := range 40 {
		cut, stream := random.IntN(len(fullStream)-1), n%2 == 0
		t.Run(fmt.Sprintf("cut at %d, stream %v", cut, stream), func(t *testing.T) {
			engines, e := singleEngine(config.RoleOpenAI, func(enginetest.Call) string { return fullStream[:cut] + enginetest.Cut }, t)
			url, c := start(t, engines)
			resp, err := chat(t, url, "k1", "orders", stream)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			errors := strings.Count(string(text), `"error":`)
			// After the end of its only choice the answer is complete, even without the end of the stream.
			if strings.Contains(fullStream[:cut], `"finish_reason":"stop"}]}`+"\n") {
				if resp.StatusCode != http.StatusOK || err != nil || errors != 0 || stream && !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
					t.Errorf("status %d, %v: %s", resp.StatusCode, err, text)
				}
			} else if resp.StatusCode == http.StatusOK { // already started: an error event without a final chunk
				if !stream || err == nil || errors != 1 {
					t.Errorf("stream ended with error %v and %d error events", err, errors)
				}
			} else if resp.StatusCode != http.StatusBadGateway || err != nil || errors != 1 {
				t.Errorf("status %d, %v, %d errors", resp.StatusCode, err, errors)
			}
			if err := c.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
			if calls := e.Calls("POST"); len(calls) != 1 {
				t.Errorf("engine got %d requests, want 1", len(calls))
			}
		})
	}
}

// A request under a free contract is retried only if none of its events has been sent to the client.
func TestLookupRetriedOnlyBeforeFirstEvent(t *testing.T) {
	for _, c := range []struct {
		first  string
		sent   int
		broken bool
	}{{enginetest.StreamHead + enginetest.Cut, 2, false}, {enginetest.Stream(2, 0)[:200] + enginetest.Cut, 1, true}} {
		engines, e := singleEngine(config.RoleOpenAI, func(call enginetest.Call) string {
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
			t.Errorf("%v after %d requests to the engine, want %d", err, len(e.Calls("POST")), c.sent)
		}
	}
}

// If a client disconnects in the middle of a stream, the state of its request is released: by a release
// at two-stage engines, by closing the connection at engines that offer only the chat API.
func TestClientDisconnectReleasesState(t *testing.T) {
	fullStream := enginetest.Stream(6, 0)
	random := rand.New(rand.NewPCG(3, 5))
	firstToken := strings.Index(fullStream, "w1")
	for range 8 {
		at := firstToken + random.IntN(len(fullStream)-firstToken-10)
		hangMidStream := func(c enginetest.Call) string {
			if c.Method == http.MethodDelete {
				return "HTTP/1.1 204 No Content\r\n\r\n"
			}
			return fullStream[:at] + enginetest.Hang
		}
		readEngine := enginetest.NewEngine(t, func(c enginetest.Call) string {
			if c.Method == http.MethodDelete {
				return "HTTP/1.1 204 No Content\r\n\r\n"
			}
			return enginetest.Status(202, "", `{"cached_tokens":0}`)
		})
		writeEngine, openAIEngine := enginetest.NewEngine(t, hangMidStream), enginetest.NewEngine(t, hangMidStream)
		for _, engines := range []map[string]*enginetest.Engine{
			{config.RoleRead: readEngine, config.RoleWrite: writeEngine}, {config.RoleOpenAI: openAIEngine},
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
				disconnectedAt := time.Now()
				resp.Body.Close()
				last, states := engines[config.RoleOpenAI], 0
				if last == nil {
					last, states = writeEngine, len(readEngine.Calls("POST"))
				}
				enginetest.Eventually(t, "attempt closed and state released", func() bool {
					return len(last.ConnectionCloseTimes()) >= len(last.Calls("POST")) && len(readEngine.Calls("DELETE")) >= states
				})
				return time.Since(disconnectedAt)
			})
			if err := c.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestErrorMapping(t *testing.T) {
	for _, c := range []struct {
		name, key, model, answer string
		status                   int
		sent                     int
	}{
		{"engine does not respond before the deadline", "k1", "quick", enginetest.Hang, 504, 1},
		{"order fails with 500", "k1", "orders", enginetest.Status(500, "", ""), 502, 1},
		{"order fails with 503", "k1", "orders", enginetest.Status(503, "", ""), 502, 1},
		{"engine reports an error in its stream", "k1", "orders", enginetest.StreamHead +
			enginetest.Chunk(`data: {"error":{"message":"out of memory"}}`+"\n\n") + enginetest.Chunk("data: [DONE]\n\n") + "0\r\n\r\n", 502, 1},
		{"order rejected with 429", "k1", "orders", enginetest.Status(429, "", ""), 503, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			engines, e := singleEngine(config.RoleOpenAI, func(enginetest.Call) string { return c.answer }, t)
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
				t.Errorf("answer after %v with Retry-After %q", time.Since(begin), resp.Header.Get("Retry-After"))
			}
			if n := len(e.Calls("POST")); c.sent > 0 && n != c.sent {
				t.Errorf("engine got %d requests", n)
			}
		})
	}
}

func TestExhaustedQuotaIsRefused(t *testing.T) {
	engines, e := singleEngine(config.RoleOpenAI, func(enginetest.Call) string { return enginetest.Stream(1, 0) }, t)
	url, _ := start(t, engines)
	var got []int
	for range 3 {
		resp, err := chat(t, url, "k2", "parts", false)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if limit, reset := resp.Header.Get("X-RateLimit-Limit-Requests"), resp.Header.Get("X-RateLimit-Reset-Requests"); limit != "1" || resp.Header.Get("X-RateLimit-Remaining-Requests") != "0" || reset == "0s" {
			t.Errorf("rate limit headers: limit %q, reset %q", limit, reset)
		}
		if got = append(got, resp.StatusCode); resp.StatusCode == 429 && resp.Header.Get("Retry-After") == "" {
			t.Error("429 without Retry-After")
		}
	}
	if diff := cmp.Diff([]int{200, 429, 429}, got); diff != "" || len(e.Calls("POST")) != 1 {
		t.Errorf("engine got %d requests, want 1; statuses (-want +got):\n%s", len(e.Calls("POST")), diff)
	}
}

func TestRoutingHints(t *testing.T) {
	hintsOf := func(messages string) routingHints {
		q, err := parse(chatPath, []byte(`{"model":"m","max_tokens":9,"messages":[`+messages+`]}`), "team")
		if err != nil {
			t.Fatal(err)
		}
		return q.hints
	}
	first := hintsOf(`{"role":"system","content":"12345678"},{"role":"user","content":"hi"}`)
	second := hintsOf(`{"role":"system","content":"12345678"},{"role":"user","content":[{"type":"text","text":"hi"}]},{"role":"assistant","content":null},{"role":"user","content":"more"}`)
	other := hintsOf(`{"role":"system","content":"12345678"},{"role":"user","content":"ho"}`)
	if first.session != second.session || first.session == other.session || first.prefix != other.prefix || first.prefix == "" {
		t.Errorf("sessions or prefixes: first turn %+v, second turn %+v, other conversation %+v", first, second, other)
	}
	if q, err := parse(chatPath, []byte(`{"model":"m","max_tokens":1000000000,"messages":[{"role":"user","content":"hi"}]}`), ""); err != nil || q.hints.maxOutputTokens != maxOutputTokens {
		t.Errorf("max_tokens above maxOutputTokens: %v, %+v", err, q)
	}
	first.session, first.prefix = "", ""
	if diff := cmp.Diff(routingHints{promptTokens: 2 + 1 + 2*messageTokens, prefixLen: 2 + messageTokens, maxOutputTokens: 9}, first, cmp.AllowUnexported(routingHints{})); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
