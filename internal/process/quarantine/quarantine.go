// Package quarantine keeps requests that crash targets away from further targets.
//
// When a target process ends, the node beside it knows which requests were in progress, but not whether one of them was the cause.
// All of them become suspects. A suspect that was in progress at MaxEnds ends and was never answered in between is held: nodes
// refuse it for a while, and then let it run once, as a trial. An answer ends the suspicion, because a request that crashes its
// targets is never answered. For the same reason a request that was answered shortly before an end does not become a suspect. So a
// request that was in progress by chance is released soon, and one that crashes targets runs rarely.
//
// The number of ends does not count beyond MaxEnds: one crash of all targets of a service is many ends. How long a suspect is held
// follows from its trials alone. Each trial has a number, and all nodes choose the same node for a number, so that a node that is cut
// off or has missed records does not run a trial that another node runs too.
//
// Each attempt of a caller has another ID, so a request is recognised by its content. Nodes exchange their records, and the result
// of Merge does not depend on the order in which they arrive.
//
// A Table is safe for concurrent use.
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// MaxEnds is the number of ends from which a suspect is held. Targets also end for other reasons, and a request can be in progress at
// one or two ends by chance.
const MaxEnds = 3

const (
	// maxRetryEnds is the number of ends from which nodes do not send the same attempt to another target.
	maxRetryEnds = 2
	// retention is the time after its last end for which a suspect that is not held is remembered, and also an answer that ended
	// the suspicion.
	retention = 10 * time.Minute
	// heldRetention is the same time for a suspect that is held.
	heldRetention = 24 * time.Hour
	// maxAge bounds the age that a record of another node can state, in milliseconds. At that age it is forgotten in any case.
	maxAge = int64(2 * heldRetention / time.Millisecond)
	// maxRecords bounds the memory for records, at about 200 bytes each.
	maxRecords = 4096
	// maxStoredEnds bounds the ends of one record.
	maxStoredEnds = MaxEnds + len(holdTimes)
	// lastTargetHold is the time for which a suspect is held in any case while its service has one target left: a trial could end that
	// one before the others are back.
	lastTargetHold = 10 * time.Second
	// takeoverTime is the time after which a trial may run at another node than the one that all nodes choose, if that one cannot be
	// reached or its target is not ready. It is longer than the cuts of the network that are expected, up to 12 s.
	takeoverTime = 15 * time.Second
	// provenCrashes is the number of trials that must have ended their targets until the suspect is held for heldRetention. One such
	// end can have another cause.
	provenCrashes = 2
	// manyTargets stands for the targets of a service if their number is not known.
	manyTargets = 2
)

// holdTimes are the times for which a suspect is held before each of its trials, counted from its last end or the start of the trial
// before: the node of the trial may be lost before it can tell the result. After the last one there is no other trial until the record
// is forgotten: operators accept three further targets that one request crashes.
var holdTimes = [...]time.Duration{2 * time.Second, 10 * time.Second, 2 * time.Minute}

// Verdict says whether a request may run.
type Verdict uint8

// Verdicts.
const (
	Free  Verdict = iota // it may run
	Trial                // it was held and may run once
	Held                 // it must not run
)

// Decision is a verdict with what follows from it.
type Decision struct {
	Verdict    Verdict
	TrialKey   uint64        // of a trial: determines the node at which it runs, see balance.Picker.PickStable; not zero
	RetryAfter time.Duration // for a caller that is refused; zero: it should not come back
}

// trialDelay is the time after which a caller may come back that was refused while a trial was due or had just begun.
const trialDelay = time.Second

// End identifies the end of a target process.
type End uint64

// Table holds the suspects that a node knows of.
type Table struct {
	size atomic.Int64 // of records; lets requests pass without the mutex while there is no suspect

	mu       sync.Mutex
	records  map[Fingerprint]*record
	sum      uint64 // see Sum
	answered recentAnswers
	running  map[Fingerprint]runningTrial // of trials that this node has begun and whose result it does not know
	place    Place
}

// Place is what a node knows of the targets of the service whose trials it runs.
type Place struct {
	Self    string // address of the node
	Targets func() []Target
}

