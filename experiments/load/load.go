// Package load asks gateways for chat completions: in a closed loop, in which each
// client waits for its answer, or in an open one, in which requests come at a rate
// whatever becomes of them. Clients hold sessions, and may retry by themselves.
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

// Plan is what is asked.
type Plan struct {
	Name           string   // of the load: requests are named after it
	Targets        []string // gateways' addresses
	Key            string
	Models         []Model
	Clients        int     // in a closed loop
	Rate           float64 // requests a second in an open loop, if Clients is 0
	Turns          int     // of a session
	ThinkTime      time.Duration
	Retries        int           // by the client itself, on 429, 503 and no connection
	MaxRetryAfter  time.Duration // longest Retry-After that is waited for; 0 = a second
	MaxTokens      int
	NonStreaming   bool          // not streamed
	Idempotent     bool          // each request has an idempotency key, and is sent again under it whatever became of it
	RotateGateways bool          // a client under a key asks another gateway each time
	Timeout        time.Duration // for an answer, of each try; 0 = 30 s
	DropFraction   float64       // share of first tries whose client goes in the middle
	Seed           uint64
}

// Model is one model and how much of the load asks for it.
type Model struct {
	Name   string
	Weight float64
	Words  int // of each turn
	Tokens int // most that an answer may hold; 0 = the plan's
}

// Outcome is how a request ended, its client's retries included.
type Outcome struct {
	RequestID  string // the request's own name, the same in all its tries
	Body       string // of a request under a key
	Model      string
	Target     string // that answered last
	SentAt     time.Time
	FirstEvent time.Duration // to the first event; 0 if none came
	Total      time.Duration
	Status     int  // of the last answer; 0 = none came
	Served     bool // the whole answer came
	Tries      int
	Failure    string   // "" if served
	Replayed   bool     // the answer was one that had been kept
	Code       string   // of the last error
	Ends       []End    // of all tries
	Violations []string // tries that had no final answer, or more than one
}

// End is when a try was over for its client.
type End struct {
	ID string // by which the gateway knows it
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

// All returns the outcomes so far, in order of their ends.
func (r *Recorder) All() []Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list)
}

