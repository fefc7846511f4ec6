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

// supervisor owns the state of the process: it takes every event that bears on it, has
// lifecycle.Process decide, and carries out the actions that this returns. Nothing else closes the
// listener, has connections end or gives up requests.
type supervisor struct {
	process    *lifecycle.Process
	clients    *clientconn.Listener
	front      front
	core       *core.Core
	httpServer *http.Server
	leave      func() // tells the other gateways that this one is about to end; nil for none
	log        *slog.Logger

	events chan postedEvent
	ended  chan struct{}  // closed at the end of run
	tasks  sync.WaitGroup // goroutines of actions; wait waits for them
}

// postedEvent is an event with its cause, for the log, and where the answer to it is wanted.
type postedEvent struct {
	event    lifecycle.Event
	cause    string
	accepted chan<- bool // nil where nobody waits
}

func newSupervisor(s *server, limits lifecycle.Limits) *supervisor {
	return &supervisor{
		process: lifecycle.New(limits), clients: s.clients, front: s.front, core: s.core, httpServer: s.httpServer,
		leave: s.directory.leave, log: s.log,
		events: make(chan postedEvent), ended: make(chan struct{}),
	}
}

// post has an event decided on and returns whether it was accepted; false once the process has ended.
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

var errListenerLost = errors.New("clients can't be accepted any more")

// run decides on events until the process has ended. terminate brings signals that tell it to,
// failed the error with which the server stopped accepting.
func (s *supervisor) run(ctx context.Context, terminate <-chan os.Signal, failed <-chan error) error {
	defer close(s.ended)
	tick := time.NewTimer(time.Hour) // reset before its first use
	defer tick.Stop()
	for s.process.State() != lifecycle.Ended {
		if next := s.process.NextTick(); !next.IsZero() {
			tick.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case p := <-s.events:
			s.handle(ctx, p)
		case sig := <-terminate:
			s.handle(ctx, postedEvent{event: lifecycle.Terminate{}, cause: sig.String()})
		case err := <-failed:
			failed = nil // there is one such error at most
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

// handleServeError takes the error that ended accepting. It is expected where the process has
// stopped listening by itself.
func (s *supervisor) handleServeError(ctx context.Context, err error) {
	if !s.process.Service().Listening {
		return
	}
	s.log.Error("listener lost", "cause", err)
	s.handle(ctx, postedEvent{event: lifecycle.ListenerLost{}, cause: fmt.Sprint("listener lost: ", err)})
}

// handle has the process decide on one event, and carries the decision out.
func (s *supervisor) handle(ctx context.Context, p postedEvent) {
	before := s.process.Service()
	actions, accepted := s.process.Handle(time.Now(), p.event)
	after := s.process.Service()
	if before != after {
		s.front.SetService(after)
		s.clients.SetService(after)
		s.logChange(before, after, p.cause)
	}
	if p.accepted != nil {
		p.accepted <- accepted
	}
	for _, action := range actions {
		s.execute(ctx, action)
	}
	if terminates(before, after) && s.leave != nil {
		s.leave()
	}
}

// terminates tells whether the process was told to end between two states of its service.
func terminates(before, after lifecycle.Service) bool {
	return before.State < lifecycle.Terminating && after.State >= lifecycle.Terminating
}

// logChange logs a change of state and its cause.
func (s *supervisor) logChange(before, after lifecycle.Service, cause string) {
	s.log.Info("state", "from", before.State, "to", after.State, "cause", cause, "draining", after.Draining,
		"healthy", after.Healthy, "listening", after.Listening, "reusable", after.KeepAlive)
	switch {
	case terminates(before, after):
		s.log.Info("shutdown started")
	case before.State < lifecycle.Releasing && after.State == lifecycle.Releasing:
		s.log.Warn("shutdown deadline exceeded")
	}
}

// execute carries out one action. None of them waits: what may block runs in a task, so that
// events are decided on meanwhile.
func (s *supervisor) execute(ctx context.Context, action lifecycle.Action) {
	switch action {
	case lifecycle.StopListening:
		_ = s.clients.Close()
	case lifecycle.AwaitClientsIdle:
		s.tasks.Go(func() { s.awaitClientsIdle(ctx) })
	case lifecycle.AwaitWorkCompleted:
		s.tasks.Go(func() { s.awaitAllDone(ctx) })
	case lifecycle.RejectWaiting:
		s.tasks.Go(func() { s.core.NotifyShutdown(false) })
	case lifecycle.FailWaiting:
		s.tasks.Go(func() { s.core.NotifyShutdown(true) })
	case lifecycle.AbortStreams:
		s.tasks.Go(func() { _ = s.httpServer.Close() })
	case lifecycle.Exit: // run ends by the state
	}
}

// wait waits for the tasks. Each of them ends with the context of run, with run or with the core.
func (s *supervisor) wait() { s.tasks.Wait() }

// clientsIdlePeriod is how long no request must have come for clients to have noticed the
// shutdown.
const clientsIdlePeriod = time.Second

// awaitClientsIdle posts ClientsIdle once no request has come, and none has been in flight, for
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

// awaitAllDone posts WorkCompleted once all connections have ended, and then all requests and releases.
// The state that began the wait bounds it.
func (s *supervisor) awaitAllDone(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() { // ends with this function, by stop
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
