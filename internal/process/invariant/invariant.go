// Package invariant checks the promises of the system while it runs. A violated invariant is counted and logged in
// production, where going on serves callers better than stopping, and panics in tests.
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
	RetryConservation Name = "retry-conservation" // spent + held + left equals the bound
	SingleExecution   Name = "single-execution"   // a key is handed to one target only
	NotRunTruthful    Name = "not-run-truthful"   // a request reported as not run was not handed over
	AnswerMatches     Name = "answer-matches"     // an answer belongs to the request it is given to
	InFlightBounded   Name = "in-flight-bounded"  // requests at a target stay within slots and connections
	VersionMonotonic  Name = "version-monotonic"  // a node never takes a lower configuration version
	LeavingRefuses    Name = "leaving-refuses"    // nothing is admitted after leaving
	DrainComplete     Name = "drain-complete"     // a graceful stop cuts off no request
	ShedOrder         Name = "shed-order"         // no request is shed while one of lower rank is admitted by the same rule
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
	violated(n, fmt.Sprintf(format, args...))
}

// CheckErr records a violation of the invariant unless err is nil.
func CheckErr(n Name, err error) {
	if err != nil {
		violated(n, err.Error())
	}
}

func violated(n Name, detail string) {
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
