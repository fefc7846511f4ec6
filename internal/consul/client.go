// Package consul discovers engines by Consul's HTTP API: it watches the health of services by
// blocking queries, and in the catalog which services carry a tag. It also registers the
// gateway itself, and offers key-value entries and sessions. decide/watch decides what is
// requested next, decide/roster which engines follow from the responses.
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
	"sync"
	"time"

	"wellgw/decide/watch"
	"wellgw/internal/config"
)

// Timeouts and limits of the client.
const (
	heartbeatInterval = 800 * time.Millisecond  // between heartbeats to an agent
	heartbeatTimeout  = 1200 * time.Millisecond // an agent that takes longer counts as hung
	requestTimeout    = 5 * time.Second         // of a request that does not block, body included
	blockingSlack     = 2 * time.Second         // beyond the wait and its sixteenth, for one that blocks
	connectTimeout    = time.Second
	bodyStallTimeout  = 1500 * time.Millisecond // for each chunk of a body
	bodyChunk         = 128 << 10
	maxRetryAfter     = 30 * time.Second // a longer Retry-After is cut to this
	maxHeartbeatBody  = 4 << 10          // read so that the connection can be used again
	maxErrorText      = 200              // bytes of an error's body, for the log
)

// Query is a read request to whichever agent is up.
type Query struct {
	Path   string
	Params url.Values
	Index  uint64        // 0: do not block
	Wait   time.Duration // longest time to block until the index exceeds Index
	Stale  bool          // any server may answer, even without a leader
}

// QueryResult is an agent's response with its metadata.
type QueryResult struct {
	Body        []byte
	Index       uint64        // X-Consul-Index
	LastContact time.Duration // X-Consul-LastContact
	KnownLeader bool          // X-Consul-KnownLeader; true without the header
	Agent       string
}

// Client makes requests to the first agent that is up. Run must be called for it to learn
// which are.
type Client struct {
	cfg        config.Consul
	log        *slog.Logger
	http       *http.Client
	heartbeats *http.Client
	scheme     string

	mu           sync.Mutex
	agents       map[string]*agent
	selection    *watch.AgentSelector
	recovered    chan struct{} // closed, and replaced, when an agent has recovered
	token        string
	tokenModTime time.Time // the token file's when it was read
}

// NewClient returns a client. An error names a file of the configuration that can't be used.
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
	c.agents, c.selection = map[string]*agent{}, watch.NewAgentSelector(cfg.Agents())
	for _, addr := range cfg.Agents() {
		a := &agent{addr: addr}
		a.lifetime, a.cancel = context.WithCancel(context.Background())
		c.agents[addr] = a
	}
	return c, nil
}

// Get makes a read request. An error is a *StatusError, or says why no agent responded.
func (c *Client) Get(ctx context.Context, q Query) (QueryResult, error) {
	timeout := requestTimeout
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
		timeout = q.Wait + q.Wait/16 + blockingSlack // Consul adds up to a sixteenth, by its documentation
	}
	switch {
	case q.Stale || c.cfg.Consistency == "stale":
		params.Set("stale", "")
	case c.cfg.Consistency == "consistent":
		params.Set("consistent", "")
	}
	r, err := c.do(ctx, http.MethodGet, q.Path, params, nil, timeout)
	if err != nil {
		return QueryResult{}, err
	}
	a := QueryResult{Body: r.body, Agent: r.agent, KnownLeader: r.header.Get("X-Consul-KnownLeader") != "false"}
	if a.Index = indexOf(r.header); a.Index == 0 {
		return QueryResult{}, fmt.Errorf("agent %s: %w", r.agent, errNoIndex)
	}
	if ms, err := strconv.ParseInt(r.header.Get("X-Consul-LastContact"), 10, 64); err == nil && ms > 0 {
		a.LastContact = time.Duration(ms) * time.Millisecond
	}
	return a, nil
}

// indexOf returns X-Consul-Index, 0 without one.
func indexOf(h http.Header) uint64 {
	n, err := strconv.ParseUint(h.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Put makes a write request.
func (c *Client) Put(ctx context.Context, path string, body []byte) error {
	_, err := c.do(ctx, http.MethodPut, path, nil, body, requestTimeout)
	return err
}

// response is an agent's response with status 200.
type response struct {
	header http.Header
	body   []byte
	agent  string // its address
}

// do makes a request to the agent in use. It ends early if the agent is marked down meanwhile.
func (c *Client) do(ctx context.Context, method, path string, params url.Values, body []byte, timeout time.Duration) (response, error) {
	a, lifetime, up := c.selectAgent()
	if !up {
		return response{}, errNoAgent
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer context.AfterFunc(lifetime, cancel)()
	req, err := c.newRequest(ctx, method, a.addr, path, params, body)
	if err != nil {
		return response{}, fmt.Errorf("query: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, c.requestError(lifetime, a, err)
	}
	defer resp.Body.Close()
	limit := c.cfg.MaxBody()
	if resp.StatusCode != http.StatusOK {
		limit = maxErrorText
	}
	raw, err := readBody(io.LimitReader(resp.Body, limit+1), cancel)
	switch {
	case resp.StatusCode != http.StatusOK:
		return response{}, newStatusError(a.addr, resp, raw)
	case err != nil:
		return response{}, c.requestError(lifetime, a, err)
	case int64(len(raw)) > limit:
		return response{}, fmt.Errorf("agent %s: %w", a.addr, errTooLong)
	}
	return response{header: resp.Header, body: raw, agent: a.addr}, nil
}

func (c *Client) newRequest(ctx context.Context, method, addr, path string, params url.Values, body []byte) (*http.Request, error) {
	target := c.scheme + "://" + addr + path
	if len(params) > 0 {
		target += "?" + params.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if token := c.readToken(); token != "" {
		req.Header.Set("X-Consul-Token", token)
	}
	return req, nil
}

// readBody reads a body that keeps coming. cancel ends the reading of one that stalls, which
// would delay the next request.
func readBody(r io.Reader, cancel func()) ([]byte, error) {
	stalled := time.AfterFunc(bodyStallTimeout, cancel)
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
