package directory

import (
	"errors"
	"syscall"

	"wellgw/internal/core"
)

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
