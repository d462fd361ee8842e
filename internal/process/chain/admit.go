package chain

import (
	"math"
	"time"
)

const (
	// minRetryAfterShare is the least retry-after time as a share of the objective of a route, and defaultRetryAfterShare the
	// greatest one while the duration of its requests is unknown.
	minRetryAfterShare     = 0.1
	defaultRetryAfterShare = 0.4
	// durationMargin multiplies the mean duration of a request that still has to fit into the objective after its return. Requests
	// take longer than usual when a trouble ends, because refused and new ones meet.
	durationMargin = 2
	// maxWaitShare is the share of their remaining time for which callers wait at most.
	maxWaitShare = 1.0 / 3
	// spreadShare is the share of the retry-after time that is random, so that callers do not return together.
	spreadShare = 0.3
)

// Request is what a decision depends on.
type Request struct {
	Idempotent bool
	Returned   bool          // the caller has made an earlier attempt
	Objective  time.Duration // of the route; zero if it has none
	Left       time.Duration // until the deadline of the caller
}

// Decision says what happens to a new request.
type Decision struct {
	Refuse     bool
	Chance     float64 // of completion
	Blocking   string  // service in trouble, set with Refuse
	First      bool    // the first refusal because of this trouble
	Recovered  string  // service whose trouble has ended, if requests were refused because of it
	RetryAfter time.Duration
}

// Admit decides whether a new request may start. Idempotent requests always may: their callers can repeat them, and they show when a
// trouble ends. A caller that returned is not refused again, because it may not come back another time.
func (t *Table) Admit(r Route, q Request) Decision {
	if q.Idempotent {
		return Decision{}
	}
	e := t.routes.get(r)
	if e == nil {
		return Decision{}
	}
	now := time.Now()
	d := Decision{Chance: 1}
	lowest := 1.0
	for name, calls := range e.currentNeeds(now) {
		s := t.services.get(name)
		if s == nil {
			continue
		}
		passed, retried, ok := s.shares(now)
		if !ok || passed >= troubleShare {
			if s.setRefusing(false) {
				d.Recovered = name
			}
			continue
		}
		chance := math.Pow(passed+(1-passed)*retried*passed, calls)
		d.Chance *= chance
		if chance <= lowest {
			lowest, d.Blocking = chance, name
		}
	}
	if d.Chance >= minChance || q.Returned {
		d.Blocking = ""
		return d
	}
	t.refused.Add(1)
	d.Refuse, d.RetryAfter = true, t.retryAfter(e, q)
	if s := t.services.get(d.Blocking); s != nil {
		d.First = s.setRefusing(true)
	}
	return d
}

// setRefusing notes whether requests are refused because of the service, and reports whether that is a change.
func (s *service) setRefusing(to bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.refusing != to
	s.refusing = to
	return changed
}

// retryAfter returns a time after which the request can still complete within its objective, as late as possible: the later it
// returns, the more likely the trouble is over.
func (t *Table) retryAfter(e *route, q Request) time.Duration {
	objective := q.Objective.Seconds()
	if objective <= 0 {
		objective = q.Left.Seconds()
	}
	e.mu.Lock()
	latest := defaultRetryAfterShare * objective
	if e.tooks > 0 {
		latest = objective - durationMargin*e.took
	}
	e.mu.Unlock()
	after := min(max(minRetryAfterShare*objective, latest), maxWaitShare*q.Left.Seconds())
	return time.Duration(after * (1 - spreadShare*t.random()) * float64(time.Second))
}