// Target is a target of a service that has not announced that it leaves.
type Target struct {
	Address string // of its node
	// AbsentSince is the time since when the node cannot be reached or, if it can, its target is not ready; zero: it serves.
	AbsentSince time.Time
}

// runningTrial is a trial with the number of answers of its record, which is another one if the suspicion has ended meanwhile.
type runningTrial struct {
	number  uint8
	answers uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{records: map[Fingerprint]*record{}, running: map[Fingerprint]runningTrial{}}
}

// SetPlace restricts the trials that this node begins to those for which all nodes choose it. Without a place, it may begin any.
// SetPlace must not be called while the table is in use.
func (t *Table) SetPlace(p Place) { t.place = p }

// Empty reports whether there is no suspect.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Check returns the verdict on a request to a service with the given number of targets.
func (t *Table) Check(fp Fingerprint, targets int, now time.Time) Verdict {
	return t.Decide(fp, targets, now).Verdict
}

// Decide is like Check and returns also what follows from the verdict.
func (t *Table) Decide(fp Fingerprint, targets int, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.lookupLocked(fp, now); r != nil {
		return r.decide(fp, targets, now)
	}
	return Decision{Verdict: Free}
}

// lookupLocked returns the record of a suspect, or nil. It removes a record that has expired. The caller holds the mutex.
func (t *Table) lookupLocked(fp Fingerprint, now time.Time) *record {
	r := t.records[fp]
	if r != nil && r.expired(now) {
		t.removeLocked(fp)
		return nil
	}
	return r
}

// MayRetry reports whether an attempt that a target did not answer may be sent to another one.
func (t *Table) MayRetry(fp Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[fp]
	return r == nil || len(r.ends) < maxRetryEnds
}

