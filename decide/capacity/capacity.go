// Package capacity divides a gateway's limits on memory and descriptors among what clients can make it hold:
// connections, requests, bodies, bytes that are read ahead, ids, and answers. The shares together fit into
// the memory, so that no crowd of clients takes a process past its limit.
package capacity

// Sizes in bytes that do not depend on the limits.
const (
	// defaultProgram is the size of the mapped program where it is unknown.
	defaultProgram = 12 << 20
	// programGrowth is how much more of the program becomes resident while it runs.
	programGrowth = 4 << 20
	// idleBytes is Go's memory without clients: the runtime, the routing policy and the engines.
	idleBytes = 9 << 20
	// connectionBytes is what an open connection takes: its buffers, goroutine and parsed head.
	connectionBytes = 20 << 10
	// requestBytes is what a request in flight takes beside its connection and its body: its state, an
	// attempt with its connection, and the buffers of its stream.
	requestBytes = 34 << 10

	minGoMemory = 12 << 20
	minShared   = 2 << 20 // of Go's memory, for clients
)

// Descriptors that are not for connections to clients or engines, and the least number of connections to
// clients, and to engines, even if fewer descriptors or less memory are available.
const (
	reservedDescriptors = 32
	minConnections      = 16
)

// maxGoFraction is the largest part of the memory limit for Go's memory. The rest is for the program and for
// garbage that a collection has not yet found.
const maxGoFraction = 0.75

// Largest shares as parts of the memory limit.
const (
	bodyFraction         = 1.0 / 8
	streamBufferFraction = 1.0 / 16
	readAheadFraction    = 1.0 / 16
	requestIDFraction    = 1.0 / 32
	answerFraction       = 1.0 / 4
)

// Largest shares as parts of the memory for clients. They count where the memory limit is small.
const (
	connectionShare   = 0.3
	requestShare      = 0.35
	bodyShare         = 0.2
	readAheadShare    = 0.08
	requestIDShare    = 0.05
	streamBufferShare = 0.1  // of the chat API, which has no request ids and reads less ahead
	answerShare       = 0.36 // of the chat API, which takes other requests only while answers have room
)

// Limits are the limits of one process.
type Limits struct {
	Memory      int64 // bytes
	Program     int64 // bytes that are resident beside Go's memory: the mapped program; 0 if unknown
	Descriptors int
}

// Plan is the division of the limits. Sizes are in bytes.
type Plan struct {
	GoMemory      int64 // limit of Go's memory
	Bodies        int64 // of requests in flight, of which up to three copies exist
	StreamBuffers int64 // for stream data that slow clients have not read
	ReadAhead     int64 // that clients send beyond the request in flight
	RequestIDs    int64 // ids of requests that must not run twice
	Answers       int64 // that are collected before they are sent
	Connections   int   // of clients, and as many to engines
	Requests      int   // in flight
}

// Divide returns the division of the limits.
func Divide(l Limits) Plan {
	program := l.Program
	if program <= 0 {
		program = defaultProgram
	}
	goMemory := max(minGoMemory, min(int64(maxGoFraction*float64(l.Memory)), l.Memory-program-programGrowth))
	shared := max(minShared, goMemory-idleBytes)
	share := func(ofMemory, ofShared float64) int64 {
		return int64(min(ofMemory*float64(l.Memory), ofShared*float64(shared)))
	}
	count := func(ofShared float64, size int64) int { return int(ofShared * float64(shared) / float64(size)) }
	connections := min((l.Descriptors-reservedDescriptors)/2, count(connectionShare, connectionBytes))
	return Plan{
		GoMemory:      goMemory,
		Bodies:        share(bodyFraction, bodyShare),
		StreamBuffers: share(streamBufferFraction, streamBufferShare),
		ReadAhead:     share(readAheadFraction, readAheadShare),
		RequestIDs:    share(requestIDFraction, requestIDShare),
		Answers:       share(answerFraction, answerShare),
		Connections:   max(minConnections, connections),
		Requests:      max(minConnections, min(connections, count(requestShare, requestBytes))),
	}
}
