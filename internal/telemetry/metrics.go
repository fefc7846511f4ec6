// Package telemetry exports metrics for Prometheus, which are collected at each scrape, and
// OpenTelemetry traces. Both are disabled unless the operator's configuration file enables them.
package telemetry

import (
	"cmp"
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"wellgw/internal/admin"
	"wellgw/internal/peers"
	"wellgw/internal/rolectl"
)

// Path is the URL path of the metrics.
const Path = "/metrics"

// collector reads the views of the admin pages at each scrape. It has no cost between scrapes, and its
// values are consistent with the output of `wellgw engines` and `wellgw roles`.
type collector struct {
	Views

	engines, sourceAge, sourceUntrusted, gateways, events *prometheus.Desc
	directChecks, engineChanges                           *prometheus.Desc
	consulQueries, consulQueriesFailed, consulBytes       *prometheus.Desc
	leader, demand, capacity, expectedServed              *prometheus.Desc
	activeChanges, changeHistory                          *prometheus.Desc
	members, tierState, memberEvents, datagrams, dropped  *prometheus.Desc
}

// Views are the sources of the metrics.
type Views struct {
	Engines func() admin.View
	Roles   func() rolectl.Status // nil if engines do not change their roles
	Peers   func() peers.Status   // nil if the gateways of the tier do not exchange messages
}

// Handler returns the HTTP handler of the metrics page.
func Handler(views Views) http.Handler {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("wellgw_"+name, help, labels, nil)
	}
	c := &collector{
		Views:               views,
		engines:             desc("engines", "Engines by role, state and confidence.", "role", "state", "confidence"),
		sourceAge:           desc("source_believed_age_seconds", "Since a view of the source was believed; -1 if none was.", "source"),
		sourceUntrusted:     desc("source_in_doubt", "1 while the source is in doubt, by reason.", "source", "reason"),
		gateways:            desc("gateways", "Gateways that are held to share the engines."),
		events:              desc("events_total", "Requests, attempts, outcomes and answers.", "event"),
		directChecks:        desc("direct_checks_total", "Direct checks of engines."),
		engineChanges:       desc("engine_changes_total", "Engines told anew to the core."),
		consulQueries:       desc("consul_queries_total", "Queries to Consul since the configuration was read."),
		consulQueriesFailed: desc("consul_queries_failed_total", "Queries to Consul that failed."),
		consulBytes:         desc("consul_bytes_total", "Bytes of bodies from Consul."),
		leader:              desc("roles_owner", "1 if this gateway owns changes of role."),
		demand:              desc("roles_demand_engines", "Smoothed demand in engines, as the owner sees it.", "role"),
		capacity:            desc("roles_capacity_engines", "Engines in service, by power, as the owner sees them.", "role"),
		expectedServed:      desc("roles_service_foreseen", "Share of what is asked that is foreseen to be served in time."),
		activeChanges:       desc("roles_changes_under_way", "Changes of role by step.", "step"),
		changeHistory:       desc("roles_changes_remembered", "Changes of role that are remembered, by outcome; begun counts all.", "outcome"),
		members:             desc("tier_gateways", "Other gateways of the tier by standing; reach is one_way where only others reach them.", "standing", "reach"),
		tierState:           desc("tier", "The tier as this gateway sees it: epoch, sharing, minority, silenced, distrust.", "of"),
		memberEvents:        desc("tier_events_total", "What the gateway has seen of the tier: probes, unanswered, helped, suspected, refuted, died, pauses, namesakes, walks.", "event"),
		datagrams:           desc("tier_datagrams_total", "Datagrams between gateways.", "way"),
		dropped:             desc("tier_datagrams_dropped_total", "Datagrams that were dropped, by reason.", "reason"),
	}
	r := prometheus.NewRegistry()
	r.MustRegister(c)
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}

// Describe sends no descriptors, which makes the collector unchecked: the label values depend on the
// engines.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// emit sends one value of a metric.
type emit func(d *prometheus.Desc, value float64, labels ...string)

// Collect reads the views and sends the values of all metrics.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	count := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
	}
	c.collectEngines(c.Engines(), gauge, count)
	if c.Peers != nil {
		c.collectTier(c.Peers(), gauge, count)
	}
	if c.Roles != nil {
		c.collectRoles(c.Roles(), gauge)
	}
}