// BeginTrial reports whether the request may run at this node's target now as its trial, and if so returns the new record.
func (t *Table) BeginTrial(fp Fingerprint, now time.Time) (begun Record, ok bool) {
	var all []Target
	targets := manyTargets
	if t.place.Targets != nil {
		all, targets = t.place.Targets(), 0
		for _, target := range all {
			if target.AbsentSince.IsZero() {
				targets++
			}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.lookupLocked(fp, now)
	if r == nil {
		return Record{}, false
	}
	decision := r.decide(fp, targets, now)
	if decision.Verdict != Trial {
		return Record{}, false
	}
	if t.place.Targets != nil && chosen(all, decision.TrialKey, now) != t.place.Self {
		return Record{}, false
	}
	next := *r
	next.trials, next.trial = r.trials+1, now
	t.putLocked(fp, &next)
	t.running[fp] = runningTrial{r.trials, r.answers}
	return next.export(fp, now), true
}

// TrialFailed records that this node's target has answered a request with a failure. That neither ends the suspicion nor proves it.
func (t *Table) TrialFailed(fp Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, fp)
}

// Ended records the end of a target process with the requests that were in progress there. It returns the records of those that are
// suspects.
func (t *Table) Ended(end End, inProgress []Fingerprint, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for _, fp := range inProgress {
		if t.answered.has(fp, now) {
			continue
		}
		in := Record{Fingerprint: fp, Ends: []End{end}}
		if r := t.records[fp]; r != nil {
			in.Answers = r.answers
			if trial, ok := t.running[fp]; ok && trial.answers == r.answers {
				in.Crashed = 1 << trial.number
			}
			delete(t.running, fp)
		}
		if t.mergeLocked(in, now) {
			out = append(out, t.records[fp].export(fp, now))
		}
	}
	return out
}

// Answered records that this node's target has answered a request. It returns the new record and the number of ends that were held
// against the request; zero: it was no suspect.
func (t *Table) Answered(fp Fingerprint, now time.Time) (cleared Record, ends int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered.add(fp, now)
	return t.clearLocked(fp, now)
}

// clearLocked ends the suspicion of a request. The caller holds the mutex.
func (t *Table) clearLocked(fp Fingerprint, now time.Time) (cleared Record, ends int) {
	delete(t.running, fp)
	r := t.records[fp]
	if r == nil || len(r.ends) == 0 {
		return Record{}, 0
	}
	ends = len(r.ends)
	t.mergeLocked(Record{Fingerprint: fp, Answers: r.answers + 1}, now)
	return t.records[fp].export(fp, now), ends
}

// Merge adds the records of another node and returns those that were news. Suspects that this node's target has answered shortly before
// are cleared, and their records, which the other node lacks, are returned too.
func (t *Table) Merge(list []Record, now time.Time) (news, cleared []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range list {
		if !t.mergeLocked(r, now) {
			continue
		}
		if t.answered.has(r.Fingerprint, now) {
			if c, ends := t.clearLocked(r.Fingerprint, now); ends > 0 {
				cleared = append(cleared, c)
				continue
			}
		}
		news = append(news, t.records[r.Fingerprint].export(r.Fingerprint, now))
	}
	return news, cleared
}

// mergeLocked merges one record and reports whether that changed anything. The caller holds the mutex.
func (t *Table) mergeLocked(in Record, now time.Time) bool {
	have := t.lookupLocked(in.Fingerprint, now)
	next := record{answers: in.Answers, lastEnd: now.Add(-duration(in.Age)), trials: in.Trials, crashed: in.Crashed}
	if in.Trials > 0 {
		next.trial = now.Add(-duration(in.TrialAge))
	}
	switch {
	case have == nil || in.Answers > have.answers:
		next.ends = union(nil, in.Ends)
	case in.Answers < have.answers:
		return false
	default:
		next.ends, next.crashed = union(have.ends, in.Ends), have.crashed|in.Crashed
		if slices.Equal(next.ends, have.ends) && next.trials <= have.trials && next.crashed == have.crashed {
			return false
		}
		if have.trials >= next.trials {
			next.trials, next.trial = have.trials, have.trial
		}
		if have.lastEnd.After(next.lastEnd) {
			next.lastEnd = have.lastEnd
		}
	}
	if next.expired(now) {
		return false
	}
	if have == nil && len(t.records) >= maxRecords {
		t.evictLocked()
	}
	t.putLocked(in.Fingerprint, &next)
	return true
}

// putLocked stores a record. The caller holds the mutex.
func (t *Table) putLocked(fp Fingerprint, r *record) {
	t.removeLocked(fp)
	t.records[fp] = r
	t.sum ^= hashOf(fp, r)
	t.size.Store(int64(len(t.records)))
}

// removeLocked removes a record. The caller holds the mutex.
func (t *Table) removeLocked(fp Fingerprint) {
	if r := t.records[fp]; r != nil {
		t.sum ^= hashOf(fp, r)
		delete(t.records, fp)
		t.size.Store(int64(len(t.records)))
	}
}

// evictLocked removes the record with the fewest ends; of several, the oldest. The caller holds the mutex.
func (t *Table) evictLocked() {
	var victim Fingerprint
	var least *record
	for fp, r := range t.records {
		if least == nil || cmp.Or(cmp.Compare(len(r.ends), len(least.ends)), r.lastEnd.Compare(least.lastEnd)) < 0 {
			victim, least = fp, r
		}
	}
	t.removeLocked(victim)
}

// Expire removes the records that are no longer needed.
func (t *Table) Expire(now time.Time) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for fp, r := range t.records {
		if r.expired(now) {
			t.removeLocked(fp)
			delete(t.running, fp)
		}
	}
}

// Sum returns a value that is equal in two tables with the same suspects. Without any, it is zero.
func (t *Table) Sum() uint64 {
	if t.Empty() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sum
}

// Records returns up to n records: those of the given suspects first, then the others by the number of ends, the newest first.
func (t *Table) Records(n int, first []Record, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	listed := map[Fingerprint]bool{}
	for _, f := range first {
		if r := t.records[f.Fingerprint]; r != nil && !listed[f.Fingerprint] {
			listed[f.Fingerprint] = true
			out = append(out, r.export(f.Fingerprint, now))
		}
	}
	given := len(out)
	for fp, r := range t.records {
		if !listed[fp] && len(r.ends) > 0 {
			out = append(out, r.export(fp, now))
		}
	}
	slices.SortFunc(out[given:], func(a, b Record) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(a.Age, b.Age), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return out[:min(n, len(out))]
}

// HeldCount returns the number of suspects that are held.
func (t *Table) HeldCount() int {
	if t.Empty() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.records {
		if len(r.ends) >= MaxEnds {
			n++
		}
	}
	return n
}
