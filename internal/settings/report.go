package settings

import (
	"time"

	"wellgw/routing"
)

// ParseLoadReport converts the values of a load report into the routing policy's type. It returns nil if
// there are no values.
func ParseLoadReport(usage map[string]float64) *routing.LoadReport {
	if len(usage) == 0 {
		return nil
	}
	value := func(name string, unit float64) *float64 {
		if v, ok := usage[name]; ok {
			v *= unit
			return &v
		}
		return nil
	}
	r := &routing.LoadReport{
		MemoryUsed: value("x0", 1), WaitingTokens: value("x1", 1000), QueueLength: value("queue", 1), Utilization: value("util", 1),
	}
	if ms, ok := usage["latency_ms"]; ok {
		d := time.Duration(ms * float64(time.Millisecond))
		r.Latency = &d
	}
	return r
}
