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
	passPart     = 3                // times in each TTL that the check is passed
	dropLeast    = time.Minute      // Consul takes a critical service off its list no sooner
	dropPart     = 10               // times the TTL
	peersHold    = 15 * time.Second // for so long fewer gateways are not believed
	leaveWait    = time.Second
	addressPause = 50 * time.Millisecond // until it is known where the gateway serves
	firstStatus  = "passing"
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
func (d *Directory) register(ctx context.Context, f *follower) {
	r := f.cfg.Register
	for r.Address == "" && ctx.Err() == nil {
		if at := d.address(); at != "" {
			own := *r
			own.Address, r = at, &own
			break
		}
		pause.Sleep(ctx, addressPause)
	}
	if ctx.Err() != nil {
		return
	}
	host, port, err := net.SplitHostPort(r.Address)
	if err != nil {
		f.log.Error("not registered", "cause", err)
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
			DeregisterCriticalServiceAfter: max(dropLeast, dropPart*r.TTL()).String(),
		},
	})
	if err != nil {
		f.log.Error("not registered", "cause", err)
		return
	}
	listed, failed := false, false
	for ctx.Err() == nil {
		if !listed {
			err = f.client.Put(ctx, "/v1/agent/service/register", body)
			if listed = err == nil; listed {
				f.log.Info("registered", "service", r.Name, "gateway", id)
			}
		} else {
			status := "passing"
			if !d.ready() {
				status = "warning" // it runs, but has no engine to send to
			}
			update, _ := jsoniter.Marshal(map[string]string{"Status": status})
			err = f.client.Put(ctx, "/v1/agent/check/update/service:"+url.PathEscape(id), update)
			if s := (*StatusError)(nil); errors.As(err, &s) && (s.Status == http.StatusNotFound || s.Status == http.StatusInternalServerError) {
				listed = false // the agent knows it no more
			}
		}
		if err != nil && !failed && ctx.Err() == nil {
			f.log.Warn("own registration not renewed", "gateway", id, "cause", err)
		}
		failed = err != nil
		f.client.Pause(ctx, jitter(r.TTL()/passPart))
	}
	bye, done := context.WithTimeout(context.WithoutCancel(ctx), leaveWait)
	defer done()
	if err := f.client.Put(bye, "/v1/agent/service/deregister/"+url.PathEscape(id), nil); err != nil {
		f.log.Warn("not taken off the list; its check will expire", "gateway", id, "cause", err)
	}
}

// count follows how many gateways are listed. What can't be believed changes nothing.
func (d *Directory) count(ctx context.Context, f *follower) {
	peers := roster.NewGatewayCount(1, peersHold)
	tell := func(changed bool) {
		if changed {
			f.log.Info("gateways that share the engines", "gateways", peers.Count())
			d.gateways(peers.Count())
		}
	}
	last, doubted := 0, true
	s := f.subject("/v1/health/service/"+url.PathEscape(f.cfg.Register.Name), nil)
	f.follow(ctx, s, nil, func(a Answer) error {
		v, _, err := parseHealth(a.Body, f.zone)
		if err != nil {
			return err
		}
		doubted = !a.KnownLeader || a.LastContact > f.policy.MaxAge
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
