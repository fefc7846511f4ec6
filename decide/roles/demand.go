package roles

import (
	"math"
	"time"
)

// Traffic is the totals of one class of requests since some start, at the gateways that are
// sampled.
type Traffic struct {
	Class              string
	Requested          float64 // requests, rejected ones included
	PromptTokens       float64 // of these
	Served             float64 // requests that were served completely
	ServedPromptTokens float64 // of these
	OutputTokens       float64 // of these
}

// demandEstimator estimates the work that clients request of both stages, whether or not it is
// served. The load of engines alone would mislead: after a swing of the mix it is too high for
// the stage that rises, by its backlog, and too low for the stage behind it.
//
// The work of a token is learned from how many engines were busy while so many tokens were
// served. The rate of each class follows fast, that of all requests slowly: the mix is what
// swings, the total mostly noise.
type demandEstimator struct {
	timeConstant  time.Duration // of the classes' rates
	classes       map[string]*classDemand
	rate          float64       // requests a second, of all classes
	busy          [2]float64    // engines at work, by stage
	tokens        [2]float64    // tokens served a second, by stage
	observedFor   time.Duration // since the first output token
	previous      map[string]Traffic
	calibratedFor time.Duration
}

// classDemand is the smoothed demand of one class.
type classDemand struct {
	rate           float64 // requests a second
	prompt, output float64 // tokens a request
	known          bool    // a request has been served
}

// The time constants of other values, in that of the classes' rates.
const (
	rateTimeConstants           = 3
	calibrationTimeConstants    = 8
	minCalibrationTimeConstants = 2 // of learning, before the estimate is used
)

// ewmaWeight returns the weight of a value observed for a span in a mean with a time constant.
func ewmaWeight(span, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-span.Seconds()/timeConstant.Seconds())
}

// deltas returns what has been added to the totals since the last call: nothing at the first
// call, and for a class whose totals have been reset.
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

// observe takes in the totals at the end of a span and the engines that were busy at each stage.
// It returns the demand at both stages in engines, false while it is unknown.
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
		// Engines are busy with a request from its start, but it counts as served at its end:
		// while the first ones are under way the work of a token would come out too high.
		weight := ewmaWeight(span, calibrationTimeConstants*d.timeConstant)
		for s := range served {
			d.busy[s] += (busy[s] - d.busy[s]) * weight
			d.tokens[s] += (served[s] - d.tokens[s]) * weight
		}
		d.calibratedFor += span
	}
	return d.estimate()
}

// observeTraffic updates the rates and the tokens of a request, and returns the tokens served a
// second at each stage.
func (d *demandEstimator) observeTraffic(span time.Duration, traffic []Traffic) (served [2]float64) {
	if d.classes == nil {
		d.classes = map[string]*classDemand{}
	}
	fast, slow := ewmaWeight(span, d.timeConstant), ewmaWeight(span, rateTimeConstants*d.timeConstant)
	if d.observedFor < d.timeConstant {
		slow = ewmaWeight(span, d.observedFor+span) // a mean of all that was observed so far
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

// estimate returns the demand at both stages in engines, false while it is unknown.
func (d *demandEstimator) estimate() ([2]float64, bool) {
	sum := 0.0
	for _, class := range d.classes {
		sum += class.rate
	}
	if d.calibratedFor < minCalibrationTimeConstants*d.timeConstant || sum <= 0 || d.tokens[Prefill] <= 0 || d.tokens[Decode] <= 0 {
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

// updateEWMA moves a mean towards a value by a weight; the first value is taken as the mean.
func updateEWMA(mean *float64, value, weight float64, known bool) {
	if !known && *mean == 0 {
		weight = 1
	}
	*mean += (value - *mean) * weight
}
