// Package heldstate decides when engines are told to let go of the read states that they
// may hold for one request.
//
// A read leaves a state at its engine. An attempt at a writer takes it; otherwise it must be
// released within the pin limit, counted while no attempt is out. A Ledger is the one owner
// of that duty for a request: it knows which engines may hold something, since when, and how
// surely, until each has let go. It does no I/O and reads no clock.
package heldstate

import (
	"maps"
	"slices"
	"time"
)

// Time is a point on the caller's clock, as the span since an arbitrary origin.
type Time = time.Duration

// Margins of the ledger.
const (
	// CancelTransit is how long an engine may take to learn that an attempt was given up. A
	// release that overtakes the cancel has no effect, so it is sent again after this.
	CancelTransit = 150 * time.Millisecond
	// RepeatLeast is the least span between two releases at one engine.
	RepeatLeast = 100 * time.Millisecond
)

// Limits are the figures of a ledger. They follow from the settings.
type Limits struct {
	Pin     time.Duration // a state may be held this long while no attempt is out
	Slack   time.Duration // and this much longer, which is left for the release to arrive
	GiveUp  time.Duration // a release is tried this long at an engine that is not reached
	Reach   time.Duration // how long it takes at most to find out whether an engine is reached
	ReadFor time.Duration // a read whose engine knows that its attempt was given up may run on this long
}

// entry is one engine that may hold something.
type entry struct {
	doubtful   bool // the attempt ended without an answer: there may be no state, or not yet
	detached   bool // no attempt will take it, nor does an answer that begins let go of it
	asked      bool // one release is to be sent, although an attempt may be out
	reads      bool // it may be a read, which runs on: its state may come after a release
	due        Time // since when it is to be released; 0 while it is not
	telling    bool // a release is under way
	told       int  // releases that have arrived with no attempt out
	first      Time // the first of them
	last       Time // and the latest
	unreleased bool // it has been given up
}

// Ledger keeps what engines may hold for one request. Use New.
type Ledger struct {
	limits  Limits
	entries map[string]*entry
	holder  string // the engine whose state the request is to go on with; "" for none
	over    bool   // the request has had its answer
	out     Out
	exposed Time // since when no attempt has surely been out
	checked bool // it has been asked whether the attempt that may be out has arrived
}

// Out says how an attempt answers for what is held.
type Out uint8

// What is out for a request.
const (
	NotOut Out = iota // nothing, as far as the engines know
	// MayBeOut: an attempt was written, but nothing has been heard of its engine since. It may
	// never have arrived: on a connection that has been idle nothing shows a cut.
	MayBeOut
	SurelyOut // and its engine has been heard since
)

// New returns an empty ledger.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits, entries: map[string]*entry{}}
}

// Holder returns the engine whose state waits for a writer, "" if there is none.
func (l *Ledger) Holder() string { return l.holder }

// Read notes that a prompt has been read and its state waits at an engine.
func (l *Ledger) Read(engine string, now Time) {
	l.exposed = now
	e := &entry{}
	if was := l.entries[engine]; was != nil { // an earlier read there may still run on
		e.doubtful, e.reads = was.doubtful, was.reads
	}
	l.entries[engine] = e
	if !l.over {
		l.holder = engine
	}
}

// Lost notes that an attempt ended without its engine's word: it may have left a state, or
// leave one yet where the read runs on.
func (l *Ledger) Lost(engine string, reads bool) {
	e := l.entries[engine]
	if e == nil {
		e = &entry{}
		l.entries[engine] = e
	}
	e.doubtful, e.told, e.last = true, 0, 0
	e.reads = e.reads || reads
}

// Failed notes that an engine failed an attempt. Its word ends the attempt there.
func (l *Ledger) Failed(engine string) {
	if l.entries[engine] == nil {
		l.entries[engine] = &entry{}
	}
}

// Begun notes that an answer has begun: the state was fetched. Should the answer break, the
// engines are told all the same.
func (l *Ledger) Begun() { l.holder = "" }

// Served notes that an answer has come to its end: the engines have let go of the rest. A
// read that was given up and may run on is kept in mind, and so is what no attempt fetches.
func (l *Ledger) Served() {
	l.holder = ""
	maps.DeleteFunc(l.entries, func(_ string, e *entry) bool { return !e.detached && !e.reads })
}

