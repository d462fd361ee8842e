// Package chain estimates whether a new request will complete while a service of its call chain refuses or fails a part of its
// requests for reasons of its own, and refuses requests at their entry that are unlikely to.
//
// The load pattern: all targets of a downstream service refuse, for example, 0.55 of their requests for some seconds although they
// have free slots. A chain that needs four of its answers then completes in a quarter of the cases at most. A failed request that
// must not run twice is lost; one that is refused, as not run, can come back when the trouble may be over. Thresholds by rank
// (package shed) and windows (package window) do not apply, because no request waits for a slot.
//
// The node beside a target counts the direct calls of completed runs by route, and how many attempts at each service pass. While a
// service is in trouble, its responses carry the calls that a run needs of that service, through all hops, and the shares of
// attempts that pass and are retried. Every node on the way multiplies the needs of the calls by their number. Each figure expires
// unless responses renew it, and a figure that cannot be true is ignored and counted.
//
// A Table is safe for concurrent use. Its mutexes are held for short computations only.
package chain

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// troubleShare is the share of passed attempts below which a service is in trouble. One failure in ten can be repeated within
	// the usual retry ratio, so that chains still complete.
	troubleShare = 0.9
	// averagingTime is the time constant of the shares. Within half a second, also the few requests of one node show a trouble.
	averagingTime = 400 * time.Millisecond
	// minAttempts is the weight of attempts below which a node's own observations say nothing.
	minAttempts = 4
	// expiryAge is the age at which reported figures expire. The next request then runs and renews them, so that the end of a
	// trouble is detected within about a second also at a node that sends nothing else.
	expiryAge = time.Second
	// reportPeriod is the time for which figures are reported after a service was last in trouble, so that other nodes learn of its
	// end before their figures expire.
	reportPeriod = 2 * time.Second
	// needsRetention is the time for which the needs of a route are known without another report.
	needsRetention = time.Minute
	// minChance is the chance of completion below which a new request is refused at first. Refusing loses the requests whose callers
	// do not return; above one in five, that costs more than what is gained when the others return after the trouble.
	minChance = 0.2
	// runsAveraged is the number of completed runs over which the calls and the duration of a route's runs are averaged.
	runsAveraged = 32
	// maxCalls bounds a reported number of calls; a larger one is a fault.
	maxCalls = 10_000
	// maxNeeds bounds the services that one response reports, and maxEntries the services and the routes that a table holds.
	maxNeeds   = 16
	maxEntries = 16384
)

// Route names a route of a service.
type Route struct{ Service, Name string }

// Table holds what a node knows of services and routes.
type Table struct {
	random   func() float64 // in [0, 1); replaced by tests
	origin   time.Time
	services entries[string, service]
	routes   entries[Route, route]

	lastTrouble      atomic.Int64 // of any service, in nanoseconds since origin; zero: never
	refused, ignored atomic.Int64
}

// New returns an empty table, which admits everything.
func New() *Table { return &Table{random: rand.Float64, origin: time.Now()} }

// Counts are numbers since the start of the process.
type Counts struct {
	Refused int64 // requests refused because they were unlikely to complete
	Ignored int64 // figures that could not be true
}

// Counts returns the numbers since the start.
func (t *Table) Counts() Counts {
	return Counts{Refused: t.refused.Load(), Ignored: t.ignored.Load()}
}

// entries is a bounded map that is read without a lock.
type entries[K comparable, V any] struct {
	m     sync.Map
	count atomic.Int64
}

func (e *entries[K, V]) get(k K) *V {
	if v, ok := e.m.Load(k); ok {
		return v.(*V)
	}
	return nil
}

// create returns the entry of k, or nil if it would be one too many.
func (e *entries[K, V]) create(k K) *V {
	if v := e.get(k); v != nil {
		return v
	}
	if e.count.Load() >= maxEntries {
		return nil
	}
	v, loaded := e.m.LoadOrStore(k, new(V))
	if !loaded {
		e.count.Add(1)
	}
	return v.(*V)
}

// service holds what is known of the attempts at a service.
type service struct {
	mu sync.Mutex
	// Own attempts of this node, with a weight that decays with averagingTime.
	attempts, passed, failures, retried float64
	observed                            time.Time
	// Shares that other nodes reported, averaged over time.
	reportedPassed, reportedRetried float64
	reported                        time.Time
	lastTrouble                     time.Time
	refusing                        bool // requests were refused because of it, and its end was not seen
}

