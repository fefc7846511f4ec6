package directory

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"wellgw/decide/roster"
	"wellgw/internal/lastview"
)

// restore initializes the registry from the last good view on disk, if there is one.
func (d *Directory) restore() {
	v, err := lastview.Load(d.opt.StateFile)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return
	case errors.Is(err, lastview.ErrDamaged):
		renamed, renameErr := lastview.RenameDamaged(d.opt.StateFile, time.Now())
		d.opt.Log.Error("last good view damaged, set aside", "file", renamed, "cause", errors.Join(err, renameErr))
		return
	case err != nil:
		d.opt.Log.Error("last good view unreadable", "file", d.opt.StateFile, "cause", err)
		return
	}
	d.opt.Log.Info("last good view loaded", "file", d.opt.StateFile, "age", time.Since(v.SavedAt).Round(time.Millisecond).String())
	d.With(func(r *roster.Registry, now time.Time) { r.Restore(now, v.Entries, v.IndexBySource()) })
}

// save writes the last good view as it changes, and a last time when ctx is done.
func (d *Directory) save(ctx context.Context) {
	if d.opt.StateFile == "" {
		return
	}
	t := time.NewTicker(saveInterval)
	defer t.Stop()
	failed, savedAt := false, time.Time{}
	for ended := false; !ended; {
		select {
		case <-ctx.Done():
			ended = true
		case <-t.C:
		}
		view, due := d.snapshotIfDue(savedAt)
		if !due {
			continue
		}
		savedAt = view.SavedAt
		err := lastview.Save(d.opt.StateFile, view)
		if err != nil && !failed { // only the first in a row, so that a full disk does not flood the log
			d.opt.Log.Error("last good view not saved", "file", d.opt.StateFile, "cause", err)
		}
		if failed = err != nil; !failed {
			d.mu.Lock()
			d.stats.Saves++
			d.mu.Unlock()
		}
	}
}

// snapshotIfDue returns the last good view if it has changed or was saved at least maxSnapshotAge
// ago.
func (d *Directory) snapshotIfDue(savedAt time.Time) (view lastview.View, due bool) {
	d.mu.Lock()
	if !d.unsaved && time.Since(savedAt) < maxSnapshotAge {
		d.mu.Unlock()
		return lastview.View{}, false
	}
	d.unsaved = false
	entries, indexes := d.registry.Snapshot()
	d.mu.Unlock()
	view = lastview.View{SavedAt: time.Now(), Entries: entries}
	for source, index := range indexes {
		view.Indexes = append(view.Indexes, lastview.Index{Source: source, Index: index})
	}
	return view, true
}
