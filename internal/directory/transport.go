package directory

import (
	"errors"
	"syscall"

	"wellgw/internal/core"
)

// ObservedTransport reports attempts whose connection was refused. A refusal distinguishes the
// restart of an engine from a flapping health check.
type ObservedTransport struct {
	core.Transport
	OnRefused func(id, addr string)
}

// Start implements core.Transport.
func (t ObservedTransport) Start(a core.Attempt, first func(core.Stream), ended func(core.Result)) core.Handle {
	return t.Transport.Start(a, first, func(r core.Result) {
		if errors.Is(r.Cause, syscall.ECONNREFUSED) {
			t.OnRefused(a.Endpoint.Name, a.Endpoint.Addr)
		}
		ended(r)
	})
}
