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
	"wellgw/internal/requestids"
	"wellgw/internal/upstream"
	"wellgw/routing"
)

// front is an HTTP API on top of the core.
type front interface {
	http.Handler
	// SetService sets the service state that decides how later requests are answered.
	SetService(s lifecycle.Service)
}

// gateway is the configuration of one gateway process: everything that differs between the platform and
// an operator's machine. newPlatformGateway and newChatGateway create it; run serves with it. The fields
// don't change while it runs; only the contents of status do.
type gateway struct {
	log     *slog.Logger
	name    string // part of the ejection file's name; "" for no such file
	listen  string // clients' address, unused if a socket is inherited
	control string // address of the control listener; "" for none

	limits    config.Limits
	gcPercent int // see applyRuntimeLimits; 0 for defaultGCPercent

	settings   routing.Settings
	seed       uint64 // of the router's random choices
	coreLimits core.Limits
	pool       upstream.Options
	dialect    func(kind string) upstream.Dialect

	newFront func(*core.Core, *clientconn.Budget) front
	// newDirectory is called once, before newFront.
	newDirectory func(*core.Core) (engineDirectory, error)

	requestIDs *requestids.Store // of requests that must not run twice; nil if clients do not choose them

	maxFirstTokenWait time.Duration // longest client deadline for a first token in the settings
	killTimeKnown     bool          // the platform sends SIGKILL at a known time after SIGTERM; elsewhere the time is unknown
	clientsResume     bool          // clients can resume a stream that is cut off

	status *status
}

// engineDirectory provides a gateway's engines and its link to the other gateways that share them.
type engineDirectory struct {
	core.Directory
	// run returns once ctx is done and all goroutines that it started have returned.
	run func(ctx context.Context)
	// reload rereads the configuration and applies it; after an error nothing has changed.
	reload func(ctx context.Context, process *supervisor) error
	// announceLeave notifies the peers that this gateway is shutting down; nil without peers.
	announceLeave func()
	// observe wraps the transport so that the directory sees the outcome of attempts; nil for no wrapper.
	observe func(core.Transport) core.Transport
}

// status is the part of a running gateway's state that other goroutines than the serving one may read.
type status struct {
	listenAddress atomic.Pointer[string]              // nil before it serves
	gateways      atomic.Int64                        // gateways that share the engines; 0 if unknown
	clients       atomic.Pointer[clientconn.Listener] // nil before newServer
}

// address returns the address that clients connect to, "" before the gateway serves.
func (s *status) address() string {
	if address := s.listenAddress.Load(); address != nil {
		return *address
	}
	return ""
}

// gatewayCount returns the number of gateways that share the engines.
func (s *status) gatewayCount() int { return int(s.gateways.Load()) }
