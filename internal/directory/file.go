package directory

import (
	"time"

	"wellgw/decide/roster"
	"wellgw/internal/config"
)

// ReplaceFileEngines replaces the engines from the operator's file. The file is an ordinary source,
// except that it is always trusted.
func ReplaceFileEngines(d *Directory, o *config.Operator) {
	source := roster.Source{Origin: roster.File}
	var view roster.View
	for _, e := range o.Engines {
		zone := e.Zone
		if zone == "" {
			zone = o.Zone
		}
		view.Entries = append(view.Entries, roster.Entry{ID: e.ID, Addr: e.Address, Kind: e.Role, Zone: zone, Cell: e.Cell})
	}
	d.With(func(r *roster.Registry, now time.Time) {
		if len(view.Entries) == 0 { // deliberate, so the limits on lost engines don't apply
			r.RemoveSource(now, source, "the file names no engine")
			return
		}
		r.ReplaceSource(now, source, view)
	})
}
