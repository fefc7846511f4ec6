package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"time"

	"wellgw/decide/lifecycle"
	"wellgw/internal/clientconn"
	"wellgw/internal/core"
)

// supervisor owns the state of the process: it takes every event that bears on it, has
// lifecycle.Process decide, and carries out what that says. Nothing else closes the listener,
// has connections end or gives up requests.
type supervisor struct {
	process *lifecycle.Process
	clients *clientconn.Listener
	front   front
	core    *core.Core
	server  *http.Server
	depart  func() // tells the other gateways that this one is about to end; nil for none
	log     *slog.Logger

	events chan posted
	ended  chan struct{} // closed at the end of run
}

// posted is an event with its cause, for the log, and where the answer to it is wanted.
type posted struct {
	event    lifecycle.Event
	cause    string
	accepted chan<- bool // nil for nobody waits
}

func newSupervisor(limits lifecycle.Limits, clients *clientconn.Listener, f front, c *core.Core, server *http.Server, depart func(), log *slog.Logger) *supervisor {
	return &supervisor{
		process: lifecycle.New(limits), clients: clients, front: f, core: c, server: server, depart: depart, log: log,
		events: make(chan posted), ended: make(chan struct{}),
	}
}

// post has an event decided on and returns whether it was accepted; false once the process has ended.
func (s *supervisor) post(ctx context.Context, event lifecycle.Event, cause string) bool {
	accepted := make(chan bool, 1)
	select {
	case s.events <- posted{event, cause, accepted}:
		return <-accepted
	case <-s.ended:
	case <-ctx.Done():
	}
	return false
}

var errListenerLost = errors.New("clients can't be accepted any more")

// run decides on events until the process has ended. term brings signals that tell it to, failed
// the error with which the server stopped accepting.
func (s *supervisor) run(ctx context.Context, term <-chan os.Signal, failed <-chan error) error {
	defer close(s.ended)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for s.process.State() != lifecycle.Ended {
		if next := s.process.NextTick(); !next.IsZero() {
			alarm.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case p := <-s.events:
			s.handle(ctx, p)
		case sig := <-term:
			s.handle(ctx, posted{event: lifecycle.Terminate{}, cause: sig.String()})
		case err := <-failed:
			failed = nil // there is one such error at most
			if s.process.Service().Listening {
				s.log.Error("listener lost", "cause", err)
				s.handle(ctx, posted{event: lifecycle.ListenerLost{}, cause: fmt.Sprint("listener lost: ", err)})
			}
		case <-alarm.C:
			s.handle(ctx, posted{event: lifecycle.Tick{}, cause: "time"})
		}
	}
	s.log.Info("left", "counts", s.core.Counts(ctx), "closes", s.clients.Closes())
	if s.process.LostListener() {
		return errListenerLost
	}
	return nil
}

// handle has the process decide on one event, and carries the decision out.
func (s *supervisor) handle(ctx context.Context, p posted) {
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
		s.act(ctx, action)
	}
	if before.State < lifecycle.Leaving && after.State >= lifecycle.Leaving && s.depart != nil {
		s.depart()
	}
}

// logChange writes a change of state and its cause.
func (s *supervisor) logChange(before, after lifecycle.Service, cause string) {
	s.log.Info("state", "from", before.State, "to", after.State, "cause", cause, "draining", after.Draining,
		"healthy", after.Healthy, "listening", after.Listening, "reusable", after.Reusable)
	switch {
	case before.State < lifecycle.Leaving && after.State >= lifecycle.Leaving:
		s.log.Info("leaving")
	case before.State < lifecycle.Releasing && after.State == lifecycle.Releasing:
		s.log.Warn("time is up")
	}
}

// act carries out one action. None of them waits.
func (s *supervisor) act(ctx context.Context, action lifecycle.Action) {
	switch action {
	case lifecycle.StopListening:
		_ = s.clients.Close()
	case lifecycle.AwaitClientsIdle:
		go s.awaitQuiet(ctx)
	case lifecycle.AwaitAllDone:
		go s.awaitIdle(ctx)
	case lifecycle.RejectWaiting:
		go s.core.Abandon(false)
	case lifecycle.FailWaiting:
		go s.core.Abandon(true)
	case lifecycle.AbortStreams:
		go s.server.Close()
	case lifecycle.Exit:
	}
}

// awaitQuiet tells once no request has come, and none has been in hand, for quietFor.
func (s *supervisor) awaitQuiet(ctx context.Context) {
	for {
		quiet := s.core.IdleFor(ctx)
		if quiet >= quietFor {
			s.post(ctx, lifecycle.ClientsIdle{}, "clients have noticed")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-s.ended:
			return
		case <-time.After(quietFor - quiet):
		}
	}
}

// awaitIdle tells once all connections have ended, and then all requests and releases. The state
// that began the wait bounds it.
func (s *supervisor) awaitIdle(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-s.ended:
			stop()
		case <-ctx.Done():
		}
	}()
	if s.clients.Wait(ctx) != nil || s.core.Drain(ctx) != nil {
		return
	}
	s.post(ctx, lifecycle.AllDone{}, "all has ended")
}
