package soak

import (
	"net"
	"reflect"
	"testing"
	"time"
)

const s = time.Second

// cleanRun returns the observations of a process that served one request without a violation.
func cleanRun() (Plan, *Observations) {
	p := Plan{Gateways: 1, Deadline: 2 * s, PinLimit: s, Effect: SingleShot, Faults: make([]Injected, 1)}
	conn := &Connection{Opened: s, Closed: 4 * s}
	return p, &Observations{
		Processes: []*ProcessRecord{{Started: 0, Ready: s / 2, Terminated: 20 * s, Killed: Never, Ended: 21 * s}},
		Conns:     []*Connection{conn},
		Requests: []*Request{{
			ID: "a", Sent: s, Deadline: 2 * s, ClientClosed: Never, FirstByte: s + 50*time.Millisecond, Ended: 3 * s, Status: 200, Complete: true, Conn: conn,
		}},
		Attempts: []*Attempt{
			{ID: "a", FirstByte: s, LastByte: s, Deadline: 2 * s, Ended: s + 10*time.Millisecond},
			{ID: "a", Decode: true, FirstByte: s + 20*time.Millisecond, LastByte: s + 20*time.Millisecond, Deadline: s, Ran: true, Ended: 3 * s},
		},
		HeldStates: []*HeldState{{ID: "a", From: s + 10*time.Millisecond, Until: s + 20*time.Millisecond}},
	}
}

