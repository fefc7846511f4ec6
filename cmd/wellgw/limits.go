package main

import (
	"cmp"
	"math"
	"runtime"
	"runtime/debug"
	"syscall"

	"wellgw/internal/config"
)

// Shares of what the machine gives.
const (
	heapShare         = 0.75   // of the memory limit, for the Go heap
	bodyShare         = 0.125  // of it, for bodies in flight; they are held up to three times over
	streamBufferShare = 0.0625 // of it, for what slow clients have not read

	reservedSockets = 32 // descriptors for all but clients and engines
	minConnections  = 16 // to clients, and as many to engines, however few descriptors there are

	defaultGCPercent = 100 // the runtime's own default
)

// applyLimits keeps the runtime within the configured limits and returns those that apply to this
// process. One on an inherited socket takes half: a new version may run beside it.
func (g *gateway) applyLimits(sharedSocket bool) config.Limits {
	limits := g.limits
	if allowed := descriptorLimit(); allowed > 0 && allowed < limits.Sockets {
		g.log.Warn("fewer descriptors than the configuration allows", "configured", limits.Sockets, "allowed", allowed)
		limits.Sockets = allowed
	}
	if sharedSocket {
		limits.MemoryMB, limits.Sockets = limits.MemoryMB/2, limits.Sockets/2
	}
	applyRuntimeLimits(limits, cmp.Or(g.gcPercent, defaultGCPercent))
	return limits
}

// applyRuntimeLimits sets the Go runtime's limits. gcPercent is how much may come on top of the
// live heap before a collection; the memory limit holds whatever it says.
func applyRuntimeLimits(l config.Limits, gcPercent int) {
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(memoryBytes(l, heapShare))
}

// descriptorLimit is how many descriptors the system lets this process have; 0 if that is
// unknown. Clients must not be given so many that none is left for operators' commands.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// maxConnections is how many connections clients may have open, and how many go to engines.
func maxConnections(l config.Limits) int { return max(minConnections, (l.Sockets-reservedSockets)/2) }

// memoryBytes is a share of the memory limit.
func memoryBytes(l config.Limits, share float64) int64 {
	return int64(share * float64(l.MemoryMB) * (1 << 20))
}
