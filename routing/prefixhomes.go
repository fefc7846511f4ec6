package routing

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	homesPerEngine    = 4.0   // shared prefixes of which an engine is a home, so that their loads even out
	maxPrefixSamples  = 400.0 // requests over which the share of a prefix is counted
	minPrefixSamples  = 40.0  // with fewer of them a share is not believed
	mixedEngineWeight = 0.6   // prefills at a mixed engine, which decodes as well, against a prefill engine's
)

// prefixPopularity counts how often shared prefixes come. It reads and changes nothing else. Requests
// are counted on arrival; the ranking of homes asks.
type prefixPopularity struct {
	counts map[string]float64 // requests by prefix, "" for all, fading
}

// count counts requests by shared prefix, and all of them under ""; old counts fade.
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

// fraction is the part of the requests that begin with a prefix, less what chance may have brought.
func (p *prefixPopularity) fraction(prefix string) float64 {
	count := p.counts[prefix]
	sure := count - max(1, 0.7*math.Sqrt(count))
	return max(0, sure) / max(p.counts[""], minPrefixSamples)
}

// rankHomes names two engines at which to expect the cached prefix of a session that this router has
// not seen: the same at every router, by rendezvous hashing. A shared prefix has more homes the more
// requests begin with it; the session picks among them by the weights of the cell plan. It does harm
// where a home has just lost its cache.
func (r *Router) rankHomes(req *request, pool []*engine) (home, secondHome *engine) {
	text := cmp.Or(req.Prefix, req.Session)
	if text == "" || len(pool) == 0 {
		return nil, nil
	}
	// One, a second and more for a hot one.
	homes := 2 + int(r.popularity.fraction(req.Prefix)*homesPerEngine*float64(len(pool)))
	ranked := slices.Clone(pool)
	if homes < len(pool) {
		of := make(map[*engine]float64, len(pool))
		for _, e := range pool {
			of[e] = hashToUnit(text, e.Name)
		}
		slices.SortFunc(ranked, func(a, b *engine) int { return cmp.Compare(of[a], of[b]) })
		ranked = ranked[:homes]
	}
	low, next := math.Inf(1), math.Inf(1)
	plan := r.cells.capacities(r.engines.ordered)
	for _, e := range ranked {
		weight := e.Weight * mixedEngineWeight
		if e.role() == RolePrefill {
			c := findCell(plan, e.Cell)
			weight = e.Weight * c.prefillTarget / c.prefillWeight
		}
		if far := -math.Log(hashToUnit(cmp.Or(req.Session, text), e.Name)) / max(weight, 1e-9); far < low {
			home, low, secondHome, next = e, far, home, low
		} else if far < next {
			secondHome, next = e, far
		}
	}
	return home, secondHome
}
