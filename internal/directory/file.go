package directory

import (
	"time"

	"wellgw/decide/roster"
	"wellgw/internal/config"
)

// LoadFile has a keeper take the engines that an operator's file names. The file is a
// source like any other, and is always believed.
func LoadFile(d *Directory, o *config.Operator) {
	src := roster.Source{Origin: roster.File}
	var v roster.View
	for _, e := range o.Engines {
		zone := e.Zone
		if zone == "" {
			zone = o.Zone
		}
		v.Entries = append(v.Entries, roster.Entry{ID: e.ID, Addr: e.Address, Kind: e.Role, Zone: zone, Cell: e.Cell})
	}
	d.With(func(b *roster.Registry, now time.Time) {
		if len(v.Entries) == 0 { // an operator's own word: no rule about losses holds
			b.RemoveSource(now, src, "the file names no engine")
			return
		}
		b.ReplaceSource(now, src, v)
	})
}
