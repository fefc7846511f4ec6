package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"time"

	"wellgw/decide/lifecycle"
	"wellgw/internal/clientconn"
	"wellgw/internal/core"
)

// supervisor owns the state of the process: it passes every event that may change the state to
// lifecycle.Process and executes the actions that this returns. Nothing else closes the listener, ends
// connections at a drain or shutdown, or aborts requests.
type supervisor struct {
	process       *lifecycle.Process
	clients       *clientconn.Listener
	front         front
	core          *core.Core
	httpServer    *http.Server
	announceLeave func() // see engineDirectory.announceLeave
	log           *slog.Logger

	events chan postedEvent
	ended  chan struct{}  // closed when run returns
	tasks  sync.WaitGroup // goroutines that execute actions; see wait
}

// postedEvent is an event, its cause for the log and a channel for the result.
type postedEvent struct {
	event    lifecycle.Event
	cause    string
	accepted chan<- bool // nil if no caller waits
}

func newSupervisor(s *server, limits lifecycle.Limits) *supervisor {
	return &supervisor{
		process: lifecycle.New(limits), clients: s.clients, front: s.front, core: s.core, httpServer: s.httpServer,
		announceLeave: s.directory.announceLeave, log: s.log,
		events: make(chan postedEvent), ended: make(chan struct{}),
	}
}

// post submits an event and reports whether the process accepted it; false once the process has ended.
func (s *supervisor) post(ctx context.Context, event lifecycle.Event, cause string) bool {
	accepted := make(chan bool, 1)
	select {
	case s.events <- postedEvent{event, cause, accepted}:
		return <-accepted
	case <-s.ended:
	case <-ctx.Done():
	}
	return false
}

var errListenerLost = errors.New("client listener lost: no new connections can be accepted")

// run handles events until the process has ended. terminate delivers the signals that start a shutdown,
// failed the error with which the server stopped accepting connections.
func (s *supervisor) run(ctx context.Context, terminate <-chan os.Signal, failed <-chan error) error {
	defer close(s.ended)
	tick := time.NewTimer(time.Hour) // a placeholder; reset once a tick is scheduled
	defer tick.Stop()
	for s.process.State() != lifecycle.Ended {
		if next := s.process.NextTick(); !next.IsZero() {
			tick.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case posted := <-s.events:
			s.handle(ctx, posted)
		case sig := <-terminate:
			s.handle(ctx, postedEvent{event: lifecycle.Terminate{}, cause: sig.String()})
		case err := <-failed:
			failed = nil // the channel delivers at most one error
			s.handleServeError(ctx, err)
		case <-tick.C:
			s.handle(ctx, postedEvent{event: lifecycle.Tick{}, cause: "time"})
		}
	}
	s.log.Info("shutdown complete", "counts", s.core.Counts(ctx), "closes", s.clients.CloseCounts())
	if s.process.LostListener() {
		return errListenerLost
	}
	return nil
}

// handleServeError handles the error with which the server stopped accepting connections. It is ignored
// if the process closed the listener itself.
func (s *supervisor) handleServeError(ctx context.Context, err error) {
	if !s.process.Service().Listening {
		return
	}
	s.log.Error("listener lost", "cause", err)
	s.handle(ctx, postedEvent{event: lifecycle.ListenerLost{}, cause: fmt.Sprint("listener lost: ", err)})
}

// handle passes one event to the process, publishes the resulting state and executes the actions.
func (s *supervisor) handle(ctx context.Context, posted postedEvent) {
	before := s.process.Service()
	actions, accepted := s.process.Handle(time.Now(), posted.event)
	after := s.process.Service()
	if before != after {
		s.front.SetService(after)
		s.clients.SetService(after)
		s.logStateChange(before, after, posted.cause)
	}
	if posted.accepted != nil {
		posted.accepted <- accepted
	}
	for _, action := range actions {
		s.execute(ctx, action)
	}
	if terminates(before, after) && s.announceLeave != nil {
		s.announceLeave()
	}
}

// terminates reports whether a shutdown began between two states of the service.
func terminates(before, after lifecycle.Service) bool {
	return before.State < lifecycle.Terminating && after.State >= lifecycle.Terminating
}

// logStateChange logs a state change and its cause.
func (s *supervisor) logStateChange(before, after lifecycle.Service, cause string) {
	s.log.Info("state", "from", before.State, "to", after.State, "cause", cause, "draining", after.Draining,
		"healthy", after.Healthy, "listening", after.Listening, "reusable", after.KeepAlive)
	switch {
	case terminates(before, after):
		s.log.Info("shutdown started")
	case before.State < lifecycle.Releasing && after.State == lifecycle.Releasing:
		s.log.Warn("shutdown deadline exceeded")
	}
}

// execute executes one action without blocking: operations that may block run in a goroutine, so that
// run goes on handling events.
func (s *supervisor) execute(ctx context.Context, action lifecycle.Action) {
	switch action {
	case lifecycle.StopListening:
		_ = s.clients.Close()
	case lifecycle.AwaitClientsIdle:
		s.tasks.Go(func() { s.awaitClientsIdle(ctx) })
	case lifecycle.AwaitWorkCompleted:
		s.tasks.Go(func() { s.awaitWorkCompleted(ctx) })
	case lifecycle.RejectWaiting:
		s.tasks.Go(func() { s.core.NotifyShutdown(false) })
	case lifecycle.FailWaiting:
		s.tasks.Go(func() { s.core.NotifyShutdown(true) })
	case lifecycle.AbortStreams:
		s.tasks.Go(func() { _ = s.httpServer.Close() })
	case lifecycle.Exit: // run returns because of the state
	}
}

// wait waits for the goroutines of actions. Each of them returns when the context of run is done, when
// run returns or when the core has stopped.
func (s *supervisor) wait() { s.tasks.Wait() }

// clientsIdlePeriod is the time without requests after which all clients count as having noticed the
// shutdown.
const clientsIdlePeriod = time.Second

// awaitClientsIdle posts ClientsIdle once no request has arrived or been in flight for
// clientsIdlePeriod.
func (s *supervisor) awaitClientsIdle(ctx context.Context) {
	for {
		idle := s.core.IdleFor(ctx)
		if idle >= clientsIdlePeriod {
			s.post(ctx, lifecycle.ClientsIdle{}, "clients idle")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-s.ended:
			return
		case <-time.After(clientsIdlePeriod - idle):
		}
	}
}

// awaitWorkCompleted posts WorkCompleted once all client connections have ended and then all requests and
// releases have. The wait has no timeout here; the state that started it limits its duration.
func (s *supervisor) awaitWorkCompleted(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() { // returns when awaitWorkCompleted calls stop
		select {
		case <-s.ended:
			stop()
		case <-ctx.Done():
		}
	}()
	if s.clients.Wait(ctx) != nil || s.core.Drain(ctx) != nil {
		return
	}
	s.post(ctx, lifecycle.WorkCompleted{}, "all done")
}
