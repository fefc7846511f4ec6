package main

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"wellgw/decide/lifecycle"
	"wellgw/internal/clientconn"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/upstream"
	"wellgw/routing"
)

// front is an HTTP API in front of the core.
type front interface {
	http.Handler
	// SetService applies what clients get from now on.
	SetService(s lifecycle.Service)
}

// gateway is the configuration of one gateway process: all that differs between the platform and
// an operator's machine. newPlatformGateway and newChatGateway make it, and run serves by it. Its
// fields do not change while it runs; status does.
type gateway struct {
	log     *slog.Logger
	name    string // names the ejection file; "" keeps none
	listen  string // where clients connect, unless a socket is inherited
	control string // address of the control listener; "" for none

	limits    config.Limits
	gcPercent int // see applyRuntimeLimits; 0 for defaultGCPercent

	settings   routing.Settings
	seed       uint64 // of the router's random draws
	coreLimits core.Limits
	pool       upstream.Options
	dialect    func(kind string) upstream.Dialect

	newFront func(*core.Core, *clientconn.Budget) front
	// newDirectory is called once, before newFront.
	newDirectory func(*core.Core) (engineDirectory, error)

	maxWait       time.Duration // the longest that any client waits for its first token, by the settings
	killKnown     bool          // SIGKILL follows SIGTERM by the platform's clock; elsewhere its time is unknown
	clientsResume bool          // clients ask for the rest of a stream that is cut off

	status *status
}

// engineDirectory tells a gateway of its engines, and of the other gateways that share them.
type engineDirectory struct {
	core.Directory
	// run works until ctx ends and everything that it started has ended.
	run func(ctx context.Context)
	// reload reads the configuration again and applies it; an error means that nothing changed.
	reload func(ctx context.Context, process *supervisor) error
	// leave tells the other gateways that this one is about to end; nil where there is nobody to tell.
	leave func()
	// observe wraps the engines, so that the directory learns from attempts; nil leaves them.
	observe func(core.Transport) core.Transport
}

// status is what a running gateway shows to goroutines other than the one that serves.
type status struct {
	listenAddress atomic.Pointer[string]              // nil before it serves
	gateways      atomic.Int64                        // that share the engines; 0 where nobody counts them
	clients       atomic.Pointer[clientconn.Listener] // nil before it serves
}

// address is where the gateway serves, "" before it does.
func (s *status) address() string {
	if address := s.listenAddress.Load(); address != nil {
		return *address
	}
	return ""
}

// sharing is how many gateways share the engines.
func (s *status) sharing() int { return int(s.gateways.Load()) }
