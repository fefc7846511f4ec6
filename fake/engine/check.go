package engine

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Span is a period in which an engine should receive no new attempts.
type Span struct {
	Engine   string
	From, To time.Time // zero To = no end
	Reason   string
}

// AttemptsInSpans returns one text for each span in which its engine received attempts.
func AttemptsInSpans(attempts []Attempt, spans []Span) []string {
	var out []string
	for _, s := range spans {
		n, latest := 0, time.Duration(0)
		for _, a := range attempts {
			if a.Engine == s.Engine && a.ArrivalTime.After(s.From) && (s.To.IsZero() || a.ArrivalTime.Before(s.To)) {
				n++
				latest = max(latest, a.ArrivalTime.Sub(s.From))
			}
		}
		if n > 0 {
			out = append(out, fmt.Sprintf("%s received %d attempts in a span without new work, the last %v after its start (%s)", s.Engine, n, latest.Round(time.Millisecond), s.Reason))
		}
	}
	return out
}

// DuplicateExecutions returns the operations that ran more than once, with their attempts, among those for
// which singleShot returns true. Attempts at prefill engines don't count: prefill has no effect, whether it
// is completed or not.
func DuplicateExecutions(attempts []Attempt, singleShot func(operationID string) bool) []string {
	executions := map[string][]Attempt{}
	for _, a := range attempts {
		if a.Executed && a.OperationID != "" && singleShot(a.OperationID) && a.Role != Read {
			executions[a.OperationID] = append(executions[a.OperationID], a)
		}
	}
	var out []string
	for operationID, list := range executions {
		if len(list) < 2 {
			continue
		}
		var descriptions []string
		for _, a := range list {
			descriptions = append(descriptions, fmt.Sprintf("%s as %s, status %d, completed %v, at %s", a.Engine, a.Role, a.Status, a.Completed, a.ArrivalTime.Format("05.000")))
		}
		out = append(out, operationID+" ("+strings.Join(descriptions, "; ")+")")
	}
	slices.Sort(out)
	return out
}
