package main

import (
	"cmp"
	"math"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"wellgw/decide/capacity"
	"wellgw/internal/config"
)

// defaultGCPercent is the Go runtime's default.
const defaultGCPercent = 100

// applyLimits configures the Go runtime for the configured limits and returns the limits of this process.
// With an inherited socket it uses half of the memory and descriptors, as a new version may run
// concurrently on the same socket.
func (g *gateway) applyLimits(sharedSocket bool) config.Limits {
	limits := g.limits
	if available := descriptorLimit(); available > 0 && available < limits.Sockets {
		g.log.Warn("fewer descriptors than the configuration allows", "configured", limits.Sockets, "allowed", available)
		limits.Sockets = available
	}
	if sharedSocket {
		limits.MemoryMB, limits.Sockets = limits.MemoryMB/2, limits.Sockets/2
	}
	applyRuntimeLimits(limits, cmp.Or(g.gcPercent, defaultGCPercent))
	return limits
}

// applyRuntimeLimits sets the Go runtime's limits. gcPercent is the growth over the live heap that
// triggers a collection; the memory limit applies regardless of it.
func applyRuntimeLimits(l config.Limits, gcPercent int) {
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(divide(l).GoMemory)
}

// descriptorLimit returns the process's limit on open descriptors; 0 if it is unknown or has no bound.
// Client connections must not use up the descriptors that operators' commands need.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// programSize returns the size of the mapped program, which every part of the division has to leave room for. It
// is read once, since it grows while the process runs.
var programSize = sync.OnceValue(func() int64 {
	_, program := residentKB()
	return int64(program) << 10
})

// divide returns the division of a process's limits.
func divide(l config.Limits) capacity.Plan {
	return capacity.Divide(capacity.Limits{Memory: int64(l.MemoryMB) << 20, Program: programSize(), Descriptors: l.Sockets})
}
