package main

import (
	"bytes"
	"os"
	"runtime/metrics"
	"strconv"

	"wellgw/internal/clientconn"
)

// resources shows what holds the memory of the process, for the log. Sizes are in KB.
type resources struct {
	Resident    int                         `json:"resident"`
	Program     int                         `json:"program"` // the part of Resident that is mapped from files
	GoMemory    int                         `json:"go"`      // that counts against the limit of Go's memory
	Heap        int                         `json:"heap"`    // of objects, with garbage
	Stacks      int                         `json:"stacks"`
	Goroutines  int                         `json:"goroutines"`
	BodiesFree  int                         `json:"bodies free"`
	AheadFree   int                         `json:"read ahead free"`
	RequestIDs  int                         `json:"request ids"` // remembered
	Connections clientconn.ConnectionCounts `json:"connections"`
}

// Names of the runtime's metrics.
const (
	metricTotal      = "/memory/classes/total:bytes"
	metricReleased   = "/memory/classes/heap/released:bytes"
	metricObjects    = "/memory/classes/heap/objects:bytes"
	metricStacks     = "/memory/classes/heap/stacks:bytes"
	metricGoroutines = "/sched/goroutines:goroutines"
)

// resources returns the use of resources at this moment.
func (s *server) resources() resources {
	values := readMetrics(metricTotal, metricReleased, metricObjects, metricStacks, metricGoroutines)
	resident, program := residentKB()
	r := resources{
		Resident: resident, Program: program, GoMemory: (values[metricTotal] - values[metricReleased]) >> 10,
		Heap: values[metricObjects] >> 10, Stacks: values[metricStacks] >> 10, Goroutines: values[metricGoroutines],
		BodiesFree: int(s.bodies.Available() >> 10), AheadFree: int(s.clients.ReadAheadAvailable() >> 10), Connections: s.clients.ConnectionCounts(),
	}
	if s.requestIDs != nil {
		r.RequestIDs = s.requestIDs.Len()
	}
	return r
}

// readMetrics returns the values of metrics of the runtime.
func readMetrics(names ...string) map[string]int {
	samples := make([]metrics.Sample, len(names))
	for i, name := range names {
		samples[i].Name = name
	}
	metrics.Read(samples)
	values := make(map[string]int, len(names))
	for _, sample := range samples {
		if sample.Value.Kind() == metrics.KindUint64 {
			values[sample.Name] = int(sample.Value.Uint64())
		}
	}
	return values
}

// statusFile is the state of the process in Linux's proc(5).
const statusFile = "/proc/self/status"

// residentKB returns the resident memory of the process and the part of it that is mapped from files; 0 if
// they are unknown.
func residentKB() (resident, program int) {
	status, err := os.ReadFile(statusFile)
	if err != nil {
		return 0, 0
	}
	for line := range bytes.Lines(status) {
		fields := bytes.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.Atoi(string(fields[1]))
		switch string(fields[0]) {
		case "VmRSS:":
			resident = kilobytes
		case "RssFile:":
			program = kilobytes
		}
	}
	return resident, program
}
