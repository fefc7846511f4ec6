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
	"wellgw/internal/pause"
)

// The margins of the gateway's own listing.
const (
	renewalsPerTTL      = 3                // times in each TTL that the check is passed
	minDeregisterAfter  = time.Minute      // Consul takes a critical service off its list no sooner
	deregisterAfterTTLs = 10               // times the TTL
	gatewayCountHold    = 15 * time.Second // for so long fewer gateways are not believed
	deregisterTimeout   = time.Second
	addressPollInterval = 50 * time.Millisecond // until it is known where the gateway serves
	firstStatus         = "passing"
)

// registration is the body of PUT /v1/agent/service/register.
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

// register keeps the gateway on the list of gateways until ctx ends, then takes it
// off. The agent forgets it if it restarts without its data, so a check that is not
// known is registered anew.
func (d *Discovery) register(ctx context.Context, w *watcher) {
	r := w.cfg.Register
	for r.Address == "" && ctx.Err() == nil {
		if at := d.address(); at != "" {
			own := *r
			own.Address, r = at, &own
			break
		}
		pause.Sleep(ctx, addressPollInterval)
	}
	if ctx.Err() != nil {
		return
	}
	host, port, err := net.SplitHostPort(r.Address)
	if err != nil {
		w.log.Error("not registered", "cause", err)
		return
	}
	number, _ := strconv.Atoi(port)
	id := r.ID
	if id == "" {
		name, _ := os.Hostname()
		id = r.Name + "-" + name + "-" + port
	}
	body, err := jsoniter.Marshal(registration{
		ID: id, Name: r.Name, Address: host, Port: number, Meta: map[string]string{"started_ms": strconv.FormatInt(time.Now().UnixMilli(), 10)},
		Check: ttlCheck{
			CheckID: "service:" + id, TTL: r.TTL().String(), Status: firstStatus,
			DeregisterCriticalServiceAfter: max(minDeregisterAfter, deregisterAfterTTLs*r.TTL()).String(),
		},
	})
	if err != nil {
		w.log.Error("not registered", "cause", err)
		return
	}
	listed, failed := false, false
	for ctx.Err() == nil {
		if !listed {
			err = w.client.Put(ctx, "/v1/agent/service/register", body)
			if listed = err == nil; listed {
				w.log.Info("registered", "service", r.Name, "gateway", id)
			}
		} else {
			status := "passing"
			if !d.ready() {
				status = "warning" // it runs, but has no engine to send to
			}
			update, _ := jsoniter.Marshal(map[string]string{"Status": status})
			err = w.client.Put(ctx, "/v1/agent/check/update/service:"+url.PathEscape(id), update)
			if s := (*StatusError)(nil); errors.As(err, &s) && (s.Status == http.StatusNotFound || s.Status == http.StatusInternalServerError) {
				listed = false // the agent knows it no more
			}
		}
		if err != nil && !failed && ctx.Err() == nil {
			w.log.Warn("own registration not renewed", "gateway", id, "cause", err)
		}
		failed = err != nil
		w.client.Pause(ctx, jitter(r.TTL()/renewalsPerTTL))
	}
	bye, done := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer done()
	if err := w.client.Put(bye, "/v1/agent/service/deregister/"+url.PathEscape(id), nil); err != nil {
		w.log.Warn("not taken off the list; its check will expire", "gateway", id, "cause", err)
	}
}

// watchGateways follows how many gateways are listed. What can't be believed changes nothing.
func (d *Discovery) watchGateways(ctx context.Context, w *watcher) {
	peers := roster.NewGatewayCount(1, gatewayCountHold)
	tell := func(changed bool) {
		if changed {
			w.log.Info("gateways that share the engines", "gateways", peers.Count())
			d.setGateways(peers.Count())
		}
	}
	last, doubted := 0, true
	s := w.newQuery("/v1/health/service/"+url.PathEscape(w.cfg.Register.Name), nil)
	w.watch(ctx, s, nil, func(a Answer) error {
		v, _, err := parseHealth(a.Body, w.zone)
		if err != nil {
			return err
		}
		doubted = !a.KnownLeader || a.LastContact > w.policy.MaxAge
		n := 0
		for _, e := range v.Entries {
			if e.Mark != roster.Critical {
				n++
			}
		}
		if last = n + len(v.Malformed); !doubted {
			tell(peers.Observe(time.Now(), last))
		}
		return nil
	}, func() bool {
		tell(peers.Tick(time.Now()))
		return !doubted
	}, func(roster.Reason) {})
}
