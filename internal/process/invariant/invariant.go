// Package invariant checks invariants of the system at run time. A violation is counted and logged. In tests it also panics;
// in production the process continues, because that serves callers better than stopping.
//
// All functions are safe for concurrent use.
package invariant

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
)

// Name identifies an invariant in metrics and logs.
type Name string

// Invariants that the program asserts.
const (
	RetryConservation Name = "retry-conservation" // in a retry ledger, spent + handed down + left equals the bound
	SingleExecution   Name = "single-execution"   // a request that must not run twice runs at most once
	NotRunTruthful    Name = "not-run-truthful"   // a request reported as not run was not sent to the target
	AnswerMatches     Name = "answer-matches"     // a response is delivered only to the request that it belongs to
	InFlightBounded   Name = "in-flight-bounded"  // the requests in flight at a target stay within its slots and connections
	VersionMonotonic  Name = "version-monotonic"  // a node never applies a lower configuration version than before
	LeavingRefuses    Name = "leaving-refuses"    // a node that is leaving admits no request
	DrainComplete     Name = "drain-complete"     // a graceful stop within the drain limit aborts no request
	ShedOrder         Name = "shed-order"         // a queued request is displaced only by one that takes precedence over it
)

var names = []Name{
	RetryConservation, SingleExecution, NotRunTruthful, AnswerMatches, InFlightBounded,
	VersionMonotonic, LeavingRefuses, DrainComplete, ShedOrder,
}

var counts = func() map[Name]*atomic.Int64 {
	m := make(map[Name]*atomic.Int64, len(names))
	for _, n := range names {
		m[n] = new(atomic.Int64)
	}
	return m
}()

// Check records a violation of the invariant unless ok is true. The detail is formatted as by fmt.Sprintf, only on a
// violation.
func Check(n Name, ok bool, format string, args ...any) {
	if ok {
		return
	}
	recordViolation(n, fmt.Sprintf(format, args...))
}

// CheckErr records a violation of the invariant unless err is nil.
func CheckErr(n Name, err error) {
	if err != nil {
		recordViolation(n, err.Error())
	}
}

func recordViolation(n Name, detail string) {
	counts[n].Add(1)
	event.Log(slog.Default(), event.InvariantViolated, slog.String("invariant", string(n)), slog.String("detail", detail))
	if testing.Testing() {
		panic(fmt.Sprintf("invariant %s violated: %s", n, detail))
	}
}

// Counts returns the number of violations of every invariant since the process started.
func Counts() map[Name]int64 {
	out := make(map[Name]int64, len(names))
	for _, n := range names {
		out[n] = counts[n].Load()
	}
	return out
}
