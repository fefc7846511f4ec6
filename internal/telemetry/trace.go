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

// Tracer writes spans. All spans of a request share one trace, which is derived from the request's id
// on the wire. All spans of a role change share one trace, even if several leaders worked on it; it is
// derived from the engine and the start time of the change.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
}

// NewTracer returns a tracer that writes one JSON object per span to w. Spans are written in batches in
// the background, so tracing does not delay requests. fraction is the fraction of traces that is
// sampled.
func NewTracer(w io.Writer, gateway string, fraction float64) (*Tracer, error) {
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, fmt.Errorf("traces: %w", err)
	}
	p := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter), sdk.WithSampler(sdk.TraceIDRatioBased(fraction)),
		sdk.WithResource(resource.NewSchemaless(attribute.String("service.name", "wellgw"), attribute.String("service.instance.id", gateway))),
	)
	return &Tracer{provider: p, tracer: p.Tracer("wellgw")}, nil
}

// Close writes the buffered spans and stops the tracer.
func (t *Tracer) Close(ctx context.Context) error { return t.provider.Shutdown(ctx) }

// traceContext returns a context whose spans belong to the trace that is derived from a name.
func traceContext(name string) context.Context {
	var id trace.TraceID
	var span trace.SpanID
	binary.BigEndian.PutUint64(id[:8], xxhash.Sum64String(name))
	binary.BigEndian.PutUint64(id[8:], xxhash.Sum64String("wellgw "+name))
	binary.BigEndian.PutUint64(span[:], xxhash.Sum64String("root "+name))
	return trace.ContextWithRemoteSpanContext(context.Background(), trace.NewSpanContext(trace.SpanContextConfig{TraceID: id, SpanID: span, Remote: true}))
}

// span writes one completed span. It has the status error if failure is not empty.
func (t *Tracer) span(ctx context.Context, name string, from, to time.Time, failure string, attrs ...attribute.KeyValue) {
	_, s := t.tracer.Start(ctx, name, trace.WithTimestamp(from), trace.WithAttributes(attrs...))
	if failure != "" {
		s.SetStatus(codes.Error, failure)
	}
	s.End(trace.WithTimestamp(to))
}

// Answered writes the span of a request, from its arrival to its final answer; see core.Observer.
func (t *Tracer) Answered(q core.Request, a core.Answer, verdict string) {
	failure := ""
	if a.Verdict != core.Streaming {
		failure = verdict
		if a.Cause != nil {
			failure += ": " + a.Cause.Error()
		}
	}
	t.span(traceContext("request "+q.ClientRequestID), "request", q.Arrived, time.Now(), failure,
		attribute.String("class", q.Class), attribute.String("team", q.Tenant), attribute.Int("prompt_tokens", q.PromptTokens), attribute.String("answer", verdict))
}

// WrapTransport returns a transport that writes a span for each attempt and each release.
func (t *Tracer) WrapTransport(e core.Transport) core.Transport { return tracedTransport{e, t} }

type tracedTransport struct {
	core.Transport
	tracer *Tracer
}

// Start starts an attempt; see core.Transport. Its spans are written at the first event and at the end.
func (e tracedTransport) Start(a core.Attempt, first func(core.Stream), ended func(core.Result)) core.Handle {
	startedAt := time.Now()
	writeSpan := func(name, failure string) {
		e.tracer.span(traceContext("request "+a.ClientRequestID), name, startedAt, time.Now(), failure,
			attribute.String("engine", a.Endpoint.Name), attribute.String("role", a.Endpoint.Kind), attribute.Int("attempt", a.Number))
	}
	return e.Transport.Start(a, func(s core.Stream) {
		writeSpan("attempt, to its first event", "")
		first(s)
	}, func(r core.Result) {
		failure := ""
		if r.Status != routing.StatusPrefilled {
			failure = fmt.Sprint("status ", r.Status, ": ", r.Cause)
		}
		writeSpan("attempt", failure)
		ended(r)
	})
}

// Release sends a release and writes its span when it is done; see core.Transport.
func (e tracedTransport) Release(r core.Release, done func(error)) (stop func()) {
	startedAt := time.Now()
	return e.Transport.Release(r, func(err error) {
		failure := ""
		if err != nil {
			failure = err.Error()
		}
		e.tracer.span(traceContext("request "+r.ClientRequestID), "release", startedAt, time.Now(), failure, attribute.String("engine", r.Endpoint.Name))
		done(err)
	})
}

// RoleChangeStep writes the span of a completed step of a role change.
func (t *Tracer) RoleChangeStep(r rolechange.Record, endedAt time.Time, reason string) {
	t.span(traceContext("change "+r.Engine+" "+r.StartedAt.UTC().Format(time.RFC3339Nano)), "change of role: "+string(r.Step), r.StepStartedAt, endedAt, "",
		attribute.String("engine", r.Engine), attribute.String("from", r.From), attribute.String("to", r.To),
		attribute.String("owner", r.Leader), attribute.Int64("fence", int64(r.FencingToken)), attribute.String("why", reason))
}

// MemberEvent writes the span of a status that another gateway of the tier had until now, as this
// gateway saw it. The spans that all gateways write about one incarnation of a gateway share one trace.
func (t *Tracer) MemberEvent(e peers.Event) {
	failure := ""
	if e.To == "dead" {
		failure = "held for dead"
	}
	t.span(traceContext(fmt.Sprint("member ", e.Gateway, " ", e.Incarnation)), "member: "+cmp.Or(e.From, "not known")+" to "+e.To, e.Since, time.Now(), failure,
		attribute.String("gateway", e.Gateway), attribute.Int64("incarnation", int64(e.Incarnation)), attribute.Int64("silent_ms", e.UnresponsiveFor.Milliseconds()),
		attribute.Bool("one_way", e.OneWay), attribute.Int("accusers", e.SuspectedBy), attribute.Int("distrust", e.LocalHealth), attribute.Int64("own_pauses", int64(e.Pauses)))
}