// engineGroup is a combination of label values by which engines are counted.
type engineGroup struct{ role, state, confidence string }

// collectEngines sends the metrics of engines, of the sources that list them, and of Consul queries.
func (c *collector) collectEngines(view admin.View, gauge, count emit) {
	engines := map[engineGroup]int{}
	for _, e := range view.Engines {
		engines[engineGroup{e.Role, e.State, e.Confidence}]++
	}
	for group, n := range engines {
		gauge(c.engines, float64(n), group.role, group.state, group.confidence)
	}
	for _, s := range view.Sources {
		gauge(c.sourceAge, float64(s.AgeMS)/1000, s.Source)
		if s.DistrustReason != "" {
			gauge(c.sourceUntrusted, 1, s.Source, s.DistrustReason)
		}
	}
	gauge(c.gateways, float64(view.Gateways))
	for event, n := range view.Counts {
		count(c.events, float64(n), strings.ReplaceAll(event, " ", "_"))
	}
	count(c.directChecks, float64(view.Stats.Probes))
	count(c.engineChanges, float64(view.Stats.Changes))
	count(c.consulQueries, float64(view.Consul.Queries))
	count(c.consulQueriesFailed, float64(view.Consul.Failed))
	count(c.consulBytes, float64(view.Consul.Bytes))
}

// collectRoles sends the metrics of the plan, which only the leader has, and of role changes.
func (c *collector) collectRoles(s rolectl.Status, gauge emit) {
	isLeader := 0.0
	if s.IsLeader {
		isLeader = 1
		for i, role := range []string{"read", "write"} {
			gauge(c.demand, s.Plan.Demand[i], role)
			gauge(c.capacity, s.Plan.Capacity[i], role)
		}
		gauge(c.expectedServed, s.Plan.Before.Mean)
	}
	gauge(c.leader, isLeader)
	steps, outcomes := map[string]int{}, map[string]int{}
	for _, r := range s.Changes {
		steps[string(r.Step)]++
	}
	for step, n := range steps {
		gauge(c.activeChanges, float64(n), step)
	}
	for _, e := range s.History {
		outcomes[cmp.Or(string(e.Outcome), "begun")]++
	}
	for outcome, n := range outcomes {
		gauge(c.changeHistory, float64(n), outcome)
	}
}

// collectTier sends the metrics of the gateway's tier. Comparing the counters of all gateways shows why
// a running gateway was declared dead: stalls of that gateway, unanswered probes at only one gateway,
// which suspected it, or dropped datagrams.
func (c *collector) collectTier(s peers.Status, gauge, count emit) {
	members := map[[2]string]int{}
	for _, g := range s.View.Peers {
		reach := "direct"
		if g.OneWay {
			reach = "one_way"
		}
		members[[2]string{g.Status.String(), reach}]++
	}
	for k, n := range members {
		gauge(c.members, float64(n), k[0], k[1])
	}
	boolValue := map[bool]float64{true: 1}
	v, st, n := s.View, s.View.Stats, s.Counts
	for quantity, x := range map[string]float64{
		"epoch": float64(v.Epoch), "sharing": float64(v.ActiveGateways), "minority": boolValue[v.Minority], "silenced": boolValue[v.Superseded], "distrust": float64(v.LocalHealth),
	} {
		gauge(c.tierState, x, quantity)
	}
	for event, x := range map[string]uint64{
		"probes": st.Probes, "unanswered": st.FailedProbes, "helped": st.IndirectAcks, "suspected": st.Suspicions, "refuted": st.Refutations,
		"died": st.Deaths, "pauses": st.Pauses, "namesakes": st.DuplicateNames, "walks": st.Syncs,
	} {
		count(c.memberEvents, float64(x), event)
	}
	for direction, x := range map[string]uint64{"sent": n.Sent, "received": n.Received, "unsent": n.SendFailed} {
		count(c.datagrams, float64(x), direction)
	}
	for reason, x := range map[string]uint64{
		"short": n.InvalidSize, "version": n.UnknownVersion, "key": n.UnknownKey, "seal": n.BadSeal, "replay": n.Replayed, "payload": n.BadPayload, "former": n.StaleInstance, "full": n.QueueFull,
	} {
		count(c.dropped, float64(x), reason)
	}
}
