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

func good(index, sum uint64) Response {
	return Response{Index: index, Checksum: sum, HasLeader: true}
}

func TestResponses(t *testing.T) {
	behind, leaderless := good(5, 1), good(5, 1)
	behind.Age, leaderless.HasLeader = 11*s, false
	for name, c := range map[string]struct {
		before, answer Response
		news           bool
		next           Request
		pause          time.Duration
	}{
		"the first":               {Response{}, good(5, 1), true, Request{5, s, false}, 100 * time.Millisecond},
		"a change":                {good(4, 1), good(5, 2), true, Request{5, s, false}, 100 * time.Millisecond},
		"nothing new":             {good(5, 1), good(6, 1), false, Request{6, 10 * s, false}, 0},
		"the index is ignored":    {good(5, 1), good(5, 1), false, Request{5, 10 * s, false}, 100 * time.Millisecond},
		"the index went back":     {good(9, 1), good(5, 1), true, Request{0, s, false}, 100 * time.Millisecond},
		"a server that is behind": {good(5, 1), behind, true, Request{5, s, false}, 100 * time.Millisecond},
		"no leader":               {good(5, 1), leaderless, true, Request{5, s, true}, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			q := NewQuery(DefaultLimits())
			if c.before.Index > 0 {
				q.RecordProcessed(c.before, q.RecordResponse(c.before), 0)
			}
			news := q.RecordResponse(c.answer)
			pause := q.RecordProcessed(c.answer, news, time.Millisecond)
			if news != c.news || q.Next(false) != c.next || pause != c.pause {
				t.Errorf("news %v, next %+v, pause %v", news, q.Next(false), pause)
			}
			if next := q.Next(true); next.Index != 0 {
				t.Errorf("in turn: %+v", next)
			}
		})
	}
	q := NewQuery(DefaultLimits())
	for took, want := range map[time.Duration]time.Duration{50 * time.Millisecond: 200 * time.Millisecond, s: s} {
		if got := q.RecordProcessed(good(1, 1), true, took); got != want {
			t.Errorf("a list that took %v: a pause of %v, want %v", took, got, want)
		}
	}
}

func TestFailures(t *testing.T) {
	for name, c := range map[string]struct {
		failures []Failure
		hint     time.Duration
		want     FailureAction
		stale    bool
	}{
		"one that breaks":           {[]Failure{Disconnected}, 0, FailureAction{Pause: s}, false},
		"two":                       {[]Failure{Disconnected, Disconnected}, 0, FailureAction{roster.Unreachable, true, s}, false},
		"three: said before":        {[]Failure{Disconnected, Disconnected, Disconnected}, 0, FailureAction{roster.Unreachable, false, s}, false},
		"a hang, another agent":     {[]Failure{AgentUnresponsive}, 0, FailureAction{}, false},
		"a hang again":              {[]Failure{AgentUnresponsive, AgentUnresponsive}, 0, FailureAction{roster.Unreachable, true, s}, false},
		"nobody lives":              {[]Failure{AgentUnresponsive, NoAgent}, 0, FailureAction{roster.Unreachable, true, 2 * s}, false},
		"denied with a hint":        {[]Failure{ErrorStatus}, 7 * s, FailureAction{Pause: 7 * s}, false},
		"a hint below the back-off": {[]Failure{ErrorStatus}, 1, FailureAction{Pause: s}, false},
		"no leader":                 {[]Failure{NoLeader}, 0, FailureAction{roster.NoLeader, true, s}, true},
		"malformed":                 {[]Failure{Malformed}, 0, FailureAction{roster.Unreadable, true, s}, false},
	} {
		t.Run(name, func(t *testing.T) {
			q := NewQuery(DefaultLimits())
			q.RecordProcessed(good(9, 1), q.RecordResponse(good(9, 1)), 0)
			var got FailureAction
			for _, f := range c.failures {
				got = q.RecordFailure(f, s, c.hint)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
			if next := q.Next(false); next.Index != 0 || next.Stale != c.stale {
				t.Errorf("asked next: %+v", next)
			}
			if !q.RecordResponse(good(9, 1)) {
				t.Error("what was missed meanwhile is not looked at")
			}
		})
	}
}

func TestAgents(t *testing.T) {
	a := NewAgentSelector(strings.Fields("one two"))
	for i, c := range []struct {
		do, agent string
		isNew     bool
		pick      string
		other     bool
	}{
		{"", "", false, "one", false}, {"lost", "one", true, "two", true}, {"lost", "one", false, "two", false},
		{"back", "one", true, "two", false}, // the one in use is kept
		{"lost", "two", true, "one", true}, {"lost", "one", true, "", false}, {"back", "two", true, "two", true}, {"back", "two", false, "two", false},
	} {
		isNew := false
		switch c.do {
		case "lost":
			isNew = a.MarkDown(c.agent)
		case "back":
			isNew = a.MarkUp(c.agent)
		}
		pick, other, ok := a.Select()
		if isNew != c.isNew || pick != c.pick || other != c.other || ok != (c.pick != "") {
			t.Errorf("step %d: new %v; %q, other %v", i, isNew, pick, other)
		}
	}
}

func TestPollingMode(t *testing.T) {
	mode := NewPollingMode(64)
	for _, c := range []struct {
		services    int
		changed, on bool
		round       time.Duration
	}{{62, false, false, s}, {63, true, true, s}, {2000, false, true, 15625 * time.Millisecond}, {9, true, false, s}} {
		if got := mode.SetServices(c.services); got != c.changed || mode.Polling() != c.on || mode.Interval() != c.round {
			t.Errorf("%d services: changed %v, in turn %v, a round of %v", c.services, got, mode.Polling(), mode.Interval())
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
			if node, is := strings.CutPrefix(word, "@"); is {
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
			t.Errorf("step %d: %v, want %s", i, got, step.want)
		}
	}
	checks.SetNodes("x", []string{"n9"}) // it has moved
	checks.SetNodes("y", nil)
	if got := checks.Update(nil); len(got) > 0 || len(checks.servicesByNode) != 1 || len(checks.nodesByService) != 1 {
		t.Errorf("woken: %v; nodes %v", got, checks.servicesByNode)
	}
}
