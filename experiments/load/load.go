// Package load generates a load of chat completions on gateways: in a closed loop, in which each client
// waits for its answer before it sends the next request, or in an open loop, in which requests start at a
// given rate independent of the answers. Clients run sessions of several turns, and may retry.
package load

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wellgw/internal/pause"
)

// Plan describes the load.
type Plan struct {
	Name           string   // prefix of the request identifiers
	Targets        []string // addresses of the gateways
	Key            string
	Models         []Model
	Clients        int           // number of clients in a closed loop
	Rate           float64       // requests per second in an open loop, if Clients is 0
	Turns          int           // requests per session; at least 1
	ThinkTime      time.Duration // mean time between the turns of a session
	Retries        int           // maximum retries per request, after 429, 503 and refused connections
	MaxRetryAfter  time.Duration // upper bound of the wait for a Retry-After; 0 = 1 s
	MaxTokens      int
	NonStreaming   bool          // requests an answer without a stream
	Idempotent     bool          // sends idempotency keys; retries unless a failure is final
	RotateGateways bool          // sends each try under a key to another gateway
	Timeout        time.Duration // limit for each try; 0 = 30 s
	DropFraction   float64       // fraction of first tries that the client abandons
	Seed           uint64
}

// Model is one model and its fraction of the load.
type Model struct {
	Name   string
	Weight float64 // relative to the sum of all weights
	Words  int     // in the prompt of each turn
	Tokens int     // maximum tokens of an answer; 0 = the plan's MaxTokens
}

// Outcome is the result of a request, including the client's retries.
type Outcome struct {
	RequestID  string // sent as X-Request-Id; the same in all tries
	Body       string // set for requests under an idempotency key
	Model      string
	Target     string // gateway of the last try
	SentAt     time.Time
	FirstEvent time.Duration // from SentAt to the first event; 0 without events
	Total      time.Duration
	Status     int  // of the last answer; 0 without an answer
	Served     bool // the answer arrived completely
	Tries      int
	Failure    string   // cause of the failure of the last try; "" if served
	Replayed   bool     // the gateway replayed a stored answer
	Code       string   // code of the last error answer
	Ends       []End    // one for each try that got an answer
	Violations []string // tries without a final answer, or with more than one
}

// End is the time at which the client finished reading a try.
type End struct {
	ID string // request identifier that the gateway assigned
	At time.Time
}

// Recorder collects outcomes. It is safe for concurrent use.
type Recorder struct {
	mu   sync.Mutex
	list []Outcome
}

func (r *Recorder) add(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, o)
}

// All returns the outcomes recorded so far, in order of completion.
func (r *Recorder) All() []Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list)
}

// Run generates the load until ctx ends, then waits for the requests in flight.
func Run(ctx context.Context, p Plan, r *Recorder) {
	if p.Turns <= 0 {
		p.Turns = 1
	}
	if p.MaxRetryAfter <= 0 {
		p.MaxRetryAfter = time.Second
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	defer wg.Wait()
	if p.Clients > 0 {
		for n := range p.Clients {
			wg.Go(func() {
				random := rand.New(rand.NewPCG(p.Seed, uint64(n)))
				for s := 0; ctx.Err() == nil; s++ {
					session(ctx, p, client, random, fmt.Sprintf("%sc%d-%d", p.Name, n, s), r)
				}
			})
		}
		return
	}
	random := rand.New(rand.NewPCG(p.Seed, 0))
	for n := 0; ctx.Err() == nil; n++ {
		pause.Sleep(ctx, time.Duration(random.ExpFloat64()/p.Rate*float64(time.Second)))
		clientRandom := rand.New(rand.NewPCG(p.Seed, uint64(n)+1))
		wg.Go(func() { session(ctx, p, client, clientRandom, fmt.Sprintf("%so%d", p.Name, n), r) })
	}
}

func pick(models []Model, random *rand.Rand) Model {
	sum := 0.0
	for _, m := range models {
		sum += m.Weight
	}
	x := random.Float64() * sum
	for _, m := range models {
		if x -= m.Weight; x < 0 {
			return m
		}
	}
	return models[len(models)-1]
}

// session sends the requests of one session, each with the messages of the previous turns.
func session(ctx context.Context, p Plan, client *http.Client, random *rand.Rand, name string, r *Recorder) {
	m := pick(p.Models, random)
	var messages strings.Builder
	for turn := range p.Turns {
		if ctx.Err() != nil {
			return
		}
		requestID := fmt.Sprintf("%s-%d", name, turn)
		fmt.Fprintf(&messages, `,{"role":"user","content":"order-id %s %s"}`, requestID,
			strings.Repeat("fit ", m.Words))
		body := fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":%d,`+
			`"messages":[{"role":"system","content":"parts of hulls"}%s]}`,
			m.Name, !p.NonStreaming, max(cmp.Or(m.Tokens, p.MaxTokens), 1), messages.String())
		// A request in flight is completed even if the load ends.
		o := send(context.WithoutCancel(ctx), p, client, random, requestID, body)
		o.Model = m.Name
		r.add(o)
		if !o.Served {
			return
		}
		fmt.Fprintf(&messages, `,{"role":"assistant","content":"ok"}`)
		pause.Sleep(ctx, time.Duration(random.ExpFloat64()*float64(p.ThinkTime)))
	}
}

