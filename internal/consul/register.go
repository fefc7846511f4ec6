package consul

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/roster"
	"wellgw/internal/config"
	"wellgw/internal/pause"
)

// Intervals and limits of the gateway's own registration.
const (
	renewalsPerTTL      = 3                // renewals of the health check
	minDeregisterAfter  = time.Minute      // Consul's minimum for DeregisterCriticalServiceAfter
	deregisterAfterTTLs = 10               // DeregisterCriticalServiceAfter as a multiple of the TTL
	gatewayCountHold    = 15 * time.Second // delay before a lower count takes effect
	deregisterTimeout   = time.Second
	addressPollInterval = 50 * time.Millisecond // between reads of the address, until it is known
	statusPassing       = "passing"
	statusWarning       = "warning"
	checkIDPrefix       = "service:"
)

// registration is the body of PUT /v1/agent/service/register; its field names are the JSON keys.
type registration struct {
	ID      string
	Name    string
	Address string
	Port    int
	Meta    map[string]string
	Check   ttlCheck
}

type ttlCheck struct {
	CheckID                        string
	TTL                            string
	Status                         string
	DeregisterCriticalServiceAfter string
}

// checkUpdate is the body of PUT /v1/agent/check/update/CHECK; its field name is the JSON key.
type checkUpdate struct{ Status string }

// register keeps the gateway registered until ctx is done, then deregisters it. An agent that
// restarts without its data loses the registration, so the gateway registers again if the agent
// reports its check as unknown.
func (d *Discovery) register(ctx context.Context, w *watcher) {
	address, ok := d.waitForAddress(ctx, w.cfg.Register)
	if !ok {
		return
	}
	r, err := newRegistration(w.cfg.Register, address)
	if err != nil {
		w.log.Error("gateway registration failed", "cause", err)
		return
	}
	body, err := jsoniter.Marshal(r)
	if err != nil {
		w.log.Error("gateway registration failed", "cause", err)
		return
	}
	registered, failed := false, false
	for ctx.Err() == nil {
		if registered {
			registered, err = d.renew(ctx, w, r.ID)
		} else if err = w.client.Put(ctx, "/v1/agent/service/register", body); err == nil {
			registered = true
			w.log.Info("gateway registered", "service", r.Name, "gateway", r.ID)
		}
		if err != nil && !failed && ctx.Err() == nil {
			w.log.Warn("gateway registration not renewed", "gateway", r.ID, "cause", err)
		}
		failed = err != nil
		w.client.Pause(ctx, jitter(w.cfg.Register.TTL()/renewalsPerTTL))
	}
	w.deregister(ctx, r.ID)
}

// waitForAddress returns the address to register: the configured one, or else the address of the
// gateway's listener, once it is open. ok is false if ctx is done first.
func (d *Discovery) waitForAddress(ctx context.Context, r *config.Register) (address string, ok bool) {
	for address = r.Address; address == "" && ctx.Err() == nil; {
		if address = d.address(); address == "" {
			pause.Sleep(ctx, addressPollInterval)
		}
	}
	return address, ctx.Err() == nil
}

func newRegistration(r *config.Register, address string) (registration, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return registration{}, err
	}
	portNumber, _ := strconv.Atoi(port) // valid: from the listener, or validated with the configuration
	id := r.ID
	if id == "" {
		hostname, _ := os.Hostname()
		id = r.Name + "-" + hostname + "-" + port
	}
	return registration{
		ID: id, Name: r.Name, Address: host, Port: portNumber,
		Meta: map[string]string{"started_ms": strconv.FormatInt(time.Now().UnixMilli(), 10)},
		Check: ttlCheck{
			CheckID: checkIDPrefix + id, TTL: r.TTL().String(), Status: statusPassing,
			DeregisterCriticalServiceAfter: max(minDeregisterAfter, deregisterAfterTTLs*r.TTL()).String(),
		},
	}, nil
}

// renew updates the gateway's health check. registered is false if the agent has no such check.
func (d *Discovery) renew(ctx context.Context, w *watcher, id string) (registered bool, err error) {
	update := checkUpdate{Status: statusPassing}
	if !d.ready() {
		update.Status = statusWarning // the gateway runs, but has no engine that can serve
	}
	body, err := jsoniter.Marshal(update)
	if err != nil {
		return true, err
	}
	err = w.client.Put(ctx, "/v1/agent/check/update/"+checkIDPrefix+url.PathEscape(id), body)
	var status *StatusError
	unknown := errors.As(err, &status) && (status.Status == http.StatusNotFound || status.Status == http.StatusInternalServerError)
	return !unknown, err
}

// deregister removes the gateway's registration, even though ctx is done.
func (w *watcher) deregister(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	if err := w.client.Put(ctx, "/v1/agent/service/deregister/"+url.PathEscape(id), nil); err != nil {
		w.log.Warn("gateway deregistration failed, its check will expire", "gateway", id, "cause", err)
	}
}

// watchGateways counts the registered gateways. An untrusted view does not change the count.
func (d *Discovery) watchGateways(ctx context.Context, w *watcher) {
	count := roster.NewGatewayCount(1, gatewayCountHold)
	publish := func(changed bool) {
		if changed {
			w.log.Info("gateway count changed", "gateways", count.Count())
			d.setGateways(count.Count())
		}
	}
	untrusted := true
	apply := func(result QueryResult) error {
		view, _, err := parseHealth(result.Body, w.zone)
		if err != nil {
			return err
		}
		untrusted = !result.KnownLeader || result.LastContact > w.policy.MaxAge
		alive := len(view.Malformed)
		for _, e := range view.Entries {
			if e.Mark != roster.Critical {
				alive++
			}
		}
		if !untrusted {
			publish(count.Observe(time.Now(), alive))
		}
		return nil
	}
	confirmUnchanged := func() bool {
		publish(count.Tick(time.Now()))
		return !untrusted
	}
	q := w.newQuery("/v1/health/service/"+url.PathEscape(w.cfg.Register.Name), nil)
	w.watch(ctx, q, queryHandler{apply: apply, confirmUnchanged: confirmUnchanged, recordDistrust: ignoreDistrust})
}
