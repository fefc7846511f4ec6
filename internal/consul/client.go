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
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"wellgw/decide/watch"
	"wellgw/internal/config"
	"wellgw/internal/pause"
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

// StatusError is an answer other than 200.
type StatusError struct {
	Agent      string
	Status     int
	RetryAfter time.Duration // 0 = no advice
	Text       string
	Index      uint64 // X-Consul-Index, which comes with a 404 too
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("agent %s answered %d: %s", e.Agent, e.Status, e.Text)
}

// isNoLeader tells whether the servers had no leader to ask.
func (e *StatusError) isNoLeader() bool {
	return e.Status == http.StatusInternalServerError && strings.Contains(e.Text, "No cluster leader")
}

var (
	errAgentHung = errors.New("the agent hangs")
	errNoAgent   = errors.New("no agent answers")
	errTooLong   = errors.New("the answer is too long")
	errNoIndex   = errors.New("no X-Consul-Index above 0")
)

// agent is one of the agents. A beat tells whether it lives.
type agent struct {
	addr string

	lifetime context.Context // ends when it hangs or fails: so do the queries that wait for it
	cancel   context.CancelFunc
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

// tlsConfig reads certificates and authorities at every handshake, so that new keys
// hold from the next connection on. Files that can't be read are an error at once.
func tlsConfig(t *config.TLS) (*tls.Config, error) {
	conf := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: t.ServerName}
	if t.CertFile != "" {
		read := func() (*tls.Certificate, error) {
			cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
			return &cert, err
		}
		if _, err := read(); err != nil {
			return nil, fmt.Errorf("consul.tls.cert_file: %w", err)
		}
		conf.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return read() }
	}
	if t.CAFile != "" {
		read := func() (*x509.CertPool, error) {
			pem, err := os.ReadFile(t.CAFile)
			if err != nil {
				return nil, err
			}
			pool := x509.NewCertPool()
			if !pool.AppendCertsFromPEM(pem) {
				return nil, errors.New("no certificate in it")
			}
			return pool, nil
		}
		if _, err := read(); err != nil {
			return nil, fmt.Errorf("consul.tls.ca_file: %w", err)
		}
		// The library takes authorities once; to have them read anew, its own check
		// is replaced by the same check against the file as it is now.
		conf.InsecureSkipVerify = true
		conf.VerifyConnection = func(s tls.ConnectionState) error {
			roots, err := read()
			if err != nil {
				return fmt.Errorf("consul.tls.ca_file: %w", err)
			}
			opts := x509.VerifyOptions{Roots: roots, DNSName: s.ServerName, Intermediates: x509.NewCertPool()}
			for _, cert := range s.PeerCertificates[1:] {
				opts.Intermediates.AddCert(cert)
			}
			_, err = s.PeerCertificates[0].Verify(opts)
			return err
		}
	}
	return conf, nil
}

// Run keeps asking agents for a sign of life until ctx ends. A blocking query may
// be silent for as long as it likes; an agent may not.
func (c *Client) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, a := range c.agents {
		group.Go(func() { c.monitor(ctx, a) })
	}
	group.Wait()
	c.http.CloseIdleConnections()
	c.heartbeats.CloseIdleConnections()
}

func (c *Client) monitor(ctx context.Context, a *agent) {
	for ctx.Err() == nil {
		if err := c.heartbeat(ctx, a); ctx.Err() != nil {
			return
		} else if err != nil {
			c.markDown(a, err)
		} else {
			c.markUp(a)
		}
		pause.Sleep(ctx, jitter(heartbeatInterval))
	}
}

func (c *Client) heartbeat(ctx context.Context, a *agent) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+a.addr+"/v1/status/leader", nil)
	if err != nil {
		return err
	}
	resp, err := c.heartbeats.Do(req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			return errAgentHung
		}
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeartbeatBody))
	return err // any answer is a sign of life, a refusal too
}

// markDown notes that an agent cannot be asked, and ends the queries that wait for it.
func (c *Client) markDown(a *agent, cause error) {
	c.mu.Lock()
	lost := c.selection.MarkDown(a.addr)
	a.cancel()
	c.mu.Unlock()
	if lost {
		c.log.Warn("agent lost", "agent", a.addr, "cause", cause)
		c.http.CloseIdleConnections()
	}
}

// markUp notes that an agent lives, and wakes those that wait for one.
func (c *Client) markUp(a *agent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.selection.MarkUp(a.addr) {
		return
	}
	c.log.Info("agent back", "agent", a.addr)
	a.lifetime, a.cancel = context.WithCancel(context.Background())
	close(c.recovered)
	c.recovered = make(chan struct{})
}

// selectAgent returns the agent to ask, and what ends when it is lost.
func (c *Client) selectAgent() (*agent, context.Context, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, other, ok := c.selection.Select()
	if !ok {
		return nil, nil, false
	}
	if other {
		c.log.Info("agent in use", "agent", name)
	}
	a := c.agents[name]
	return a, a.lifetime, true
}

// Pause waits for d, or less if an agent comes back meanwhile.
func (c *Client) Pause(ctx context.Context, d time.Duration) {
	c.mu.Lock()
	back := c.recovered
	c.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-back:
	case <-t.C:
	}
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

// requestError words a failure. An agent that refuses connections is lost at once; for
// anything else a beat tells.
func (c *Client) requestError(a *agent, epoch context.Context, err error) error {
	if op := (*net.OpError)(nil); errors.As(err, &op) && op.Op == "dial" {
		c.markDown(a, err)
	}
	if epoch.Err() != nil {
		err = errAgentHung
	}
	return fmt.Errorf("agent %s: %w", a.addr, err)
}

// retryAfter reads an agent's hint in seconds; RFC 9110 allows a date too, which
// Consul does not use.
func retryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || s <= 0 {
		return 0
	}
	return min(time.Duration(s*float64(time.Second)), maxRetryAfter)
}

// readToken returns the token as the file now has it. A file that can't be read
// leaves the last one in use: it may be about to be replaced.
func (c *Client) readToken() string {
	if c.cfg.TokenFile == "" {
		return c.cfg.Token
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.cfg.TokenFile)
	if err == nil && !info.ModTime().Equal(c.tokenModTime) {
		var raw []byte
		if raw, err = os.ReadFile(c.cfg.TokenFile); err == nil {
			c.token, c.tokenModTime = strings.TrimSpace(string(raw)), info.ModTime()
		}
	}
	if err != nil && c.token == "" {
		c.log.Warn("token file", "cause", err)
		return c.cfg.Token
	}
	return c.token
}

// jitter spreads calls of many gateways over time.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
