package deduplication

// Result is what is known of how a request that was run has ended.
type Result struct {
	Complete         bool // its whole answer was there, whether or not its client got all of it
	Refused          bool // it was turned away, or never begun
	RejectedByEngine bool // an engine did not accept it
	MayHaveRun       bool // an attempt has been out that is not known to have been turned away
}

// Outcome is what that means for its key. In doubt something may have run.
func (e Result) Outcome() Outcome {
	switch {
	case e.Complete:
		return OutcomeCompleted
	case e.Refused || e.RejectedByEngine || !e.MayHaveRun:
		return OutcomeNotRun
	}
	return OutcomeIndeterminate
}