// shares returns the shares of attempts that pass and of failed attempts that are retried. It reports false if none is known.
func (s *service) shares(now time.Time) (passed, retried float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.weight(now)
	switch {
	case s.attempts*w >= minAttempts && now.Sub(s.observed) < expiryAge:
		passed = s.passed / s.attempts
		if s.failures > 0 {
			retried = min(1, s.retried/s.failures)
		}
	case !s.reported.IsZero() && now.Sub(s.reported) < expiryAge:
		passed, retried = s.reportedPassed, s.reportedRetried
	default:
		return 0, 0, false
	}
	return passed, retried, true
}

func (s *service) weight(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(s.observed).Seconds()) / averagingTime.Seconds())
}

// RecordAttempt counts an attempt at a service that a target has answered or refused for a reason of its own.
func (t *Table) RecordAttempt(name string, passed bool) {
	s := t.services.create(name)
	if s == nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.weight(now)
	s.attempts, s.passed, s.failures, s.retried, s.observed = s.attempts*w+1, s.passed*w, s.failures*w, s.retried*w, now
	if passed {
		s.passed++
	} else {
		s.failures++
	}
	if s.attempts >= minAttempts && s.passed < troubleShare*s.attempts {
		t.markTrouble(s, now)
	}
}

// markTrouble notes that a service is in trouble. The caller holds the mutex of s.
func (t *Table) markTrouble(s *service, now time.Time) {
	s.lastTrouble = now
	t.lastTrouble.Store(max(1, int64(now.Sub(t.origin))))
}

// quiet reports whether no service was in trouble within reportPeriod.
func (t *Table) quiet(now time.Time) bool {
	last := t.lastTrouble.Load()
	return last == 0 || now.Sub(t.origin)-time.Duration(last) >= reportPeriod
}

// RecordRetry counts a retry after an attempt that did not pass.
func (t *Table) RecordRetry(name string) {
	if s := t.services.get(name); s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.retried++
	}
}

// InTrouble reports whether a service refuses or fails so many attempts that retries to it are scarce.
func (t *Table) InTrouble(name string) bool {
	s := t.services.get(name)
	if s == nil {
		return false
	}
	passed, _, ok := s.shares(time.Now())
	return ok && passed < troubleShare
}

// route holds what is known of the runs on a route.
type route struct {
	mu     sync.Mutex
	direct []callMean         // of completed runs; kept by the node beside the target
	runs   int                // completed runs that direct is the mean of, up to runsAveraged
	needs  map[string]float64 // reported calls of a run to each service in trouble, through all hops
	seen   time.Time          // of the last report
	took   float64            // seconds that a completed request took, as seen by the entry node
	tooks  int
}

// Learn records the figures of a response to a request on a route.
func (t *Table) Learn(r Route, needs []message.Need) {
	if len(needs) == 0 {
		return
	}
	if len(needs) > maxNeeds {
		t.ignored.Add(int64(len(needs) - maxNeeds))
		needs = needs[:maxNeeds]
	}
	now := time.Now()
	next := make(map[string]float64, len(needs))
	for _, n := range needs {
		if !credible(n) {
			t.ignored.Add(1)
			continue
		}
		next[n.Service] = n.Calls
		if s := t.services.create(n.Service); s != nil {
			t.report(s, n, now)
		}
	}
	e := t.routes.create(r)
	if e == nil || len(next) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.needs, e.seen = next, now
}

// credible reports whether a figure can be true. The comparisons are false for NaN.
func credible(n message.Need) bool {
	return n.Service != "" && n.Calls > 0 && n.Calls <= maxCalls && n.Passed >= 0 && n.Passed <= 1 && n.Retried >= 0 && n.Retried <= 1
}

// minReportWeight is the lowest weight of a report in the average of a service.
const minReportWeight = 0.1

// report averages the reported shares of a service.
func (t *Table) report(s *service, n message.Need, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := 1.0
	if age := now.Sub(s.reported); !s.reported.IsZero() && age < averagingTime {
		w = max(minReportWeight, age.Seconds()/averagingTime.Seconds())
	}
	s.reportedPassed += w * (n.Passed - s.reportedPassed)
	s.reportedRetried += w * (n.Retried - s.reportedRetried)
	s.reported = now
	if s.reportedPassed < troubleShare {
		t.markTrouble(s, now)
	}
}

// RecordRequest records how long a completed request took, as seen by its entry node.
func (t *Table) RecordRequest(r Route, took time.Duration) {
	e := t.routes.create(r)
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tooks = min(e.tooks+1, runsAveraged)
	e.took += (took.Seconds() - e.took) / float64(e.tooks)
}