// TestCheckerNamesEachRule violates each rule separately and checks that the checker reports that rule, and
// that unmodified observations, and permitted deviations, give no violation.
func TestCheckerNamesEachRule(t *testing.T) {
	checkedDrain := func() *Drain {
		return &Drain{At: 5 * s, Until: 10 * s, HealthyInDrain: Never, ActiveAt: Never, HealthyAfter: Never}
	}
	for name, c := range map[string]struct {
		breakRule func(*Plan, *Observations)
		want      Rule
	}{
		"unmodified": {func(*Plan, *Observations) {}, ""},
		"forwarded, connection closed without an answer": {func(_ *Plan, b *Observations) { b.Requests[0].Status, b.Requests[0].Complete = 0, false }, Lost},
		"never answered":                      {func(_ *Plan, b *Observations) { b.Requests[0].Status, b.Requests[0].Ended, b.Attempts = 0, Never, nil }, Lost},
		"not forwarded, connection closed":    {func(_ *Plan, b *Observations) { b.Requests[0].Status, b.Attempts = 0, nil }, ""},
		"answered late":                       {func(_ *Plan, b *Observations) { b.Requests[0].FirstByte = 4 * s }, Lost},
		"stream cut off":                      {func(_ *Plan, b *Observations) { b.Requests[0].Complete = false }, Lost},
		"stream broken by its engine":         {func(_ *Plan, b *Observations) { b.Requests[0].Complete, b.Attempts[1].FaultInjected = false, true }, ""},
		"client error without a client fault": {func(_ *Plan, b *Observations) { b.Requests[0].Status = 400 }, Lost},
		"SIGKILL without SIGTERM": {func(_ *Plan, b *Observations) {
			b.Processes[0].Terminated, b.Processes[0].Killed, b.Requests[0].Status = Never, 3*s, 0
		}, ""},
		"SIGKILL after SIGTERM, request within the kill grace": {func(_ *Plan, b *Observations) {
			b.Processes[0].Terminated, b.Processes[0].Killed, b.Requests[0].Status = s/2, 3*s, 0
		}, ""},
		"SIGKILL after SIGTERM, request after the kill grace": {func(_ *Plan, b *Observations) {
			b.Processes[0].Terminated, b.Processes[0].Killed, b.Requests[0].Status = s/4, 3*s, 0
		}, Lost},
		"ran twice": {func(_ *Plan, b *Observations) {
			duplicate := *b.Attempts[1]
			b.Attempts = append(b.Attempts, &duplicate)
		}, Duplicate},
		"ran twice with effect free": {func(p *Plan, b *Observations) {
			p.Effect = Free
			duplicate := *b.Attempts[1]
			b.Attempts = append(b.Attempts, &duplicate)
		}, ""},
		"sent to a draining engine": {func(_ *Plan, b *Observations) {
			b.DrainNotices = []DrainNotice{{At: 0, Since: 0, Until: Never}}
			b.Attempts[1].FirstByte = drainGrace + s
		}, EngineDrain},
		"sent after the notice limit, without a notice": {func(_ *Plan, b *Observations) {
			b.DrainNotices = []DrainNotice{{At: 90 * s, Since: 0, Until: Never}}
			b.Attempts[1].FirstByte = maxNoticeDelay + drainGrace + s
			b.Requests[0].Sent, b.Requests[0].FirstByte = 8*s, 8*s
		}, EngineDrain},
		"sent to a manually ejected engine": {func(_ *Plan, b *Observations) {
			b.Ejections = []*Ejection{{At: 0, Until: Never}}
			b.Attempts[1].FirstByte, b.Attempts[1].Deadline = drainGrace+s, 0
		}, EngineDrain},
		"sent to a readmitted engine": {func(_ *Plan, b *Observations) {
			b.Ejections = []*Ejection{{At: 0, Until: s}}
			b.Attempts[1].FirstByte, b.Attempts[1].Deadline = drainGrace+s, 0
		}, ""},
		"idle connection in a drain": {func(_ *Plan, b *Observations) { b.Drains, b.Conns[0].Closed = []*Drain{checkedDrain()}, 12*s }, ClientDrain},
		"healthy in a drain":         {func(_ *Plan, b *Observations) { d := checkedDrain(); d.HealthyInDrain = 9 * s; b.Drains = []*Drain{d} }, ClientDrain},
		"request accepted late in a drain": {func(_ *Plan, b *Observations) {
			b.Drains, b.Requests[0].Sent = []*Drain{checkedDrain()}, 8*s
			b.Conns[0].Closed = 9 * s
			b.Requests[0].FirstByte, b.Requests[0].Ended = 8*s, 9*s
		}, ClientDrain},
		"stream that started before the drain": {func(_ *Plan, b *Observations) {
			b.Drains, b.Conns[0].Closed, b.Requests[0].Ended = []*Drain{checkedDrain()}, 12*s, 12*s
			b.Requests[0].Sent = 5 * s
		}, ""},
		"not healthy after a drain": {func(_ *Plan, b *Observations) {
			d := checkedDrain()
			d.ActiveAt, d.HealthyAfter = 10*s, 13*s
			b.Drains = []*Drain{d}
		}, ClientDrain},
		"state held without an attempt":     {func(_ *Plan, b *Observations) { b.Attempts, b.HeldStates[0].Until = b.Attempts[:1], 4*s }, HeldTooLong},
		"state held during an attempt":      {func(_ *Plan, b *Observations) { b.HeldStates[0].Until = 3 * s }, ""},
		"deadline longer than the client's": {func(_ *Plan, b *Observations) { b.Attempts[1].Deadline = 3 * s }, Deadlines},
		"sent after the client closed": {func(_ *Plan, b *Observations) {
			b.Requests[0].ClientClosed, b.Attempts[1].FirstByte = s, 2*s
			b.Attempts[1].Deadline = 0
		}, SentAfterClose},
		"late events": {func(_ *Plan, b *Observations) {
			for range 3 {
				q := *b.Requests[0]
				q.LateEvents = 1
				b.Requests = append(b.Requests, &q)
			}
		}, EventsInTime},
		"never ready": {func(_ *Plan, b *Observations) {
			b.Processes = append(b.Processes, &ProcessRecord{Gateway: 1, Ready: Never, Terminated: 20 * s, Killed: Never, Ended: 21 * s})
		}, Ready},
		"crash": {func(_ *Plan, b *Observations) { b.Processes[0].CrashReason = "panic" }, Crash},
		"incomplete request not closed": {func(_ *Plan, b *Observations) {
			b.IncompleteRequests = []IncompleteRequest{{Since: 2 * s, Ended: Never}}
		}, IncompleteKept},
		"descriptor leak": {func(_ *Plan, b *Observations) { b.DescriptorLeaks = []DescriptorLeak{{Before: 10, After: 90}} }, Descriptors},
	} {
		p, b := cleanRun()
		c.breakRule(&p, b)
		got := Rule("")
		if found := Check(p, b); len(found) > 0 {
			got = found[0].Rule
		}
		if got != c.want {
			t.Errorf("%s: first violated rule %q, want %q", name, got, c.want)
		}
	}
}

// TestPlansFollowFromSeeds checks that one seed always gives the same plan and that two seeds differ.
func TestPlansFollowFromSeeds(t *testing.T) {
	if a, b := draw(7), draw(7); !reflect.DeepEqual(a, b) {
		t.Errorf("seed 7 gave two plans:\n%v\n%v", a, b)
	}
	if reflect.DeepEqual(draw(7), draw(8)) {
		t.Error("seeds 7 and 8 gave the same plan")
	}
}

// TestOperatorsCallWithoutListener checks that a command to a closed port counts as refused.
func TestOperatorsCallWithoutListener(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if sendCommand(l.Addr().String(), "standby") {
		t.Error("a command to a closed port was reported as accepted")
	}
}
