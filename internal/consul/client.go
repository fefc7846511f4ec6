// Package consul discovers engines through Consul's HTTP API: it watches the health of services
// with blocking queries, and the catalog for services that carry a tag. It also registers the
// gateway itself, and gives access to key-value entries and sessions. decide/watch chooses the
// next request, decide/roster derives the engines from the responses.
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
	heartbeatTimeout  = 1200 * time.Millisecond // an agent that takes longer is marked down
	requestTimeout    = 5 * time.Second         // of a request that does not block, including its body
	blockingMargin    = 2 * time.Second         // beyond the wait and its sixteenth, of a blocking query
	connectTimeout    = time.Second
	bodyStallTimeout  = 1500 * time.Millisecond // for each chunk of a body (bodyChunk)
	bodyChunk         = 128 << 10               // bytes
	maxRetryAfter     = 30 * time.Second        // a longer Retry-After is reduced to this
	maxHeartbeatBody  = 4 << 10                 // bytes; read so that the connection can be reused
	maxErrorText      = 200                     // bytes of an error response's body that are logged
)

// Query is a read request to the selected agent.
type Query struct {
	Path   string
	Params url.Values
	Index  uint64        // if not 0, the request blocks until the index exceeds this
	Wait   time.Duration // max time to block
	Stale  bool          // any server may respond, even without a leader
}

// QueryResult is an agent's response with its metadata.
type QueryResult struct {
	Body        []byte
	Index       uint64        // X-Consul-Index
	LastContact time.Duration // X-Consul-LastContact
	KnownLeader bool          // X-Consul-KnownLeader; true if the header is absent
	Agent       string        // address of the agent
}

// Client sends requests to the first agent that is up. Only Run detects which agents are up, so
// it must be called.
type Client struct {
	cfg           config.Consul
	log           *slog.Logger
	http          *http.Client
	heartbeatHTTP *http.Client
	scheme        string

	mu           sync.Mutex
	agents       map[string]*agent
	selection    *watch.AgentSelector
	recovered    chan struct{} // closed and replaced when an agent recovers
	token        string
	tokenModTime time.Time // modification time of the token file at its last read
}

// NewClient returns a client. An error names the setting whose file can't be used.
func NewClient(cfg config.Consul, log *slog.Logger) (*Client, error) {
	c := &Client{cfg: cfg, log: log, scheme: "http", recovered: make(chan struct{})}
	dial := &net.Dialer{Timeout: connectTimeout}
	newTransport := func(idle int) *http.Transport {
		return &http.Transport{DialContext: dial.DialContext, MaxIdleConnsPerHost: idle, IdleConnTimeout: time.Minute, TLSHandshakeTimeout: connectTimeout}
	}
	requestTransport, heartbeatTransport := newTransport(cfg.Watches()), newTransport(1)
	if cfg.TLS != nil {
		c.scheme = "https"
		for _, t := range []*http.Transport{requestTransport, heartbeatTransport} {
			conf, err := tlsConfig(cfg.TLS)
			if err != nil {
				return nil, err
			}
			t.TLSClientConfig = conf
		}
	}
	c.http, c.heartbeatHTTP = &http.Client{Transport: requestTransport}, &http.Client{Transport: heartbeatTransport}
	c.agents, c.selection = map[string]*agent{}, watch.NewAgentSelector(cfg.Agents())
	for _, addr := range cfg.Agents() {
		a := &agent{addr: addr}
		a.upCtx, a.cancelUp = context.WithCancel(context.Background())
		c.agents[addr] = a
	}
	return c, nil
}

// Get sends a read request. An error is a *StatusError, or wraps the reason for the missing or
// unusable response.
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
		timeout = q.Wait + q.Wait/16 + blockingMargin // Consul may add wait/16, by its documentation
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
	result := QueryResult{Body: r.body, Agent: r.agent, KnownLeader: r.header.Get("X-Consul-KnownLeader") != "false"}
	if result.Index = responseIndex(r.header); result.Index == 0 {
		return QueryResult{}, fmt.Errorf("agent %s: %w", r.agent, errNoIndex)
	}
	if ms, err := strconv.ParseInt(r.header.Get("X-Consul-LastContact"), 10, 64); err == nil && ms > 0 {
		result.LastContact = time.Duration(ms) * time.Millisecond
	}
	return result, nil
}

// responseIndex returns X-Consul-Index, or 0 if it is missing or malformed.
func responseIndex(h http.Header) uint64 {
	n, err := strconv.ParseUint(h.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Put sends a write request.
func (c *Client) Put(ctx context.Context, path string, body []byte) error {
	_, err := c.do(ctx, http.MethodPut, path, nil, body, requestTimeout)
	return err
}

// response is an agent's response with status 200 (OK).
type response struct {
	header http.Header
	body   []byte
	agent  string // address of the agent
}

// do sends a request to the selected agent. Marking the agent down cancels the request.
func (c *Client) do(ctx context.Context, method, path string, params url.Values, body []byte, timeout time.Duration) (response, error) {
	a, upCtx, up := c.selectAgent()
	if !up {
		return response{}, errNoAgent
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer context.AfterFunc(upCtx, cancel)()
	req, err := c.newRequest(ctx, method, a.addr, path, params, body)
	if err != nil {
		return response{}, fmt.Errorf("query: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, c.requestError(upCtx, a, err)
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
		return response{}, c.requestError(upCtx, a, err)
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

// readBody reads a body. It calls cancel, which must abort the read, if a chunk is not complete
// within bodyStallTimeout: a stalled body would delay the next request.
func readBody(r io.Reader, cancel func()) ([]byte, error) {
	stallTimer := time.AfterFunc(bodyStallTimeout, cancel)
	defer stallTimer.Stop()
	var body bytes.Buffer
	for {
		switch _, err := io.CopyN(&body, r, bodyChunk); {
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			return nil, err
		}
		stallTimer.Reset(bodyStallTimeout)
	}
}
