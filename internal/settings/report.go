package settings

import (
	"time"

	"wellgw/routing"
)

// ParseLoadReport turns the values of a load report into the module's form, nil if
// there are none.
func ParseLoadReport(usage map[string]float64) *routing.LoadReport {
	if len(usage) == 0 {
		return nil
	}
	value := func(name string, unit float64) *float64 {
		if v, given := usage[name]; given {
			v *= unit
			return &v
		}
		return nil
	}
	r := &routing.LoadReport{
		MemoryUsed: value("x0", 1), WaitingTokens: value("x1", 1000), QueueLength: value("queue", 1), Utilization: value("util", 1),
	}
	if ms, given := usage["latency_ms"]; given {
		d := time.Duration(ms * float64(time.Millisecond))
		r.Latency = &d
	}
	return r
}
