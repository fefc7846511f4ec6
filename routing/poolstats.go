package routing

import (
	"slices"
)

// survey is one look at the engines of a role, good for one event.
type survey struct {
	engines, warm        int
	pace, fail, age, lag float64 // fail of the better quarter, else the median
	waiting              float64 // tokens that reports show, the mean
}

// survey looks at a role's engines, once an event at most. Failing is that of the
// better quarter: a common cause shows there too, a few sick engines do not.
func (r *Router) survey(role Role) *survey {
	v := &r.surveys[role]
	if v.engines > 0 {
		return v
	}
	var pace, fail, age, lag []float64
	for w := range r.all(role) {
		v.engines++
		if !r.cold(w) {
			v.warm++
		}
		fail, age, lag = append(fail, w.fail), append(age, r.age(w)), append(lag, r.lag(w))
		pace = append(pace, r.faded(w))
		if w.report.WaitingTokens != nil {
			v.waiting += *w.report.WaitingTokens * r.fresh(w)
		}
	}
	v.waiting /= float64(max(v.engines, 1))
	v.pace, v.age, v.lag = median(pace, 1), median(age, 0), median(lag, 1)
	if slices.Sort(fail); len(fail) > 0 {
		v.fail = fail[len(fail)/4]
	}
	return v
}

// median returns the middle of the values, or none if there are none.
func median(values []float64, none float64) float64 {
	if len(values) == 0 {
		return none
	}
	slices.Sort(values)
	return values[len(values)/2]
}