// Run asks until ctx ends and the last requests have their answers.
func Run(ctx context.Context, p Plan, r *Recorder) {
	if p.Turns <= 0 {
		p.Turns = 1
	}
	if p.MaxRetryAfter <= 0 {
		p.MaxRetryAfter = time.Second
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute}}
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	defer group.Wait()
	if p.Clients > 0 {
		for n := range p.Clients {
			group.Go(func() {
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
		own := rand.New(rand.NewPCG(p.Seed, uint64(n)+1))
		group.Go(func() { session(ctx, p, client, own, fmt.Sprintf("%so%d", p.Name, n), r) })
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

// session asks some turns, each with the text of those before.
func session(ctx context.Context, p Plan, client *http.Client, random *rand.Rand, name string, r *Recorder) {
	m := pick(p.Models, random)
	var said strings.Builder
	for turn := range p.Turns {
		if ctx.Err() != nil {
			return
		}
		order := fmt.Sprintf("%s-%d", name, turn)
		fmt.Fprintf(&said, `,{"role":"user","content":"order-id %s %s"}`, order, strings.Repeat("fit ", m.Words))
		body := fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"system","content":"parts of hulls"}%s]}`,
			m.Name, !p.NonStreaming, max(cmp.Or(m.Tokens, p.MaxTokens), 1), said.String())
		// The request is finished even if the load ends meanwhile.
		o := ask(context.WithoutCancel(ctx), p, client, random, order, body)
		o.Model = m.Name
		r.add(o)
		if !o.Served {
			return
		}
		fmt.Fprintf(&said, `,{"role":"assistant","content":"ok"}`)
		pause.Sleep(ctx, time.Duration(random.ExpFloat64()*float64(p.ThinkTime)))
	}
}

// ask makes one request with its client's retries. Tries under a key stay with one gateway
// unless clients roam.
func ask(ctx context.Context, p Plan, client *http.Client, random *rand.Rand, order, body string) Outcome {
	o := Outcome{SentAt: time.Now(), RequestID: order}
	if p.Idempotent {
		o.Body = body
	}
	target := random.IntN(len(p.Targets))
	for o.Tries = 1; ; o.Tries++ {
		drop := -1
		if o.Tries == 1 && random.Float64() < p.DropFraction {
			drop = random.IntN(dropWithin)
		}
		again, hint := try(ctx, p, client, p.Targets[target], body, drop, &o)
		if o.Total = time.Since(o.SentAt); !again || o.Tries > p.Retries {
			return o
		}
		if !p.Idempotent || p.RotateGateways {
			target = (target + 1) % len(p.Targets)
		}
		pause.Sleep(ctx, min(max(hint, 20*time.Millisecond), p.MaxRetryAfter))
	}
}

const (
	answerWait = 30 * time.Second
	dropWithin = 12 // events, after the first of which a client that drops goes
)

// finalCodes are the codes that say that trying again is of no use.
var finalCodes = []string{"idempotency_fate_unknown", "idempotency_answer_not_kept", "idempotency_key_reused"}

// try makes one try; again says that another is to be made.
func try(ctx context.Context, p Plan, client *http.Client, target, body string, drop int, o *Outcome) (again bool, hint time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(p.Timeout, answerWait))
	defer cancel()
	o.Target, o.Status, o.Served, o.Code = target, 0, false, ""
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		o.Failure = err.Error()
		return false, 0
	}
	req.Header.Set("Authorization", "Bearer "+p.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", o.RequestID) // for engines that are asked directly
	if p.Idempotent {
		req.Header.Set("Idempotency-Key", o.RequestID)
		req.Header.Set("X-Stainless-Retry-Count", strconv.Itoa(o.Tries-1))
	}
	if drop == 0 { // before an answer has begun
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

// readRejection notes an answer other than 200, and tells whether and when to ask again.
func (o *Outcome) readRejection(p Plan, resp *http.Response) (again bool, hint time.Duration) {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 600))
	o.Failure = fmt.Sprintf("status %d: %.300s", resp.StatusCode, bytes.TrimSpace(text))
	if _, after, found := strings.Cut(string(text), `"code":"`); found {
		o.Code, _, _ = strings.Cut(after, `"`)
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	again = resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	if p.Idempotent { // it asks again whatever it is told, as long as that is not final
		again = !slices.Contains(finalCodes, o.Code) && resp.StatusCode != http.StatusBadRequest
	}
	return again, time.Duration(seconds * float64(time.Second))
}

// stream reads a stream to its end, or drops it at an event, and tells whether to ask again.
func (o *Outcome) stream(p Plan, body io.Reader, drop int) (again bool) {
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

const dropEarly = 3 * time.Millisecond

// Repeat asks for what an outcome was of once more, under its key.
func Repeat(ctx context.Context, p Plan, target string, was Outcome) Outcome {
	o := Outcome{SentAt: time.Now(), RequestID: was.RequestID, Model: was.Model, Tries: was.Tries + 1}
	_, _ = try(ctx, p, http.DefaultClient, target, was.Body, -1, &o)
	return o
}

// OpenUnread asks for an answer and reads none of it. The function returned ends that.
func OpenUnread(ctx context.Context, target, key, model string) (func(), error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", target)
	if err != nil {
		return nil, fmt.Errorf("stall: %w", err)
	}
	if t, is := c.(*net.TCPConn); is {
		_ = t.SetReadBuffer(4 << 10)
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"much"}]}`, model)
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
	return func() { c.Close() }, err
}

// Summary is what is said of many outcomes.
type Summary struct {
	Requests, Served   int
	FirstP50, FirstP99 time.Duration
	TotalP50, TotalP99 time.Duration
	MaxGap             time.Duration // longest time between two served answers
	Problems           map[string]int
	Tries              int
}

// The bounds of what a histogram keeps, in microseconds, and its figures.
const (
	histogramMost    = int64(time.Hour / time.Microsecond)
	histogramFigures = 3
)

// Summarize sums up the outcomes of requests asked within [from, to).
func Summarize(list []Outcome, from, to time.Time) Summary {
	s := Summary{Problems: map[string]int{}}
	first, total := hdrhistogram.New(1, histogramMost, histogramFigures), hdrhistogram.New(1, histogramMost, histogramFigures)
	var ends []time.Time
	for _, o := range list {
		if o.SentAt.Before(from) || !to.IsZero() && !o.SentAt.Before(to) {
			continue
		}
		s.Requests++
		s.Tries += o.Tries
		if !o.Served {
			s.Problems[o.Failure]++
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

// Buckets counts outcomes by the second in which they were asked, from begun on:
// served and not served.
func Buckets(list []Outcome, begun time.Time) (served, not [][2]float64) {
	most := 0
	for _, o := range list {
		most = max(most, int(o.SentAt.Sub(begun).Seconds()))
	}
	served, not = make([][2]float64, most+1), make([][2]float64, most+1)
	for i := range served {
		served[i][0], not[i][0] = float64(i), float64(i)
	}
	for _, o := range list {
		i := int(o.SentAt.Sub(begun).Seconds())
		if i < 0 {
			continue
		}
		if o.Served {
			served[i][1]++
		} else {
			not[i][1]++
		}
	}
	return served, not
}
