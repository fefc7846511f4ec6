package routing

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	homesPerEngine    = 4.0   // number of popular prefixes per home engine; several balance the load
	maxPrefixSamples  = 400.0 // requests over which the fraction of a prefix is counted
	minPrefixSamples  = 40.0  // minimum divisor of a fraction, as fewer samples are insignificant
	mixedEngineWeight = 0.6   // of a mixed engine, which also decodes, relative to a prefill engine
)

// prefixPopularity counts requests by shared prefix on arrival. The ranking of prefix homes uses it.
type prefixPopularity struct {
	counts map[string]float64 // decaying number of requests by prefix; "" counts all requests
}

// count counts a request. All counts are halved whenever the total exceeds maxPrefixSamples.
func (p *prefixPopularity) count(prefix string) {
	p.counts[""]++
	if prefix != "" {
		p.counts[prefix]++
	}
	if p.counts[""] > maxPrefixSamples {
		maps.DeleteFunc(p.counts, func(_ string, n float64) bool { return n < 2 })
		for k := range p.counts {
			p.counts[k] /= 2
		}
	}
}

// fraction is a lower estimate of the fraction of requests that begin with a prefix: the count is reduced by
// a margin for random variation.
func (p *prefixPopularity) fraction(prefix string) float64 {
	count := p.counts[prefix]
	lowerBound := count - max(1, 0.7*math.Sqrt(count))
	return max(0, lowerBound) / max(p.counts[""], minPrefixSamples)
}

// rankHomes returns the two engines that most probably have the prefix of a session cached, for a session
// without cache entries at this router. By rendezvous hashing all routers choose the same engines. The
// number of homes of a shared prefix grows with its fraction of the requests; a hash of the session chooses
// among them with the weights of the cell plan. The choice is harmful if a home has just lost its cache.
func (r *Router) rankHomes(req *request, pool []*engine) (home, secondHome *engine) {
	text := cmp.Or(req.Prefix, req.Session)
	if text == "" || len(pool) == 0 {
		return nil, nil
	}
	// Two homes, and more for a popular prefix.
	homes := 2 + int(r.popularity.fraction(req.Prefix)*homesPerEngine*float64(len(pool)))
	ranked := slices.Clone(pool)
	if homes < len(pool) {
		hashes := make(map[*engine]float64, len(pool))
		for _, e := range pool {
			hashes[e] = hashToUnit(text, e.Name)
		}
		slices.SortFunc(ranked, func(a, b *engine) int { return cmp.Compare(hashes[a], hashes[b]) })
		ranked = ranked[:homes]
	}
	lowest, second := math.Inf(1), math.Inf(1)
	plan := r.cells.capacities(r.engines.ordered)
	for _, e := range ranked {
		weight := e.Weight * mixedEngineWeight
		if e.role() == RolePrefill {
			c := findCell(plan, e.Cell)
			weight = e.Weight * c.prefillTarget / c.prefillWeight
		}
		if score := -math.Log(hashToUnit(cmp.Or(req.Session, text), e.Name)) / max(weight, 1e-9); score < lowest {
			home, lowest, secondHome, second = e, score, home, lowest
		} else if score < second {
			secondHome, second = e, score
		}
	}
	return home, secondHome
}