// send sends one request and its retries. Tries under a key use the same gateway unless
// Plan.RotateGateways is set.
func send(
	ctx context.Context, p Plan, client *http.Client, random *rand.Rand, requestID, body string,
) Outcome {
	o := Outcome{SentAt: time.Now(), RequestID: requestID}
	if p.Idempotent {
		o.Body = body
	}
	target := random.IntN(len(p.Targets))
	for o.Tries = 1; ; o.Tries++ {
		drop := -1
		if o.Tries == 1 && random.Float64() < p.DropFraction {
			drop = random.IntN(maxDropEvent)
		}
		retry, retryAfter := try(ctx, p, client, p.Targets[target], body, drop, &o)
		if o.Total = time.Since(o.SentAt); !retry || o.Tries > p.Retries {
			return o
		}
		if !p.Idempotent || p.RotateGateways {
			target = (target + 1) % len(p.Targets)
		}
		pause.Sleep(ctx, min(max(retryAfter, 20*time.Millisecond), p.MaxRetryAfter))
	}
}

const (
	defaultTimeout = 30 * time.Second
	maxDropEvent   = 12 // a client abandons a try at an event below this number; 0 = before the answer begins
)

// finalCodes are the error codes after which a retry can't succeed.
var finalCodes = []string{"idempotency_fate_unknown", "idempotency_answer_not_kept", "idempotency_key_reused"}

// try sends a request once. It reports whether the client is to retry, and the Retry-After of the answer.
func try(
	ctx context.Context, p Plan, client *http.Client, target, body string, drop int, o *Outcome,
) (retry bool, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(p.Timeout, defaultTimeout))
	defer cancel()
	o.Target, o.Status, o.Served, o.Code = target, 0, false, ""
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+target+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		o.Failure = err.Error()
		return false, 0
	}
	req.Header.Set("Authorization", "Bearer "+p.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", o.RequestID) // used by engines that receive the request without a gateway
	if p.Idempotent {
		req.Header.Set("Idempotency-Key", o.RequestID)
		req.Header.Set("X-Stainless-Retry-Count", strconv.Itoa(o.Tries-1))
	}
	if drop == 0 { // abandons the try before its answer begins
		time.AfterFunc(dropEarly, cancel)
	}
	resp, err := client.Do(req)
	if err != nil {
		o.Failure = "no answer: " + err.Error()
		if drop < 0 && p.Idempotent {
			o.Violations = append(o.Violations, o.Failure)
		}
		return p.Idempotent || errors.Is(err, syscall.ECONNREFUSED), 0
	}
	defer resp.Body.Close()
	defer func() { o.Ends = append(o.Ends, End{resp.Header.Get("X-Request-Id"), time.Now()}) }()
	o.Status, o.Replayed = resp.StatusCode, resp.Header.Get("Idempotent-Replayed") != ""
	switch {
	case resp.StatusCode != http.StatusOK:
		return o.readRejection(p, resp)
	case p.NonStreaming:
		_, err := io.Copy(io.Discard, resp.Body)
		o.FirstEvent = time.Since(o.SentAt)
		o.Served, o.Failure = err == nil, ""
		return false, 0
	}
	return o.stream(p, resp.Body, drop), 0
}

// readRejection records an answer with a status other than 200. It reports whether the client is to retry,
// and after which time.
func (o *Outcome) readRejection(p Plan, resp *http.Response) (retry bool, retryAfter time.Duration) {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 600))
	o.Failure = fmt.Sprintf("status %d: %.300s", resp.StatusCode, bytes.TrimSpace(text))
	if _, after, found := strings.Cut(string(text), `"code":"`); found {
		o.Code, _, _ = strings.Cut(after, `"`)
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	retry = resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	if p.Idempotent { // retries after any answer, unless its code is final or its status is 400
		retry = !slices.Contains(finalCodes, o.Code) && resp.StatusCode != http.StatusBadRequest
	}
	return retry, time.Duration(seconds * float64(time.Second))
}

