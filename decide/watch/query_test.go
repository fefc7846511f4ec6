package watch

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wellgw/decide/roster"
)

const s = time.Second

func validResponse(index, checksum uint64) Response {
	return Response{Index: index, Checksum: checksum, HasLeader: true}
}

func TestResponses(t *testing.T) {
	stale, leaderless := validResponse(5, 1), validResponse(5, 1)
	stale.Age, leaderless.HasLeader = 11*s, false
	for name, c := range map[string]struct {
		previous, response Response
		changed            bool
		next               Request
		pause              time.Duration
	}{
		"first response":         {Response{}, validResponse(5, 1), true, Request{5, s, false}, 100 * time.Millisecond},
		"changed body":           {validResponse(4, 1), validResponse(5, 2), true, Request{5, s, false}, 100 * time.Millisecond},
		"only the index changed": {validResponse(5, 1), validResponse(6, 1), false, Request{6, 10 * s, false}, 0},
		"unchanged index":        {validResponse(5, 1), validResponse(5, 1), false, Request{5, 10 * s, false}, 100 * time.Millisecond},
		"lower index":            {validResponse(9, 1), validResponse(5, 1), true, Request{0, s, false}, 100 * time.Millisecond},
		"stale server":           {validResponse(5, 1), stale, true, Request{5, s, false}, 100 * time.Millisecond},
		"no leader":              {validResponse(5, 1), leaderless, true, Request{5, s, true}, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			q := NewQuery(DefaultLimits())
			if c.previous.Index > 0 {
				q.RecordProcessed(c.previous, q.RecordResponse(c.previous), 0)
			}
			changed := q.RecordResponse(c.response)
			pause := q.RecordProcessed(c.response, changed, time.Millisecond)
			if changed != c.changed || q.Next(false) != c.next || pause != c.pause {
				t.Errorf("changed %v, next %+v, pause %v", changed, q.Next(false), pause)
			}
			if next := q.Next(true); next.Index != 0 {
				t.Errorf("blocking request while polling: %+v", next)
			}
		})
	}
	q := NewQuery(DefaultLimits())
	for took, want := range map[time.Duration]time.Duration{50 * time.Millisecond: 200 * time.Millisecond, s: s} {
		if got := q.RecordProcessed(validResponse(1, 1), true, took); got != want {
			t.Errorf("pause after a processing time of %v: %v, want %v", took, got, want)
		}
	}
}

func TestFailures(t *testing.T) {
	for name, c := range map[string]struct {
		failures   []Failure
		retryAfter time.Duration
		want       FailureAction
		stale      bool
	}{
		"one broken connection":                    {[]Failure{Disconnected}, 0, FailureAction{Pause: s}, false},
		"two broken connections":                   {[]Failure{Disconnected, Disconnected}, 0, FailureAction{roster.Unreachable, true, s}, false},
		"three broken connections are logged once": {[]Failure{Disconnected, Disconnected, Disconnected}, 0, FailureAction{roster.Unreachable, false, s}, false},
		"unresponsive agent":                       {[]Failure{AgentUnresponsive}, 0, FailureAction{}, false},
		"unresponsive agent twice":                 {[]Failure{AgentUnresponsive, AgentUnresponsive}, 0, FailureAction{roster.Unreachable, true, s}, false},
		"all agents down":                          {[]Failure{AgentUnresponsive, NoAgent}, 0, FailureAction{roster.Unreachable, true, 2 * s}, false},
		"error status with a retry delay":          {[]Failure{ErrorStatus}, 7 * s, FailureAction{Pause: 7 * s}, false},
		"retry delay below the backoff":            {[]Failure{ErrorStatus}, 1, FailureAction{Pause: s}, false},
		"no leader":                                {[]Failure{NoLeader}, 0, FailureAction{roster.NoLeader, true, s}, true},
		"malformed":                                {[]Failure{Malformed}, 0, FailureAction{roster.Unreadable, true, s}, false},
	} {
		t.Run(name, func(t *testing.T) {
			q := NewQuery(DefaultLimits())
			q.RecordProcessed(validResponse(9, 1), q.RecordResponse(validResponse(9, 1)), 0)
			var got FailureAction
			for _, f := range c.failures {
				got = q.RecordFailure(f, s, c.retryAfter)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
			if next := q.Next(false); next.Index != 0 || next.Stale != c.stale {
				t.Errorf("next request %+v", next)
			}
			if !q.RecordResponse(validResponse(9, 1)) {
				t.Error("the response after a failure is not processed")
			}
		})
	}
}

func TestAgents(t *testing.T) {
	agents := NewAgentSelector(strings.Fields("one two"))
	for i, c := range []struct {
		call, agent      string
		stateChanged     bool
		selected         string
		selectionChanged bool
	}{
		{"", "", false, "one", false}, {"down", "one", true, "two", true}, {"down", "one", false, "two", false},
		{"up", "one", true, "two", false}, // no failback to the preferred agent
		{"down", "two", true, "one", true}, {"down", "one", true, "", false}, {"up", "two", true, "two", true}, {"up", "two", false, "two", false},
	} {
		stateChanged := false
		switch c.call {
		case "down":
			stateChanged = agents.MarkDown(c.agent)
		case "up":
			stateChanged = agents.MarkUp(c.agent)
		}
		selected, changed, ok := agents.Select()
		if stateChanged != c.stateChanged || selected != c.selected || changed != c.selectionChanged || ok != (c.selected != "") {
			t.Errorf("step %d: state changed %v; selected %q, selection changed %v", i, stateChanged, selected, changed)
		}
	}
}

func TestPollingMode(t *testing.T) {
	mode := NewPollingMode(64)
	for _, c := range []struct {
		services         int
		changed, polling bool
		interval         time.Duration
	}{{62, false, false, s}, {63, true, true, s}, {2000, false, true, 15625 * time.Millisecond}, {9, true, false, s}} {
		if got := mode.SetServices(c.services); got != c.changed || mode.Polling() != c.polling || mode.Interval() != c.interval {
			t.Errorf("%d services: changed %v, polling %v, interval %v", c.services, got, mode.Polling(), mode.Interval())
		}
	}
}

func TestCheckTracker(t *testing.T) {
	checks := NewCheckTracker()
	checks.SetNodes("x", []string{"n1", "n2"})
	checks.SetNodes("y", []string{"n1"})
	parse := func(text string) (list []Check) {
		for i, word := range strings.Fields(text) {
			c := Check{CheckID: "c" + strconv.Itoa(i), Service: word}
			if node, ofNode := strings.CutPrefix(word, "@"); ofNode {
				c = Check{Node: node, CheckID: "serfHealth"}
			}
			list = append(list, c)
		}
		return list
	}
	for i, step := range []struct{ failing, want string }{
		{"", ""}, {"x", "x"}, {"x", ""}, {"x @n1", "x y"}, {"x", "x y"}, {"", "x"}, {"@n2 @n3", "x"},
	} {
		if got := checks.Update(parse(step.failing)); !slices.Equal(got, strings.Fields(step.want)) {
			t.Errorf("step %d: affected services %v, want %s", i, got, step.want)
		}
	}
	checks.SetNodes("x", []string{"n9"}) // its engines have moved to another node
	checks.SetNodes("y", nil)
	if got := checks.Update(nil); len(got) > 0 || len(checks.servicesByNode) != 1 || len(checks.nodesByService) != 1 {
		t.Errorf("affected services %v; services by node %v", got, checks.servicesByNode)
	}
}
