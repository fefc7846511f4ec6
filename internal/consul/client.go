// Package consul follows engines in Consul by its HTTP API: the health of services
// by blocking queries, and from the catalogue which services carry a tag. It also
// lists the gateway itself. What is made of the answers is decided in decide/roster.
//
// Source: Consul's HTTP API documentation, "Blocking Queries", "Consistency Modes",
// "Health", "Catalog", "Agent / Service", "Agent / Check", "Status".
package consul

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"wellgw/decide/watch"
	"wellgw/internal/config"
)

// The client's margins.
const (
	heartbeatInterval = 800 * time.Millisecond  // between calls that tell whether an agent lives
	heartbeatTimeout  = 1200 * time.Millisecond // an agent that takes longer hangs
	requestTimeout    = 5 * time.Second         // a query that does not block, body included
	blockingSlack     = 2 * time.Second         // past the wait and its sixteenth, for a blocking one
	connectTimeout    = time.Second
	bodyStallTimeout  = 1500 * time.Millisecond // for each part of a body
	bodyChunk         = 128 << 10
	maxRetryAfter     = 30 * time.Second // longest hint of an agent's that is followed
	maxErrorText      = 200              // of an error's body, for the log
)

// Query is one question to whichever agent answers.
type Query struct {
	Path   string
	Params url.Values
	Index  uint64        // 0: answer at once
	Wait   time.Duration // with Index: the longest to wait for something newer
	Stale  bool          // any server may answer, with a leader or without
}

// Answer is what an agent said.
type Answer struct {
	Body        []byte
	Index       uint64        // X-Consul-Index
	LastContact time.Duration // X-Consul-LastContact
	KnownLeader bool          // X-Consul-KnownLeader; true if it was not told
	Agent       string
}

// Client asks the first agent that lives.
type Client struct {
	cfg        config.Consul
	log        *slog.Logger
	http       *http.Client
	heartbeats *http.Client
	scheme     string

	mu           sync.Mutex
	agents       map[string]*agent
	selection    *watch.Agents
	recovered    chan struct{} // closed when an agent has come back
	token        string
	tokenModTime time.Time // the file's time as it was read
}

// NewClient returns a client. Run must be called for it to notice who lives.
func NewClient(cfg config.Consul, log *slog.Logger) (*Client, error) {
	c := &Client{cfg: cfg, log: log, scheme: "http", recovered: make(chan struct{})}
	dial := &net.Dialer{Timeout: connectTimeout}
	transport := func(idle int) *http.Transport {
		return &http.Transport{DialContext: dial.DialContext, MaxIdleConnsPerHost: idle, IdleConnTimeout: time.Minute, TLSHandshakeTimeout: connectTimeout}
	}
	data, beat := transport(cfg.Watches()), transport(1)
	if cfg.TLS != nil {
		c.scheme = "https"
		for _, t := range []*http.Transport{data, beat} {
			conf, err := tlsConfig(cfg.TLS)
			if err != nil {
				return nil, err
			}
			t.TLSClientConfig = conf
		}
	}
	c.http, c.heartbeats = &http.Client{Transport: data}, &http.Client{Transport: beat}
	c.agents, c.selection = map[string]*agent{}, watch.NewAgents(cfg.Agents())
	for _, addr := range cfg.Agents() {
		a := &agent{addr: addr}
		a.lifetime, a.cancel = context.WithCancel(context.Background())
		c.agents[addr] = a
	}
	return c, nil
}

// Get asks one question. An error is a *StatusError, or tells that nobody answers.
func (c *Client) Get(ctx context.Context, q Query) (Answer, error) {
	span := requestTimeout
	params := url.Values{}
	for k, v := range q.Params {
		params[k] = v
	}
	if c.cfg.Datacenter != "" {
		params.Set("dc", c.cfg.Datacenter)
	}
	if q.Index > 0 {
		params.Set("index", strconv.FormatUint(q.Index, 10))
		params.Set("wait", strconv.FormatInt(q.Wait.Milliseconds(), 10)+"ms")
		span = q.Wait + q.Wait/16 + blockingSlack // Consul adds up to a sixteenth, by its documentation
	}
	switch {
	case q.Stale || c.cfg.Consistency == "stale":
		params.Set("stale", "")
	case c.cfg.Consistency == "consistent":
		params.Set("consistent", "")
	}
	resp, body, agent, err := c.do(ctx, http.MethodGet, q.Path, params, nil, span)
	if err != nil {
		return Answer{}, err
	}
	a := Answer{Body: body, Agent: agent, KnownLeader: resp.Header.Get("X-Consul-KnownLeader") != "false"}
	if a.Index = indexOf(resp.Header); a.Index == 0 {
		return Answer{}, fmt.Errorf("agent %s: %w", agent, errNoIndex)
	}
	if ms, err := strconv.ParseInt(resp.Header.Get("X-Consul-LastContact"), 10, 64); err == nil && ms > 0 {
		a.LastContact = time.Duration(ms) * time.Millisecond
	}
	return a, nil
}

// indexOf reads X-Consul-Index, 0 if there is none.
func indexOf(h http.Header) uint64 {
	n, err := strconv.ParseUint(h.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Put makes a call that changes something at the agent in use.
func (c *Client) Put(ctx context.Context, path string, body []byte) error {
	_, _, _, err := c.do(ctx, http.MethodPut, path, nil, body, requestTimeout)
	return err
}

func (c *Client) do(ctx context.Context, method, path string, params url.Values, body []byte, span time.Duration) (*http.Response, []byte, string, error) {
	a, epoch, up := c.selectAgent()
	if !up {
		return nil, nil, "", errNoAgent
	}
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	defer context.AfterFunc(epoch, cancel)()
	target := c.scheme + "://" + a.addr + path
	if len(params) > 0 {
		target += "?" + params.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, "", fmt.Errorf("query: %w", err)
	}
	if token := c.readToken(); token != "" {
		req.Header.Set("X-Consul-Token", token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, "", c.requestError(a, epoch, err)
	}
	defer resp.Body.Close()
	limit := c.cfg.MaxBody()
	if resp.StatusCode != http.StatusOK {
		limit = maxErrorText
	}
	raw, err := readBody(io.LimitReader(resp.Body, limit+1), cancel)
	switch {
	case resp.StatusCode != http.StatusOK:
		return nil, nil, "", &StatusError{
			Agent: a.addr, Status: resp.StatusCode, RetryAfter: retryAfter(resp.Header),
			Text: strings.Join(strings.Fields(string(raw[:min(len(raw), maxErrorText)])), " "), Index: indexOf(resp.Header),
		}
	case err != nil:
		return nil, nil, "", c.requestError(a, epoch, err)
	case int64(len(raw)) > limit:
		return nil, nil, "", fmt.Errorf("agent %s: %w", a.addr, errTooLong)
	}
	return resp, raw, a.addr, nil
}

// readBody reads to the end as long as the body keeps coming: one that trickles would
// keep what is new from being asked for. stop ends the reading.
func readBody(r io.Reader, stop func()) ([]byte, error) {
	stalled := time.AfterFunc(bodyStallTimeout, stop)
	defer stalled.Stop()
	var body bytes.Buffer
	for {
		switch _, err := io.CopyN(&body, r, bodyChunk); {
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			return nil, err
		}
		stalled.Reset(bodyStallTimeout)
	}
}
