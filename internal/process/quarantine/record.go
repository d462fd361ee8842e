package quarantine

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeoncleat/wigeoncleat/internal/process/balance"
)

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
	Crashed  uint8 `cbor:"7,keyasint,omitempty"` // a bit for each trial, counted from 0, in which the target ended
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
	crashed uint8     // see Record.Crashed
}

func (r *record) export(fp Fingerprint, now time.Time) Record {
	out := Record{Fingerprint: fp, Answers: r.answers, Ends: r.ends, Age: now.Sub(r.lastEnd).Milliseconds(), Trials: r.trials, Crashed: r.crashed}
	if r.trials > 0 {
		out.TrialAge = now.Sub(r.trial).Milliseconds()
	}
	return out
}

// latest returns the time of the last end or of the start of the latest trial.
func (r *record) latest() time.Time {
	if r.trials > 0 && r.trial.After(r.lastEnd) {
		return r.trial
	}
	return r.lastEnd
}

// tried reports whether there is no further trial.
func (r *record) tried() bool { return int(r.trials) >= len(holdTimes) }

// forgetAt returns the time at which the record is forgotten. A suspect that had all its trials without proof is free soon.
func (r *record) forgetAt() time.Time {
	if len(r.ends) < MaxEnds || r.tried() && bits.OnesCount8(r.crashed) < provenCrashes {
		return r.latest().Add(retention)
	}
	return r.latest().Add(heldRetention)
}

func (r *record) expired(now time.Time) bool { return now.After(r.forgetAt()) }

// nextTrial returns the time from which the suspect may run as a trial if its service has the given number of targets, and false if
// it may not.
func (r *record) nextTrial(targets int) (time.Time, bool) {
	if r.tried() {
		return time.Time{}, false
	}
	next := r.latest().Add(holdTimes[r.trials])
	if spared := r.lastEnd.Add(lastTargetHold); targets < 2 && spared.After(next) {
		next = spared
	}
	return next, true
}

func (r *record) decide(fp Fingerprint, targets int, now time.Time) Decision {
	if len(r.ends) < MaxEnds {
		return Decision{Verdict: Free}
	}
	next, more := r.nextTrial(targets)
	switch {
	case !more:
		return Decision{Verdict: Held}
	case !now.Before(next):
		return Decision{Verdict: Trial, TrialKey: trialKey(fp, r.trials), RetryAfter: r.retryAfter(now, trialDelay)}
	default:
		return Decision{Verdict: Held, RetryAfter: r.retryAfter(now, next.Sub(now))}
	}
}

// retryAfter returns the time after which a refused caller may come back, given the time until the next trial. Callers of a suspect
// that has crashed a target in a trial are not invited to send it again. While a trial may be running, its result is near.
func (r *record) retryAfter(now time.Time, untilTrial time.Duration) time.Duration {
	if r.crashed != 0 {
		return 0
	}
	if r.trials > 0 && now.Sub(r.trial) < trialDelay {
		return trialDelay
	}
	return max(untilTrial, time.Millisecond)
}

// trialKey returns the key by which nodes choose the node for the trial with the given number.
func trialKey(fp Fingerprint, number uint8) uint64 {
	return xxhash.Sum64(append(fp[:len(fp):len(fp)], number)) | 1
}

// chosen returns the address that all nodes choose for a key, as balance.Picker.PickStable does. A target that has just become absent
// is chosen like the others: at the other side of a cut it may serve.
func chosen(targets []Target, key uint64, now time.Time) (best string) {
	var highest uint64
	for _, t := range targets {
		if !t.AbsentSince.IsZero() && now.Sub(t.AbsentSince) >= takeoverTime {
			continue
		}
		if weight := balance.StableWeight(t.Address, key); best == "" || weight > highest {
			best, highest = t.Address, weight
		}
	}
	return best
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
