package roles

import (
	"math"
	"time"
)

// Traffic is the cumulative totals of one class of requests at the sampled gateways.
type Traffic struct {
	Class              string
	Requested          float64 // requests, rejected ones included
	PromptTokens       float64 // of the requested ones
	Served             float64 // completely served requests
	ServedPromptTokens float64 // of the served ones
	OutputTokens       float64 // of the served ones
}

// demandEstimator estimates the work that clients request of both stages, whether or not it is
// served. The utilization of engines would be a biased estimate: after a shift of the mix it is too
// high for the stage with rising demand, by its backlog, and too low for the stage after it.
//
// The work per token is the ratio of busy engines to tokens served per second. The rate of each
// class is smoothed with a short time constant and the total rate with a longer one: the mix shifts
// quickly, whereas variations of the total are mostly noise.
type demandEstimator struct {
	timeConstant  time.Duration // of the classes' rates
	classes       map[string]*classDemand
	rate          float64       // requests per second, of all classes
	busy          [2]float64    // busy engines, by stage
	tokens        [2]float64    // tokens served per second, by stage
	observedFor   time.Duration // since the first output token
	previous      map[string]Traffic
	calibratedFor time.Duration
}

// classDemand is the smoothed demand of one class.
type classDemand struct {
	rate           float64 // requests per second
	prompt, output float64 // tokens per request
	known          bool    // at least one request has been served
}

// Time constants and durations, as multiples of the time constant of the classes' rates.
const (
	rateTimeConstants           = 3
	calibrationTimeConstants    = 8
	minCalibrationTimeConstants = 2 // of calibration, before the estimate is used
)

// ewmaWeight returns the weight of a value that was observed for a span in a mean with a time constant.
func ewmaWeight(span, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-span.Seconds()/timeConstant.Seconds())
}

// deltas returns the increase of the totals since the previous call. The first call returns none, and
// a class whose totals were reset is omitted.
func (d *demandEstimator) deltas(totals []Traffic) []Traffic {
	previous := d.previous
	d.previous = make(map[string]Traffic, len(totals))
	var out []Traffic
	for _, t := range totals {
		d.previous[t.Class] = t
		before := previous[t.Class]
		if previous == nil || t.Requested < before.Requested || t.Served < before.Served {
			continue
		}
		t.Requested -= before.Requested
		t.PromptTokens -= before.PromptTokens
		t.Served -= before.Served
		t.ServedPromptTokens -= before.ServedPromptTokens
		t.OutputTokens -= before.OutputTokens
		out = append(out, t)
	}
	return out
}

// observe updates the estimate with the totals at the end of a span and the number of busy engines at
// each stage. It returns the demand at both stages in engines, and false while it is unknown.
func (d *demandEstimator) observe(span time.Duration, totals []Traffic, busy [2]float64) ([2]float64, bool) {
	traffic := d.deltas(totals)
	if span <= 0 || len(traffic) == 0 {
		return [2]float64{}, false
	}
	served := d.observeTraffic(span, traffic)
	if served[Decode] > 0 || d.observedFor > 0 {
		d.observedFor += span
	}
	if d.observedFor >= d.timeConstant {
		// Engines are busy with a request from its start, but its tokens are counted at its end:
		// while the first requests are in flight, the estimated work per token would be too high.
		weight := ewmaWeight(span, calibrationTimeConstants*d.timeConstant)
		for s := range served {
			d.busy[s] += (busy[s] - d.busy[s]) * weight
			d.tokens[s] += (served[s] - d.tokens[s]) * weight
		}
		d.calibratedFor += span
	}
	return d.estimate()
}

// observeTraffic updates the rates and the tokens per request, and returns the tokens served per
// second at each stage.
func (d *demandEstimator) observeTraffic(span time.Duration, traffic []Traffic) (served [2]float64) {
	if d.classes == nil {
		d.classes = map[string]*classDemand{}
	}
	fast, slow := ewmaWeight(span, d.timeConstant), ewmaWeight(span, rateTimeConstants*d.timeConstant)
	if d.observedFor < d.timeConstant {
		slow = ewmaWeight(span, d.observedFor+span) // the mean of all observations so far
	}
	requested := 0.0
	for _, t := range traffic {
		class := d.classes[t.Class]
		if class == nil {
			class = &classDemand{}
			d.classes[t.Class] = class
		}
		class.rate += (t.Requested/span.Seconds() - class.rate) * fast
		if t.Requested > 0 {
			updateEWMA(&class.prompt, t.PromptTokens/t.Requested, fast, class.known)
		}
		if t.Served > 0 {
			updateEWMA(&class.output, t.OutputTokens/t.Served, slow, class.known)
			class.known = true
		}
		requested += t.Requested
		served[Prefill] += t.ServedPromptTokens / span.Seconds()
		served[Decode] += t.OutputTokens / span.Seconds()
	}
	d.rate += (requested/span.Seconds() - d.rate) * slow
	return served
}

// estimate returns the demand at both stages in engines, and false while it is unknown.
func (d *demandEstimator) estimate() ([2]float64, bool) {
	sum := 0.0
	for _, class := range d.classes {
		sum += class.rate
	}
	if d.calibratedFor < minCalibrationTimeConstants*d.timeConstant || sum <= 0 ||
		d.tokens[Prefill] <= 0 || d.tokens[Decode] <= 0 {
		return [2]float64{}, false
	}
	var demand [2]float64
	for _, class := range d.classes {
		fraction := class.rate / sum
		demand[Prefill] += fraction * class.prompt
		demand[Decode] += fraction * class.output
	}
	for s := range demand {
		demand[s] *= d.rate * d.busy[s] / d.tokens[s]
	}
	return demand, true
}

// updateEWMA updates an exponentially weighted mean; the first value sets the mean.
func updateEWMA(mean *float64, value, weight float64, known bool) {
	if !known && *mean == 0 {
		weight = 1
	}
	*mean += (value - *mean) * weight
}
