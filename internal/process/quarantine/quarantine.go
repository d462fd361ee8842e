// Package quarantine keeps requests that crash targets away from further targets.
//
// When a target process ends, the node beside it knows which requests were in progress, but not whether one of them was the cause.
// All of them become suspects. A suspect that was in progress at MaxEnds ends and was never answered in between is held: nodes
// refuse it for a while, and then let it run once, as a trial. An answer ends the suspicion, because a request that crashes its
// targets is never answered. For the same reason a request that was answered shortly before an end does not become a suspect. So a
// request that was in progress by chance is released soon, and one that crashes targets runs rarely.
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
)

// holdTimes are the times for which a suspect is held, each longer after an end from MaxEnds on, or after the start of a trial: the node
// of the trial may be lost before it can tell the result. After the last one there is no other trial until the record is forgotten:
// operators accept three further targets that one request crashes.
var holdTimes = [...]time.Duration{2 * time.Second, 10 * time.Second, 2 * time.Minute}

// Verdict says whether a request may run.
type Verdict uint8

// Verdicts.
const (
	Free  Verdict = iota // it may run
	Trial                // it was held and may run once
	Held                 // it must not run
)

// End identifies the end of a target process.
type End uint64

// Record is what is known of one suspect, as exchanged between nodes.
type Record struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Answers counts the answers that ended a suspicion. Of two records with different counts, the higher one holds.
	Answers uint64 `cbor:"2,keyasint,omitempty"`
	Ends    []End  `cbor:"3,keyasint,omitempty"` // since the last answer, in ascending order
	// Age is the time since the newest end, TrialAge that since the start of the latest trial, in milliseconds when the record was sent.
	Age      int64 `cbor:"4,keyasint,omitempty"`
	Trials   uint8 `cbor:"5,keyasint,omitempty"` // since the last answer
	TrialAge int64 `cbor:"6,keyasint,omitempty"`
}

// Held reports whether the suspect was in progress at enough ends to be held.
func (r *Record) Held() bool { return len(r.Ends) >= MaxEnds }

// record is the state of one suspect.
type record struct {
	answers uint64
	ends    []End // in ascending order; never changed, so that records that were sent stay valid
	lastEnd time.Time
	trials  uint8
	trial   time.Time // start of the latest trial
}

func (r *record) export(fp Fingerprint, now time.Time) Record {
	out := Record{Fingerprint: fp, Answers: r.answers, Ends: r.ends, Age: now.Sub(r.lastEnd).Milliseconds(), Trials: r.trials}
	if r.trials > 0 {
		out.TrialAge = now.Sub(r.trial).Milliseconds()
	}
	return out
}

func (r *record) expired(now time.Time) bool {
	limit := retention
	if len(r.ends) >= MaxEnds {
		limit = heldRetention
	}
	return now.Sub(r.lastEnd) > limit
}

func (r *record) verdict(now time.Time) Verdict {
	if len(r.ends) < MaxEnds {
		return Free
	}
	since := r.lastEnd
	if r.trial.After(since) {
		since = r.trial
	}
	n := max(len(r.ends)-MaxEnds, int(r.trials))
	if n >= len(holdTimes) || now.Sub(since) < holdTimes[n] {
		return Held
	}
	return Trial
}

// Table holds the suspects that a node knows of.
type Table struct {
	size atomic.Int64 // of records; lets requests pass without the mutex while there is no suspect

	mu       sync.Mutex
	records  map[Fingerprint]*record
	sum      uint64 // see Sum
	answered recentAnswers
}

// New returns an empty table.
func New() *Table { return &Table{records: map[Fingerprint]*record{}} }

// Empty reports whether there is no suspect.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Check returns the verdict on a request to a service with the given number of targets.
func (t *Table) Check(fp Fingerprint, targets int, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[fp]
	if r == nil || r.expired(now) {
		return Free
	}
	verdict := r.verdict(now)
	if verdict == Trial && targets < 2 && now.Sub(r.lastEnd) < lastTargetHold {
		return Held
	}
	return verdict
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
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[fp]
	if r == nil || r.verdict(now) != Trial {
		return Record{}, false
	}
	next := *r
	next.trials, next.trial = r.trials+1, now
	t.putLocked(fp, &next)
	return next.export(fp, now), true
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
		var answers uint64
		if r := t.records[fp]; r != nil {
			answers = r.answers
		}
		if t.mergeLocked(Record{Fingerprint: fp, Answers: answers, Ends: []End{end}}, now) {
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
	have := t.records[in.Fingerprint]
	if have != nil && have.expired(now) {
		t.removeLocked(in.Fingerprint)
		have = nil
	}
	next := record{answers: in.Answers, lastEnd: now.Add(-duration(in.Age)), trials: in.Trials}
	if in.Trials > 0 {
		next.trial = now.Add(-duration(in.TrialAge))
	}
	switch {
	case have == nil || in.Answers > have.answers:
		next.ends = union(nil, in.Ends)
	case in.Answers < have.answers:
		return false
	default:
		next.ends = union(have.ends, in.Ends)
		if slices.Equal(next.ends, have.ends) && next.trials <= have.trials {
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

// duration returns an age of a record.
func duration(milliseconds int64) time.Duration {
	return time.Duration(min(max(0, milliseconds), maxAge)) * time.Millisecond
}

// union returns the ends of both lists in ascending order, at most maxStoredEnds.
func union(a, b []End) []End {
	out := slices.Concat(a, b)
	slices.Sort(out)
	out = slices.Compact(out)
	return out[:min(len(out), maxStoredEnds)]
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
