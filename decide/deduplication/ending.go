package deduplication

// Ending is what is known of how a request that was run has ended.
type Ending struct {
	Whole    bool // its whole answer was there, whether or not its client got all of it
	Refused  bool // it was turned away, or never begun
	Rejected bool // an engine did not accept it
	MayRun   bool // an attempt has been out that is not known to have been turned away
}

// Outcome is what that means for its key. In doubt something may have run.
func (e Ending) Outcome() Outcome {
	switch {
	case e.Whole:
		return Whole
	case e.Refused || e.Rejected || !e.MayRun:
		return NotRun
	}
	return Broken
}
