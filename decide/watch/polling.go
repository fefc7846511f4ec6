package watch

import "time"

// Limits of blocking queries and polling.
const (
	reservedQueries = 2   // queries for the catalog and for the failing checks
	pollsPerQuery   = 2.0 // services polled per second for each query that may be open
	minPollInterval = time.Second
)

// PollingMode decides whether each service is watched by a separate blocking query, or all services are
// polled round-robin because there are more services than queries that may be open.
type PollingMode struct {
	maxQueries int
	services   int
	polling    bool
}

// NewPollingMode returns the mode for a maximum number of open queries, without any services.
func NewPollingMode(maxQueries int) *PollingMode {
	return &PollingMode{maxQueries: max(maxQueries, 2*reservedQueries)}
}

// SetServices sets the number of services and reports whether the mode has changed.
func (p *PollingMode) SetServices(services int) (changed bool) {
	p.services = services
	previous := p.polling
	p.polling = services > p.maxQueries-reservedQueries
	return p.polling != previous
}

// Polling reports whether services are polled instead of watched by blocking queries.
func (p *PollingMode) Polling() bool { return p.polling }

// Services returns the number of services.
func (p *PollingMode) Services() int { return p.services }

// Interval returns the time between two polls of the same service.
func (p *PollingMode) Interval() time.Duration {
	return max(time.Duration(float64(p.services)/(pollsPerQuery*float64(p.maxQueries))*float64(time.Second)), minPollInterval)
}
