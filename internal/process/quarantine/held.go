package quarantine

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"math/bits"
	"slices"
	"time"
)

// HeldRequest says why a request is held, and for how long. Times are in seconds from now.
type HeldRequest struct {
	Fingerprint   string `json:"fingerprint"`
	Ends          int    `json:"ends"`           // of targets that ran it; more than maxStoredEnds are not counted
	LastEnd       int64  `json:"last_end_s"`     // time since the last of them
	Trials        int    `json:"trials"`         // that have begun
	CrashedTrials int    `json:"crashed_trials"` // in which the target ended
	NextTrial     *int64 `json:"next_trial_s"`   // at the earliest; nil: there is none
	ForgottenIn   int64  `json:"forgotten_in_s"` // unless a trial or another end follows
	LastTrial     *int64 `json:"last_trial_s"`   // time since the start of the latest trial; nil: there was none
	RetryAfter    int64  `json:"retry_after_ms"` // that callers are told now; zero: none
}

// Held returns the requests that are held or due for a trial, the ones with the latest ends first.
func (t *Table) Held(now time.Time) []HeldRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []HeldRequest{}
	for fp, r := range t.records {
		d := r.decide(fp, manyTargets, now)
		if d.Verdict == Free || r.expired(now) {
			continue
		}
		h := HeldRequest{
			Fingerprint: fp.String(), Ends: len(r.ends), LastEnd: seconds(now.Sub(r.lastEnd)), Trials: int(r.trials),
			CrashedTrials: bits.OnesCount8(r.crashed), ForgottenIn: seconds(r.forgetAt().Sub(now)), RetryAfter: d.RetryAfter.Milliseconds(),
		}
		if next, ok := r.nextTrial(manyTargets); ok {
			in := max(0, seconds(next.Sub(now)))
			h.NextTrial = &in
		}
		if r.trials > 0 {
			since := seconds(now.Sub(r.trial))
			h.LastTrial = &since
		}
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b HeldRequest) int {
		return cmp.Or(cmp.Compare(a.LastEnd, b.LastEnd), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}

func seconds(d time.Duration) int64 { return int64(d.Round(time.Second) / time.Second) }

// Release ends the suspicion of a request on the word of an operator, and reports false if it is no suspect.
func (t *Table) Release(fp Fingerprint, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lookupLocked(fp, now) == nil {
		return Record{}, false
	}
	released, ends := t.clearLocked(fp, now)
	return released, ends > 0
}

// ParseFingerprint is the inverse of Fingerprint.String.
func ParseFingerprint(text string) (fp Fingerprint, err error) {
	if n, err := hex.Decode(fp[:], []byte(text[:min(len(text), 2*len(fp))])); err != nil || n != len(fp) || len(text) != 2*len(fp) {
		return Fingerprint{}, fmt.Errorf("%q is no fingerprint: %d hexadecimal digits expected", text, 2*len(fp))
	}
	return fp, nil
}
