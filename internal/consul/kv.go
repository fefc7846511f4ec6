package consul

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"
)

// Pair is a key-value entry. Its field names are the JSON keys of Consul's responses.
// Source: Consul's HTTP API documentation, "KV Store".
type Pair struct {
	Key         string
	Value       []byte
	Session     string
	LockIndex   uint64 // incremented each time the lock is acquired
	ModifyIndex uint64 // index of the last modification
}

// List returns the entries with a key prefix, and their index. If index is not 0 it blocks until
// theirs exceeds index, for at most wait. A prefix without entries is not an error.
func (c *Client) List(ctx context.Context, prefix string, index uint64, wait time.Duration) ([]Pair, uint64, error) {
	result, err := c.Get(ctx, Query{Path: "/v1/kv/" + prefix, Params: url.Values{"recurse": {""}}, Index: index, Wait: wait})
	if s := (*StatusError)(nil); errors.As(err, &s) && s.Status == http.StatusNotFound {
		return nil, s.Index, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var pairs []Pair
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(result.Body, &pairs); err != nil {
		return nil, 0, fmt.Errorf("entries with prefix %s: %w", prefix, err)
	}
	return pairs, result.Index, nil
}

// Read returns one entry and whether it exists.
func (c *Client) Read(ctx context.Context, key string) (Pair, bool, error) {
	pairs, _, err := c.List(ctx, key, 0, 0)
	for _, p := range pairs {
		if p.Key == key {
			return p, true, nil
		}
	}
	return Pair{}, false, err
}

// CompareAndSwap writes an entry if its ModifyIndex equals modify, and reports whether it did.
// With a modify of 0 it writes only an entry that does not exist.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, modify uint64) (bool, error) {
	return c.writeKV(ctx, http.MethodPut, "/v1/kv/"+key, url.Values{"cas": {strconv.FormatUint(modify, 10)}}, value)
}

// CompareAndDelete deletes an entry if its ModifyIndex equals modify, and reports whether it did.
func (c *Client) CompareAndDelete(ctx context.Context, key string, modify uint64) (bool, error) {
	return c.writeKV(ctx, http.MethodDelete, "/v1/kv/"+key, url.Values{"cas": {strconv.FormatUint(modify, 10)}}, nil)
}

// DeletePrefix deletes all entries with a key prefix.
func (c *Client) DeletePrefix(ctx context.Context, prefix string) error {
	_, err := c.writeKV(ctx, http.MethodDelete, "/v1/kv/"+prefix, url.Values{"recurse": {""}}, nil)
	return err
}

// Write writes an entry unconditionally.
func (c *Client) Write(ctx context.Context, key string, value []byte) error {
	_, err := c.writeKV(ctx, http.MethodPut, "/v1/kv/"+key, nil, value)
	return err
}

// AcquireLock acquires the lock on an entry for a session, or keeps it if the session already holds
// it, and writes the entry. It reports whether the session holds the lock.
func (c *Client) AcquireLock(ctx context.Context, key, session string, value []byte) (bool, error) {
	return c.writeKV(ctx, http.MethodPut, "/v1/kv/"+key, url.Values{"acquire": {session}}, value)
}

// writeKV sends a write request for an entry and reports whether it took effect, which the
// response body states as true or false.
func (c *Client) writeKV(ctx context.Context, method, path string, params url.Values, body []byte) (bool, error) {
	r, err := c.do(ctx, method, path, params, body, requestTimeout)
	return string(r.body) == "true" || string(r.body) == "true\n", err
}

// session is the body of PUT /v1/session/create; its field names are the JSON keys.
type session struct {
	Name      string
	TTL       string
	LockDelay string
	Behavior  string
	Checks    []string // empty: the session does not depend on health checks
}

// NewSession creates a session and returns its ID. Without renewal Consul ends it after ttl, or up
// to twice that. Its locks are released then, and can be acquired again once delay has elapsed.
func (c *Client) NewSession(ctx context.Context, name string, ttl, delay time.Duration) (string, error) {
	body, err := jsoniter.Marshal(session{Name: name, TTL: ttl.String(), LockDelay: delay.String(), Behavior: "release", Checks: []string{}})
	if err != nil {
		return "", fmt.Errorf("session: %w", err)
	}
	r, err := c.do(ctx, http.MethodPut, "/v1/session/create", nil, body, requestTimeout)
	if err != nil {
		return "", err
	}
	var s struct{ ID string }
	if err := jsoniter.Unmarshal(r.body, &s); err != nil || s.ID == "" {
		return "", fmt.Errorf("session: response %q has no ID: %w", r.body, err)
	}
	return s.ID, nil
}

// RenewSession renews a session and reports whether it still existed.
func (c *Client) RenewSession(ctx context.Context, id string) (bool, error) {
	err := c.Put(ctx, "/v1/session/renew/"+id, nil)
	if s := (*StatusError)(nil); errors.As(err, &s) && s.Status == http.StatusNotFound {
		return false, nil
	}
	return err == nil, err
}

// DestroySession destroys a session.
func (c *Client) DestroySession(ctx context.Context, id string) error {
	return c.Put(ctx, "/v1/session/destroy/"+id, nil)
}
