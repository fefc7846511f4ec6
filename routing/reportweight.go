package routing

// reportRegression is a least-squares fit of the time that prefills took by the tokens that the report
// showed waiting before them and their own tokens, without a constant term. It keeps the sums of
// products; old prefills fade.
type reportRegression struct {
	count, reportedSquared, reportedTimesOwn, ownSquared float64
	reportedTimesSeconds, ownTimesSeconds                float64
}

// observe takes one prefill: tokens reported waiting before it, its own tokens, and its time in seconds.
func (f *reportRegression) observe(reported, own, seconds float64) {
	const keep = 0.99
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
		*x.sum = *x.sum*keep + x.value
	}
}

// tokenWeight is the time that a reported token stands for against one of the prefill's own:
// deployments differ in what they count as waiting, and reports in their age.
func (f *reportRegression) tokenWeight() float64 {
	const enough, least = 20, 0.1
	token := f.reportedSquared*f.ownTimesSeconds - f.reportedTimesOwn*f.reportedTimesSeconds
	if f.count < enough || token <= 0 {
		return 1
	}
	return min(1, max(least, (f.ownSquared*f.reportedTimesSeconds-f.reportedTimesOwn*f.ownTimesSeconds)/token))
}
