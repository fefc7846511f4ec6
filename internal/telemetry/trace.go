package telemetry

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"wellgw/decide/rolechange"
	"wellgw/internal/core"
	"wellgw/internal/peers"
	"wellgw/routing"
)

// Tracer writes spans. All spans of a request share one trace, by its wire id; so do
// those of a change of role, whichever owners worked on it, by engine and beginning.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
}

// NewTracer returns a tracer that writes one JSON object a span to w, some time later
// and never in the way of a request; share is the part of the requests that is traced.
func NewTracer(w io.Writer, gateway string, share float64) (*Tracer, error) {
	out, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, fmt.Errorf("traces: %w", err)
	}
	p := sdk.NewTracerProvider(
		sdk.WithBatcher(out), sdk.WithSampler(sdk.TraceIDRatioBased(share)),
		sdk.WithResource(resource.NewSchemaless(attribute.String("service.name", "wellgw"), attribute.String("service.instance.id", gateway))),
	)
	return &Tracer{provider: p, tracer: p.Tracer("wellgw")}, nil
}

// Close writes what has not been written.
func (t *Tracer) Close(ctx context.Context) error { return t.provider.Shutdown(ctx) }

// within returns a context whose spans belong to the trace of a name.
func within(name string) context.Context {
	var id trace.TraceID
	var span trace.SpanID
	binary.BigEndian.PutUint64(id[:8], xxhash.Sum64String(name))
	binary.BigEndian.PutUint64(id[8:], xxhash.Sum64String("wellgw "+name))
	binary.BigEndian.PutUint64(span[:], xxhash.Sum64String("root "+name))
	return trace.ContextWithRemoteSpanContext(context.Background(), trace.NewSpanContext(trace.SpanContextConfig{TraceID: id, SpanID: span, Remote: true}))
}

// span writes one span that is over.
func (t *Tracer) span(ctx context.Context, name string, from, to time.Time, failed string, attrs ...attribute.KeyValue) {
	_, s := t.tracer.Start(ctx, name, trace.WithTimestamp(from), trace.WithAttributes(attrs...))
	if failed != "" {
		s.SetStatus(codes.Error, failed)
	}
	s.End(trace.WithTimestamp(to))
}

// Answered writes a request from its arrival to its one final answer; see core.Observer.
func (t *Tracer) Answered(q core.Request, a core.Answer, verdict string) {
	failed := ""
	if a.Verdict != core.Streaming {
		failed = verdict
		if a.Cause != nil {
			failed += ": " + a.Cause.Error()
		}
	}
	t.span(within("request "+q.ClientRequestID), "request", q.Arrived, time.Now(), failed,
		attribute.String("class", q.Class), attribute.String("team", q.Tenant), attribute.Int("prompt_tokens", q.PromptTokens), attribute.String("answer", verdict))
}

// WrapTransport wraps engines so that every attempt and every release is a span.
func (t *Tracer) WrapTransport(e core.Transport) core.Transport { return traced{e, t} }

type traced struct {
	core.Transport
	tracer *Tracer
}

// Start makes an attempt; see core.Transport.
func (e traced) Start(a core.Attempt, first func(core.Stream), ended func(core.Result)) core.Handle {
	begun := time.Now()
	note := func(what, failed string) {
		e.tracer.span(within("request "+a.ClientRequestID), what, begun, time.Now(), failed,
			attribute.String("engine", a.Endpoint.Name), attribute.String("role", a.Endpoint.Kind), attribute.Int("attempt", a.Number))
	}
	return e.Transport.Start(a, func(s core.Stream) {
		note("attempt, to its first event", "")
		first(s)
	}, func(r core.Result) {
		failed := ""
		if r.Status != routing.StatusPrefilled {
			failed = fmt.Sprint("status ", r.Status, ": ", r.Cause)
		}
		note("attempt", failed)
		ended(r)
	})
}

// Release lets go of what is held; see core.Transport.
func (e traced) Release(r core.Release, done func(error)) (stop func()) {
	begun := time.Now()
	return e.Transport.Release(r, func(err error) {
		failed := ""
		if err != nil {
			failed = err.Error()
		}
		e.tracer.span(within("request "+r.ClientRequestID), "release", begun, time.Now(), failed, attribute.String("engine", r.Endpoint.Name))
		done(err)
	})
}

// RoleChangeStep writes one step of a change of role that is over.
func (t *Tracer) RoleChangeStep(r rolechange.Record, to time.Time, why string) {
	t.span(within("change "+r.Engine+" "+r.StartedAt.UTC().Format(time.RFC3339Nano)), "change of role: "+string(r.Step), r.StepStartedAt, to, "",
		attribute.String("engine", r.Engine), attribute.String("from", r.From), attribute.String("to", r.To),
		attribute.String("owner", r.Leader), attribute.Int64("fence", int64(r.FencingToken)), attribute.String("why", why))
}

// MemberEvent writes how a gateway of the tier has stood until now, as this one sees it. All that
// any gateway writes of one life of another is one trace.
func (t *Tracer) MemberEvent(e peers.Event) {
	failed := ""
	if e.To == "dead" {
		failed = "held for dead"
	}
	t.span(within(fmt.Sprint("member ", e.Gateway, " ", e.Incarnation)), "member: "+cmp.Or(e.From, "not known")+" to "+e.To, e.Since, time.Now(), failed,
		attribute.String("gateway", e.Gateway), attribute.Int64("incarnation", int64(e.Incarnation)), attribute.Int64("silent_ms", e.UnresponsiveFor.Milliseconds()),
		attribute.Bool("one_way", e.OneWay), attribute.Int("accusers", e.SuspectedBy), attribute.Int("distrust", e.LocalHealth), attribute.Int64("own_pauses", int64(e.Pauses)))
}
