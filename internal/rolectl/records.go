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

func (c *Controller) changeKey(engine string) string { return c.opt.KeyPrefix + "/change/" + engine }
func (c *Controller) confirmationPrefix(engine string) string {
	return c.opt.KeyPrefix + "/seen/" + engine + "/"
}

// watchRecords holds this gateway to the changes that are under way. While they can't be read
// it holds to what it knows.
func (c *Controller) watchRecords(ctx context.Context, client *consul.Client) {
	index := uint64(0)
	for ctx.Err() == nil {
		pairs, next, err := client.List(ctx, c.opt.KeyPrefix+"/change/", index, watchWait)
		if err != nil {
			index = 0
			client.Pause(ctx, retryInterval)
			continue
		}
		if next < index || next == 0 {
			next = 0
		}
		if same := index != 0 && next == index; !same {
			c.applyRecords(ctx, client, pairs)
		}
		if index = next; index == 0 {
			pause.Sleep(ctx, retryInterval)
		}
	}
}

// applyRecords takes the changes in, has the core told, and says so.
func (c *Controller) applyRecords(ctx context.Context, client *consul.Client, pairs []consul.Pair) {
	records, over := map[string]storedRecord{}, map[string]roster.Override{}
	for _, p := range pairs {
		var r rolechange.Record
		if err := jsoniter.Unmarshal(p.Value, &r); err != nil || c.changeKey(r.Engine) != p.Key {
			c.opt.Log.Warn("a change that makes no sense is passed over", "key", p.Key, "cause", err)
			continue
		}
		records[r.Engine] = storedRecord{r, p.ModifyIndex}
		hold, role, cold := r.EngineView()
		over[r.Engine] = roster.Override{Hold: hold, Kind: role, Started: cold, Why: "changes from " + r.From + " to " + r.To + ": " + string(r.Step)}
	}
	c.opt.Keeper.With(func(b *roster.Book, now time.Time) { b.Override(now, over) })
	c.opt.Keeper.Flush()
	c.mu.Lock()
	c.records, c.recordsRead = records, true
	var say []rolechange.Record
	for id := range c.confirmed {
		if _, on := records[id]; !on {
			delete(c.confirmed, id)
		}
	}
	for id, r := range records {
		if !c.confirmed[id].Equal(r.BegunAt) {
			say = append(say, r.Record)
		}
	}
	c.mu.Unlock()
	gateway := c.opt.GatewayName()
	for _, r := range say {
		c.opt.Log.Info("a change of role is held to", "engine", r.Engine, "from", r.From, "to", r.To, "step", string(r.Step))
		if gateway == "" || client.Write(ctx, c.confirmationPrefix(r.Engine)+gateway, []byte(r.BegunAt.Format(time.RFC3339Nano))) != nil {
			continue // the owner waits no longer than it has to
		}
		c.mu.Lock()
		c.confirmed[r.Engine] = r.BegunAt
		c.mu.Unlock()
	}
}
