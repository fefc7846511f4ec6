package routing

// reportRegression is a least-squares fit of the duration of prefills to two variables: the waiting tokens in
// the load report before the prefill, and the tokens of the prefill. It has no constant term. The sums of
// products decay exponentially with each prefill.
type reportRegression struct {
	count, reportedSquared, reportedTimesOwn, ownSquared float64
	reportedTimesSeconds, ownTimesSeconds                float64
}

// observe adds one prefill: the tokens reported as waiting before it, its own tokens, and its duration in
// seconds.
func (f *reportRegression) observe(reported, own, seconds float64) {
	const decay = 0.99
	if reported <= 0 {
		return
	}
	for _, x := range []struct {
		sum   *float64
		value float64
	}{
		{&f.count, 1},
		{&f.reportedSquared, reported * reported},
		{&f.reportedTimesOwn, reported * own},
		{&f.ownSquared, own * own},
		{&f.reportedTimesSeconds, reported * seconds},
		{&f.ownTimesSeconds, own * seconds},
	} {
		*x.sum = *x.sum*decay + x.value
	}
}

// tokenWeight is the estimated time per reported token divided by the time per token of the prefill, limited
// to the range from 0.1 to 1. It is 1 until there are 20 samples. A constant does not suffice, as
// deployments differ in what they count as waiting, and reports differ in age.
func (f *reportRegression) tokenWeight() float64 {
	const minSamples, floor = 20, 0.1
	token := f.reportedSquared*f.ownTimesSeconds - f.reportedTimesOwn*f.reportedTimesSeconds
	if f.count < minSamples || token <= 0 {
		return 1
	}
	return min(1, max(floor, (f.ownSquared*f.reportedTimesSeconds-f.reportedTimesOwn*f.ownTimesSeconds)/token))
}
