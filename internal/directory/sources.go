package directory

import (
	"errors"
	"syscall"
	"time"

	"wellgw/decide/roster"
	"wellgw/internal/config"
	"wellgw/internal/core"
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

// ObservedTransport are engines whose refused connections a directory learns of: they tell a
// restart from a check that flapped.
type ObservedTransport struct {
	core.Transport
	OnRefused func(id, addr string)
}

// Start makes an attempt; see core.Engine.
func (w ObservedTransport) Start(a core.Attempt, first func(core.Stream), ended func(core.Result)) core.Handle {
	return w.Transport.Start(a, first, func(r core.Result) {
		if errors.Is(r.Cause, syscall.ECONNREFUSED) {
			w.OnRefused(a.Endpoint.Name, a.Endpoint.Addr)
		}
		ended(r)
	})
}
