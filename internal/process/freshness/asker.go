package freshness

import "time"

// Step says what a node does to be confirmed.
type Step struct {
	Ask    bool // ask another node
	Nth    int  // which one: 0 is the first choice; each one that did not help is followed by the next
	Number uint64
	Store  bool // read the configuration from the store
}

// maxPreferred is the number of questions after which the first choice is tried again, if another one has helped since.
const maxPreferred = 10

// Asker decides when a node asks for a confirmation, and whom. In a calm deployment it asks the first choice about once a second.
// It is not safe for concurrent use.
type Asker struct {
	tracker *Tracker

	number     uint64 // of the last question
	askedAt    Moment
	unanswered bool // no useful answer to the last question so far
	misses     int  // questions without a useful answer, in a row
	preferred  int  // choice that helped last, see maxPreferred
	helped     int  // times in a row
	nth        int  // choice that was asked last
	helpedAt   Moment
	storeAt    Moment // of the last read of the store
	started    bool
}

// NewAsker returns an Asker of a process that begins to ask at the given moment. The numbers of its questions follow first.
func NewAsker(t *Tracker, first uint64, now Moment) *Asker {
	return &Asker{tracker: t, number: first, helpedAt: now}
}

// Next returns what to do now. The jitter, between 0 and 1, spreads the reads of the store over time.
func (a *Asker) Next(now Moment, jitter float64) Step {
	age, ok := a.tracker.Age(now)
	if ok && age < a.tracker.share(askShare) {
		a.misses, a.helpedAt = 0, now
		return Step{}
	}
	var step Step
	if !a.started || now-a.askedAt >= minAskInterval {
		if a.unanswered {
			a.misses++
		}
		a.number++
		a.started, a.unanswered, a.askedAt = true, true, now
		a.nth = a.preferred + a.misses
		step.Ask, step.Nth, step.Number = true, a.nth, a.number
	}
	spacing := minAskInterval + time.Duration(jitter*float64(minAskInterval))
	if now-a.helpedAt >= a.tracker.share(storeShare) && (a.storeAt == 0 || now-a.storeAt >= spacing) {
		a.storeAt = now
		step.Store = true
	}
	return step
}

// Asked returns the moment of the question with the number. It reports false for an answer to any but the last question.
func (a *Asker) Asked(number uint64) (Moment, bool) {
	return a.askedAt, a.started && number == a.number
}

// Answered records that the answer to the last question has been taken into account. It helped if the confirmation is recent now.
func (a *Asker) Answered(now Moment) {
	age, ok := a.tracker.Age(now)
	if !ok || age >= a.tracker.share(goodShare) {
		return
	}
	a.unanswered, a.misses, a.helpedAt = false, 0, now
	a.preferred = a.nth
	if a.helped++; a.helped >= maxPreferred || age >= a.tracker.share(preferShare) {
		a.preferred, a.helped = 0, 0
	}
}
