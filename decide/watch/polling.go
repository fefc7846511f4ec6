package watch

import "time"

// The figures of asking in turn.
const (
	reservedWatches = 2   // for the catalogue, and for the checks that fail
	pollsPerWatch   = 2.0 // services asked a second for each query that may be open
	minPollInterval = time.Second
)

// PollingMode decides whether each service can have a query of its own that blocks, or all
// are asked in turn, in rounds.
type PollingMode struct {
	watches  int
	services int
	polling  bool
}

// NewPollingMode returns a decision for so many queries that may be open at once.
func NewPollingMode(watches int) *PollingMode {
	return &PollingMode{watches: max(watches, 2*reservedWatches)}
}

// SetServices notes how many services there are and tells whether the way of asking changes.
func (p *PollingMode) SetServices(services int) (changed bool) {
	p.services = services
	was := p.polling
	p.polling = services > p.watches-reservedWatches
	return p.polling != was
}

// Polling tells whether services are asked in turn.
func (p *PollingMode) Polling() bool { return p.polling }

// Services returns how many there are.
func (p *PollingMode) Services() int { return p.services }

// Interval is how long it is from one turn of a service to its next.
func (p *PollingMode) Interval() time.Duration {
	return max(time.Duration(float64(p.services)/(pollsPerWatch*float64(p.watches))*float64(time.Second)), minPollInterval)
}
