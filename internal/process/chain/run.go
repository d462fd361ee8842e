package chain

import (
	"slices"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Calls counts the direct calls of one run by route. Its zero value is empty, and it is safe for concurrent use.
type Calls struct {
	mu     sync.Mutex
	counts []callCount // runs call few routes
}

type callCount struct {
	route Route
	n     int
}

// callMean is the mean number of direct calls of a completed run to a route.
type callMean struct {
	route Route
	mean  float64
}

// Add counts a call and returns how many calls of its route the run has made before.
func (c *Calls) Add(r Route) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.counts {
		if c.counts[i].route == r {
			c.counts[i].n++
			return c.counts[i].n - 1
		}
	}
	c.counts = append(c.counts, callCount{r, 1})
	return 0
}

// Empty reports whether the run has made no calls.
func (c *Calls) Empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.counts) == 0
}

// Finish records the calls of a run that has ended, if it completed, and returns the figures that its response carries upstream.
func (t *Table) Finish(r Route, calls *Calls, completed bool) []message.Need {
	calls.mu.Lock()
	counts := calls.counts
	calls.mu.Unlock()
	e := t.routes.create(r)
	if e == nil || len(counts) == 0 {
		return nil
	}
	now := time.Now()
	direct := e.recordRun(counts, completed, t.quiet(now))
	if direct == nil {
		return nil
	}
	total := map[string]float64{}
	for _, m := range direct {
		t.addTroubled(total, m.route.Service, m.mean, now)
		if c := t.routes.get(m.route); c != nil {
			for name, calls := range c.currentNeeds(now) {
				t.addTroubled(total, name, m.mean*calls, now)
			}
		}
	}
	var out []message.Need
	for name, n := range total {
		if passed, retried, ok := t.services.get(name).shares(now); ok && len(out) < maxNeeds {
			out = append(out, message.Need{Service: name, Calls: min(n, maxCalls), Passed: passed, Retried: retried})
		}
	}
	return out
}

// addTroubled adds calls to a service to the total if it is in trouble, or was within reportPeriod.
func (t *Table) addTroubled(total map[string]float64, name string, calls float64, now time.Time) {
	s := t.services.get(name)
	if s == nil || calls <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lastTrouble.IsZero() && now.Sub(s.lastTrouble) < reportPeriod {
		total[name] += calls
	}
}

// recordRun averages the direct calls of a completed run and returns the averages, or nil if all services are quiet. A run that did
// not complete may have stopped before its last call; its calls only count where they exceed the averages.
func (e *route) recordRun(counts []callCount, completed, quiet bool) []callMean {
	e.mu.Lock()
	defer e.mu.Unlock()
	if completed {
		e.runs = min(e.runs+1, runsAveraged)
		for i := range e.direct {
			e.direct[i].mean *= 1 - 1/float64(e.runs)
		}
		for _, c := range counts {
			e.mean(c.route).mean += float64(c.n) / float64(e.runs)
		}
		e.direct = slices.DeleteFunc(e.direct, func(m callMean) bool { return m.mean < negligibleCalls })
	}
	if quiet {
		return nil
	}
	out := route{direct: slices.Clone(e.direct)}
	if !completed {
		for _, c := range counts {
			m := out.mean(c.route)
			m.mean = max(m.mean, float64(c.n))
		}
	}
	return out.direct
}

// mean returns the entry of a called route in direct and adds it if there is none.
func (e *route) mean(called Route) *callMean {
	for i := range e.direct {
		if e.direct[i].route == called {
			return &e.direct[i]
		}
	}
	e.direct = append(e.direct, callMean{route: called})
	return &e.direct[len(e.direct)-1]
}

// negligibleCalls is the mean number of calls below which a route no longer counts as called.
const negligibleCalls = 0.001

func (e *route) currentNeeds(now time.Time) map[string]float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.seen) > needsRetention {
		return nil
	}
	return e.needs // never changed once it is stored
}

// ShareLeft returns the share of its calls to a route that a run has not made yet, when it has made the given number. It is zero if
// the number of calls is unknown.
func (t *Table) ShareLeft(run, called Route, made int) float64 {
	e := t.routes.get(run)
	if e == nil || made < 1 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.direct {
		if m.route == called {
			return max(0, 1-float64(made)/max(1, m.mean))
		}
	}
	return 0
}
