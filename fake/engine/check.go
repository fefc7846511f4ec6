package engine

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Span is a time in which an engine was to get no new work.
type Span struct {
	Engine   string
	From, To time.Time // To zero: to the end
	Reason   string
}

// AttemptsInSpans returns what was sent to engines in spans in which they were to get none.
func AttemptsInSpans(attempts []Attempt, spans []Span) []string {
	var out []string
	for _, s := range spans {
		n, worst := 0, time.Duration(0)
		for _, a := range attempts {
			if a.Engine == s.Engine && a.ArrivalTime.After(s.From) && (s.To.IsZero() || a.ArrivalTime.Before(s.To)) {
				n++
				worst = max(worst, a.ArrivalTime.Sub(s.From))
			}
		}
		if n > 0 {
			out = append(out, fmt.Sprintf("%s got %d new attempts, the last %v after it was to get none (%s)", s.Engine, n, worst.Round(time.Millisecond), s.Reason))
		}
	}
	return out
}

// DuplicateExecutions returns the orders that ran more than once, of those that single says
// must not, and where. To read a prompt has no effect, whether it came to its end or not.
func DuplicateExecutions(attempts []Attempt, single func(order string) bool) []string {
	ran := map[string][]Attempt{}
	for _, a := range attempts {
		if a.Executed && a.OperationID != "" && single(a.OperationID) && a.Role != Read {
			ran[a.OperationID] = append(ran[a.OperationID], a)
		}
	}
	var out []string
	for order, list := range ran {
		if len(list) < 2 {
			continue
		}
		var at []string
		for _, a := range list {
			at = append(at, fmt.Sprintf("%s as %s, status %d, whole %v, at %s", a.Engine, a.Role, a.Status, a.Completed, a.ArrivalTime.Format("05.000")))
		}
		out = append(out, order+" ("+strings.Join(at, "; ")+")")
	}
	slices.Sort(out)
	return out
}