// Detach has the waiting state released while the request goes on at an engine that fetches
// none.
func (l *Ledger) Detach() {
	if e := l.entries[l.holder]; e != nil {
		e.detached, e.asked = true, true
	}
	l.holder = ""
}

// NoState notes that a writer has found no state. The reader may only have been out of the
// writer's reach, so it is told to let go all the same.
func (l *Ledger) NoState() { l.holder = "" }

// Finish notes that the request has had its answer: nothing goes on with what is held.
func (l *Ledger) Finish() {
	if !l.over {
		l.over, l.holder = true, ""
		l.hurry()
	}
}

// hurry has the engines told at once that were told only while an attempt may have waited.
func (l *Ledger) hurry() {
	for _, e := range l.entries {
		if e.told == 0 {
			e.last = 0
		}
	}
}

// Renew has every engine told anew: an attempt that may have waited for the state until now,
// so that no release let go of it, has ended.
func (l *Ledger) Renew() {
	for _, e := range l.entries {
		e.told, e.last = 0, 0
	}
}

// Proven notes that an attempt was out until now: its engine has ended it.
func (l *Ledger) Proven(now Time) { l.exposed = now }

// Set says whether an attempt of the request is out.
func (l *Ledger) Set(out Out, now Time) {
	if l.out == SurelyOut && out != SurelyOut || l.exposed == 0 {
		l.exposed = now
	}
	if l.out != NotOut && out == NotOut {
		l.hurry()
	}
	if l.out != out {
		l.checked = false
	}
	l.out = out
}

// checks is when it has to be found out whether the engine of an attempt that may be out is
// reached: early enough for an answer before the state has to be let go.
func (l *Ledger) checks() Time {
	return max(l.exposed+l.limits.Pin/checkPart, l.lapses()-l.limits.Reach)
}

// checkPart is the part of the pin limit that is waited for at least.
const checkPart = 4

// mayCheck tells whether there is something to be found out: a release while an attempt waits
// in its engine's queue may let go of the state that it waits for.
func (l *Ledger) mayCheck() bool {
	return l.out == MayBeOut && !l.checked && !l.over && len(l.entries) > 0
}

// Check tells, once for each attempt, that it is time to find out whether its engine is
// reached. If it is, the caller says so with Set.
func (l *Ledger) Check(now Time) bool {
	due := l.mayCheck() && now >= l.checks()
	l.checked = l.checked || due
	return due
}

// lapses is when the waiting state has to be let go unless an attempt is surely out by then.
// Half of the slack is left for the release.
func (l *Ledger) lapses() Time { return l.exposed + l.limits.Pin + l.limits.Slack/2 }

// mayLapse tells whether the time of a waiting state runs.
func (l *Ledger) mayLapse() bool { return l.holder != "" && l.out != SurelyOut }

// Lapsed tells whether the state has waited for a writer for as long as it may. With an
// attempt that may be out the state is to be released all the same: a release lets go of
// nothing that an attempt waits for.
func (l *Ledger) Lapsed(now Time) bool { return l.mayLapse() && now >= l.lapses() }

// Lapse has the waiting state released. The request may still go on with it if an attempt
// proves to have been out.
func (l *Ledger) Lapse(now Time) {
	if l.out == NotOut {
		l.holder = ""
		return
	}
	l.exposed = now
	for _, e := range l.entries {
		e.asked = true
	}
}

// period is the span between two releases of what may come to be held in between.
func (l *Ledger) period() time.Duration { return max(l.limits.Pin, RepeatLeast) }

// wanted is from when on an engine's state is to be let go, as far as the request goes; false
// if it is not. A release lets go of all that no attempt waits for, at whatever engine it is:
// as long as a state waits for a writer, none is sent for what an earlier attempt may have
// left, and while an attempt may be reading, none before it has to be.
func (l *Ledger) wanted(e *entry) (at Time, is bool) {
	switch {
	case l.over || e.asked:
		return 0, true
	case l.holder != "" || l.out == SurelyOut:
		return 0, false
	case l.out == MayBeOut:
		return l.lapses(), true
	}
	return 0, true
}

