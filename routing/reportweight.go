package routing

// shown holds reads by the tokens that the report had shown and those that were to be
// read, as sums of products with the time that the read took; old ones fade.
type shown struct{ count, aa, ab, bb, at, bt float64 }

func (f *shown) add(reported, toRead, took float64) {
	const keep = 0.99
	if reported <= 0 {
		return
	}
	for _, x := range []struct {
		sum   *float64
		value float64
	}{
		{&f.count, 1}, {&f.aa, reported * reported}, {&f.ab, reported * toRead}, {&f.bb, toRead * toRead},
		{&f.at, reported * took}, {&f.bt, toRead * took},
	} {
		*x.sum = *x.sum*keep + x.value
	}
}

// worth is the time that a reported token stands for against one to be read, by least
// squares: what deployments count as waiting differs, as do the reports' ages.
func (f *shown) worth() float64 {
	const enough, least = 20, 0.1
	token := f.aa*f.bt - f.ab*f.at
	if f.count < enough || token <= 0 {
		return 1
	}
	return min(1, max(least, (f.bb*f.at-f.ab*f.bt)/token))
}