// stream reads a stream to its end, or abandons it at the event with number drop. It reports whether the
// client is to retry.
func (o *Outcome) stream(p Plan, body io.Reader, drop int) (retry bool) {
	lines, done, failed, events := bufio.NewReader(body), 0, 0, 0
	for {
		line, err := lines.ReadSlice('\n')
		if bytes.HasPrefix(line, []byte("data:")) {
			if o.FirstEvent == 0 {
				o.FirstEvent = time.Since(o.SentAt)
			}
			if events++; events == drop {
				o.Failure = "dropped by the client"
				return p.Idempotent
			}
			switch {
			case bytes.HasPrefix(line, []byte("data: [DONE]")):
				done++
			case bytes.Contains(line, []byte(`"error":{`)):
				failed++
			}
		}
		if err == nil {
			continue
		}
		if n := done + failed; n != 1 && drop != 0 {
			o.Violations = append(o.Violations, fmt.Sprintf("%d final answers in a stream that ended by %v", n, err))
		}
		if o.Served = err == io.EOF && done == 1; o.Served {
			o.Failure = ""
			return false
		}
		o.Failure = "the stream broke: " + err.Error()
		return p.Idempotent
	}
}

// dropEarly is the time after which a client abandons a try whose answer has not begun.
const dropEarly = 3 * time.Millisecond

// Repeat sends the request of an earlier outcome again, under the same idempotency key.
func Repeat(ctx context.Context, p Plan, target string, earlier Outcome) Outcome {
	o := Outcome{SentAt: time.Now(), RequestID: earlier.RequestID, Model: earlier.Model,
		Tries: earlier.Tries + 1}
	_, _ = try(ctx, p, http.DefaultClient, target, earlier.Body, -1, &o)
	return o
}

// OpenUnread requests a stream and reads none of it. The returned function closes the connection.
func OpenUnread(ctx context.Context, target, key, model string) (func(), error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", target)
	if err != nil {
		return nil, fmt.Errorf("open a stream without reading it: %w", err)
	}
	if t, is := c.(*net.TCPConn); is {
		_ = t.SetReadBuffer(4 << 10)
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"much"}]}`, model)
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", key, len(body), body)
	return func() { c.Close() }, err
}

// Summary is the statistics of a set of outcomes.
type Summary struct {
	Requests, Served   int
	FirstP50, FirstP99 time.Duration
	TotalP50, TotalP99 time.Duration
	MaxGap             time.Duration // maximum time between two consecutive served answers
	Failures           map[string]int
	Tries              int
}

// The range of the histograms, in microseconds, and their significant figures.
const (
	histogramMax     = int64(time.Hour / time.Microsecond)
	histogramFigures = 3
)

// Summarize returns the statistics of the requests sent within [from, to). A zero to is no limit.
func Summarize(list []Outcome, from, to time.Time) Summary {
	s := Summary{Failures: map[string]int{}}
	first, total := hdrhistogram.New(1, histogramMax, histogramFigures),
		hdrhistogram.New(1, histogramMax, histogramFigures)
	var ends []time.Time
	for _, o := range list {
		if o.SentAt.Before(from) || !to.IsZero() && !o.SentAt.Before(to) {
			continue
		}
		s.Requests++
		s.Tries += o.Tries
		if !o.Served {
			s.Failures[o.Failure]++
			continue
		}
		s.Served++
		ends = append(ends, o.SentAt.Add(o.Total))
		_ = first.RecordValue(max(1, o.FirstEvent.Microseconds()))
		_ = total.RecordValue(max(1, o.Total.Microseconds()))
	}
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	s.FirstP50, s.FirstP99, s.TotalP50, s.TotalP99 = at(first, 50), at(first, 99), at(total, 50), at(total, 99)
	slices.SortFunc(ends, time.Time.Compare)
	for i := 1; i < len(ends); i++ {
		s.MaxGap = max(s.MaxGap, ends[i].Sub(ends[i-1]))
	}
	return s
}

// Buckets counts the outcomes, served and failed, by the second in which they were sent, relative to begun.
func Buckets(list []Outcome, begun time.Time) (served, failed [][2]float64) {
	last := 0
	for _, o := range list {
		last = max(last, int(o.SentAt.Sub(begun).Seconds()))
	}
	served, failed = make([][2]float64, last+1), make([][2]float64, last+1)
	for i := range served {
		served[i][0], failed[i][0] = float64(i), float64(i)
	}
	for _, o := range list {
		i := int(o.SentAt.Sub(begun).Seconds())
		if i < 0 {
			continue
		}
		if o.Served {
			served[i][1]++
		} else {
			failed[i][1]++
		}
	}
	return served, failed
}
