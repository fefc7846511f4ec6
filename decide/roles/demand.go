package roles

import (
	"math"
	"time"
)

// Traffic is what has been asked and served of one class since some beginning, at the
// gateways that are looked at: they stand for all.
type Traffic struct {
	Class              string
	Requested          float64 // requests, those turned away included
	PromptTokens       float64 // prompt tokens of these
	Served             float64 // requests that were served whole
	ServedPromptTokens float64 // prompt tokens of these
	OutputTokens       float64 // tokens that they were answered with
}

// demandEstimator works out what is asked of both stages from what clients ask, whatever becomes
// of it. What engines show tells only what they were let do: after a swing it is too
// high for the stage that rises, by its backlog, and too low for the one behind it.
//
// How much work a token is, is learned from what engines were busy with while so many
// tokens were served. The share of each class is followed fast, the sum of all requests
// slowly: the one is what swings, the other mostly noise.
type demandEstimator struct {
	timeConstant time.Duration
	classes      map[string]*classDemand
	rate         float64       // requests a second
	busy         [2]float64    // engines that worked at each stage
	tokens       [2]float64    // tokens a second served at each
	observedFor  time.Duration // since the first answer
	previous     map[string]Traffic
	learnedFor   time.Duration
}

type classDemand struct {
	rate           float64 // requests a second, followed fast
	prompt, output float64 // tokens of a request
	known          bool
}

// The spans of what is followed, in the demand's time constant.
const (
	rateTimeConstants     = 3
	learnTimeConstants    = 8
	minLearnTimeConstants = 2 // before what was learned is used
)

func ewmaWeight(span time.Duration, over time.Duration) float64 {
	return 1 - math.Exp(-span.Seconds()/over.Seconds())
}

// deltas returns what has come on top of what was there at the last call; nothing at the
// first one, and for a class whose account has begun anew.
func (d *demandEstimator) deltas(totals []Traffic) []Traffic {
	before := d.previous
	d.previous = make(map[string]Traffic, len(totals))
	var out []Traffic
	for _, t := range totals {
		d.previous[t.Class] = t
		was := before[t.Class]
		if before == nil || t.Requested < was.Requested || t.Served < was.Served {
			continue
		}
		t.Requested, t.PromptTokens = t.Requested-was.Requested, t.PromptTokens-was.PromptTokens
		t.Served, t.ServedPromptTokens, t.OutputTokens = t.Served-was.Served, t.ServedPromptTokens-was.ServedPromptTokens, t.OutputTokens-was.OutputTokens
		out = append(out, t)
	}
	return out
}

// observe takes in what has been asked and served by the end of a span, and how many
// engines worked at each stage. It returns what is asked of both stages, in engines,
// false while too little is known.
func (d *demandEstimator) observe(span time.Duration, totals []Traffic, busy [2]float64) ([2]float64, bool) {
	traffic := d.deltas(totals)
	if span <= 0 || len(traffic) == 0 {
		return [2]float64{}, false
	}
	if d.classes == nil {
		d.classes = map[string]*classDemand{}
	}
	fast, slow, learn := ewmaWeight(span, d.timeConstant), ewmaWeight(span, rateTimeConstants*d.timeConstant), ewmaWeight(span, learnTimeConstants*d.timeConstant)
	if d.observedFor < d.timeConstant {
		slow = ewmaWeight(span, d.observedFor+span) // a mean of all there was so far
	}
	asked := 0.0
	var served [2]float64
	for _, t := range traffic {
		c := d.classes[t.Class]
		if c == nil {
			c = &classDemand{}
			d.classes[t.Class] = c
		}
		c.rate += (t.Requested/span.Seconds() - c.rate) * fast
		if t.Requested > 0 {
			updateEWMA(&c.prompt, t.PromptTokens/t.Requested, fast, c.known)
		}
		if t.Served > 0 {
			updateEWMA(&c.output, t.OutputTokens/t.Served, slow, c.known)
			c.known = true
		}
		asked += t.Requested
		served[Prefill] += t.ServedPromptTokens / span.Seconds()
		served[Decode] += t.OutputTokens / span.Seconds()
	}
	d.rate += (asked/span.Seconds() - d.rate) * slow
	if served[Decode] > 0 || d.observedFor > 0 {
		d.observedFor += span
	}
	if d.observedFor >= d.timeConstant {
		// Engines are busy with a request from its beginning, it counts as served at its
		// end: what they do while the first ones are under way would count for nothing.
		for s := range served {
			d.busy[s] += (busy[s] - d.busy[s]) * learn
			d.tokens[s] += (served[s] - d.tokens[s]) * learn
		}
		d.learnedFor += span
	}
	sum := 0.0
	for _, c := range d.classes {
		sum += c.rate
	}
	if d.learnedFor < minLearnTimeConstants*d.timeConstant || sum <= 0 || d.tokens[Prefill] <= 0 || d.tokens[Decode] <= 0 {
		return [2]float64{}, false
	}
	var out [2]float64
	for _, c := range d.classes {
		share := c.rate / sum
		out[Prefill] += share * c.prompt
		out[Decode] += share * c.output
	}
	for s := range out {
		out[s] *= d.rate * d.busy[s] / d.tokens[s]
	}
	return out, true
}

// updateEWMA moves a mean towards what was seen; the first is taken as it is.
func updateEWMA(mean *float64, seen, fade float64, known bool) {
	if !known && *mean == 0 {
		fade = 1
	}
	*mean += (seen - *mean) * fade
}