// next is when an engine is to be told next; false if it need not be.
func (l *Ledger) next(e *entry) (at Time, some bool) {
	from, is := l.wanted(e)
	if e.telling || e.unreleased || !is {
		return 0, false
	}
	switch {
	case e.asked || e.told == 0 && e.last == 0:
		return from, true
	case e.told == 0:
		return max(from, e.last+l.period()), true
	}
	at, some = l.repeat(e)
	return max(from, at), some
}

// repeat is when an engine that has been told is to be told once more; false if it need not
// be.
func (l *Ledger) repeat(e *entry) (at Time, some bool) {
	at, some = l.again(e)
	if repeat := e.last + l.period(); e.reads && e.last < e.first+l.limits.ReadFor && (!some || repeat < at) {
		return repeat, true
	}
	return at, some
}

// again is when an engine has to be told once more, as its latest release may have overtaken
// the word to another engine that an attempt there was given up: until that one knows, the
// attempt waits for the state, which is not let go then.
func (l *Ledger) again(e *entry) (at Time, some bool) {
	for _, other := range l.entries {
		if !other.doubtful || other.told == 0 {
			continue
		}
		if knows := other.first + CancelTransit; e.last < knows && (!some || knows < at) {
			at, some = knows, true
		}
	}
	return at, some
}

// Due returns the engines that are to be told now, in order of name. The caller tells each
// and says how that went with Told.
func (l *Ledger) Due(now Time) []string {
	var due []string
	for _, name := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[name]
		at, wanted := l.next(e)
		if !wanted || at > now {
			continue
		}
		if e.due == 0 {
			e.due = now
		}
		e.telling = true
		due = append(due, name)
	}
	return due
}

// Until is when a release that is under way at an engine is to be given up.
func (l *Ledger) Until(engine string) Time {
	if e := l.entries[engine]; e != nil {
		return e.due + l.limits.GiveUp
	}
	return 0
}

// Told notes how a release ended: it has arrived, or was stopped, or was given up in time.
func (l *Ledger) Told(engine string, arrived bool, now Time) {
	e := l.entries[engine]
	if e == nil || !e.telling {
		return
	}
	e.telling, e.asked = false, false
	switch {
	case arrived && !l.over && l.out != NotOut:
		e.last = now // an attempt may have waited for the state, so that this let go of nothing
	case arrived:
		if e.told++; e.told == 1 {
			e.first = now
		}
		e.last = now
	case now >= e.due+l.limits.GiveUp:
		e.unreleased = true
	}
}

// Stop returns the releases under way that must not meet an attempt that has just gone out.
func (l *Ledger) Stop(now Time) []string {
	var stop []string
	for name, e := range l.entries {
		if at, wanted := l.wanted(e); e.telling && (!wanted || at > now) {
			stop = append(stop, name)
		}
	}
	slices.Sort(stop)
	return stop
}

// Next returns when Due or Lapsed may have something new to say; false if only an event can
// bring that.
func (l *Ledger) Next() (at Time, some bool) {
	for _, e := range l.entries {
		if t, wanted := l.next(e); wanted && (!some || t < at) {
			at, some = t, true
		}
	}
	if t := l.lapses(); l.mayLapse() && (!some || t < at) {
		at, some = t, true
	}
	if t := l.checks(); l.mayCheck() && (!some || t < at) {
		at, some = t, true
	}
	return at, some
}

// Done tells whether nothing is left to do for the request once it is over.
func (l *Ledger) Done() bool {
	if !l.over {
		return false
	}
	for _, e := range l.entries {
		if _, wanted := l.next(e); wanted || e.telling {
			return false
		}
	}
	return true
}

// Pressing tells whether an engine has still to be told for the first time, or once more
// because a release may have overtaken a cancel: what a gateway that leaves waits for. Reads
// that may run on, and engines that are not reached, are not waited for past the pin limit.
func (l *Ledger) Pressing(now Time) bool {
	for _, e := range l.entries {
		switch {
		case e.unreleased:
		case e.told == 0 && (e.due == 0 || now < e.due+pressing*l.limits.Pin):
			return true
		case e.doubtful && e.told > 0 && e.last < e.first+CancelTransit:
			return true
		}
	}
	return false
}

// pressing is how many pin limits a leaving gateway waits for an engine that is not reached.
const pressing = 4
