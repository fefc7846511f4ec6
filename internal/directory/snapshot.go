package directory

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"wellgw/decide/roster"
	"wellgw/internal/lastview"
)

func (d *Directory) restore() {
	v, err := lastview.Load(d.opt.StateFile)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return
	case errors.Is(err, lastview.ErrDamaged):
		aside, moved := lastview.SetAside(d.opt.StateFile, time.Now())
		d.opt.Log.Error("the last good view cannot be used and is set aside", "file", aside, "cause", errors.Join(err, moved))
		return
	case err != nil:
		d.opt.Log.Error("the last good view cannot be read", "file", d.opt.StateFile, "cause", err)
		return
	}
	d.opt.Log.Info("last good view read", "file", d.opt.StateFile, "age", time.Since(v.SavedAt).Round(time.Millisecond).String())
	d.With(func(b *roster.Registry, now time.Time) { b.Restore(now, v.Entries, v.IndexOf()) })
}

// save keeps the last good view as it changes, and its age from time to time.
func (d *Directory) save(ctx context.Context) {
	if d.opt.StateFile == "" {
		return
	}
	t := time.NewTicker(saveInterval)
	defer t.Stop()
	failed, written := false, time.Time{}
	for on := true; on; {
		select {
		case <-ctx.Done():
			on = false
		case <-t.C:
		}
		d.mu.Lock()
		if !d.unsaved && time.Since(written) < time.Minute {
			d.mu.Unlock()
			continue
		}
		d.unsaved = false
		entries, indexes := d.registry.Snapshot()
		d.mu.Unlock()
		v := lastview.View{SavedAt: time.Now(), Entries: entries}
		for src, n := range indexes {
			v.Indexes = append(v.Indexes, lastview.Index{Source: src, Index: n})
		}
		err := lastview.Save(d.opt.StateFile, v)
		written = v.SavedAt
		if err != nil && !failed { // a full disk is no reason to fill the log as well
			d.opt.Log.Error("the last good view is not kept", "file", d.opt.StateFile, "cause", err)
		}
		failed = err != nil
		if err == nil {
			d.mu.Lock()
			d.stats.Saves++
			d.mu.Unlock()
		}
	}
}
