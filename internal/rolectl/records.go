package rolectl

import (
	"context"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/rolechange"
	"wellgw/decide/roster"
	"wellgw/internal/consul"
	"wellgw/internal/pause"
)

// changesPrefix is the prefix of the Consul keys of change records; an engine's id follows it.
func (c *Controller) changesPrefix() string { return c.opt.KeyPrefix + "/change/" }

func (c *Controller) changeKey(engine string) string { return c.changesPrefix() + engine }

// confirmationPrefix is the prefix of the Consul keys under which gateways confirm the change of an
// engine; the gateway's name follows it.
func (c *Controller) confirmationPrefix(engine string) string {
	return c.opt.KeyPrefix + "/seen/" + engine + "/"
}

// confirmation returns the value with which a gateway confirms a change. It is the start time, so
// that a confirmation of an earlier change of the same engine does not count.
func confirmation(r rolechange.Record) string { return r.StartedAt.Format(time.RFC3339Nano) }

// watchRecords watches the records of changes with blocking queries and applies them. While they
// can't be read, the last ones remain in effect.
func (c *Controller) watchRecords(ctx context.Context, client *consul.Client) {
	index := uint64(0)
	for ctx.Err() == nil {
		pairs, next, err := client.List(ctx, c.changesPrefix(), index, watchWait)
		if err != nil {
			index = 0
			client.Pause(ctx, retryInterval)
			continue
		}
		if next < index { // Consul requires clients to reset an index that has decreased
			next = 0
		}
		if unchanged := index != 0 && next == index; !unchanged {
			c.applyRecords(ctx, client, pairs)
		}
		index = next
		if index == 0 {
			pause.Sleep(ctx, retryInterval)
		}
	}
}

// applyRecords overrides the routing of the engines that have change records, and confirms changes
// that this gateway has not confirmed.
func (c *Controller) applyRecords(ctx context.Context, client *consul.Client, pairs []consul.Pair) {
	records, overrides := c.parseRecords(pairs)
	c.opt.Directory.With(func(b *roster.Registry, now time.Time) { b.SetOverrides(now, overrides) })
	c.opt.Directory.Flush()
	gateway := c.opt.GatewayName()
	for _, r := range c.replaceRecords(records) {
		c.opt.Log.Info("role change observed", "engine", r.Engine, "from", r.From, "to", r.To, "step", string(r.Step))
		if gateway == "" || client.Write(ctx, c.confirmationPrefix(r.Engine)+gateway, []byte(confirmation(r))) != nil {
			continue // not fatal: the leader waits for confirmations only up to a time limit
		}
		c.mu.Lock()
		c.confirmed[r.Engine] = r.StartedAt
		c.mu.Unlock()
	}
}

// parseRecords returns the records and their overrides of the roster, both by engine.
func (c *Controller) parseRecords(pairs []consul.Pair) (map[string]storedRecord, map[string]roster.Override) {
	records, overrides := map[string]storedRecord{}, map[string]roster.Override{}
	for _, p := range pairs {
		var r rolechange.Record
		if err := jsoniter.Unmarshal(p.Value, &r); err != nil || c.changeKey(r.Engine) != p.Key {
			c.opt.Log.Warn("malformed role change record skipped", "key", p.Key, "cause", err)
			continue
		}
		records[r.Engine] = storedRecord{r, p.ModifyIndex}
		paused, role, startedAt := r.Routing()
		overrides[r.Engine] = roster.Override{Drain: paused, Kind: role, Started: startedAt, StateReason: "changes from " + r.From + " to " + r.To + ": " + string(r.Step)}
	}
	return records, overrides
}

// replaceRecords replaces the stored records and returns those that this gateway has not confirmed.
func (c *Controller) replaceRecords(records map[string]storedRecord) []rolechange.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records, c.recordsRead = records, true
	for id := range c.confirmed {
		if _, active := records[id]; !active {
			delete(c.confirmed, id)
		}
	}
	var unconfirmed []rolechange.Record
	for id, r := range records {
		if !c.confirmed[id].Equal(r.StartedAt) {
			unconfirmed = append(unconfirmed, r.Record)
		}
	}
	return unconfirmed
}
