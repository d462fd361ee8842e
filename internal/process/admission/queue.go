package admission

import (
	"cmp"
	"context"
	"slices"
)

// waiter is a queued request. Either permit or refusal is set before ready is closed; abandon may replace the permit by
// a refusal afterwards.
type waiter struct {
	ctx     context.Context
	work    Work
	ready   chan struct{}
	permit  *Permit
	refusal *Refusal
}

// queue holds waiters in the order in which they run: with subrequestsFirst the sub-requests first, then by rank
// (highest first), then by deadline (earliest first), then by arrival. It is a sorted slice because it is short and the
// position of an arriving request is needed anyway, to estimate its wait.
type queue struct {
	items            []*waiter
	subrequestsFirst bool
}

func (q *queue) len() int { return len(q.items) }

// comparePrecedence compares two waiters by the first two criteria of the order, regardless of deadline and arrival. The
// result is positive if a goes before b.
func (q *queue) comparePrecedence(a, b *waiter) int {
	if q.subrequestsFirst && a.work.Subrequest != b.work.Subrequest {
		if a.work.Subrequest {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.work.Priority.Rank(), b.work.Priority.Rank())
}

// displaces reports whether an arriving request takes the place of a waiter when the queue is full.
func (q *queue) displaces(w Work, wt *waiter) bool {
	if c := q.comparePrecedence(&waiter{work: w}, wt); c != 0 {
		return c > 0
	}
	return wt.work.Priority < w.Priority
}

// before reports whether a runs before b, which arrived earlier.
func (q *queue) before(a, b *waiter) bool {
	if c := q.comparePrecedence(a, b); c != 0 {
		return c > 0
	}
	if b.work.Deadline.IsZero() {
		return !a.work.Deadline.IsZero()
	}
	return !a.work.Deadline.IsZero() && a.work.Deadline.Before(b.work.Deadline)
}

// position returns the number of waiters that run before an arriving request.
func (q *queue) position(wt *waiter) int {
	lo, hi := 0, len(q.items)
	for lo < hi {
		mid := (lo + hi) / 2
		if q.before(wt, q.items[mid]) {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}

func (q *queue) insert(at int, wt *waiter) { q.items = slices.Insert(q.items, at, wt) }

func (q *queue) index(wt *waiter) int { return slices.Index(q.items, wt) }

func (q *queue) remove(at int) *waiter {
	wt := q.items[at]
	q.items = slices.Delete(q.items, at, at+1)
	return wt
}

// firstNewRequest returns the position of the first waiter that is a new request, not a sub-request, or -1.
func (q *queue) firstNewRequest() int {
	return slices.IndexFunc(q.items, func(wt *waiter) bool { return !wt.work.Subrequest })
}

// leadingSubrequests returns the number of sub-requests that go before all other waiters. It is zero without
// subrequestsFirst.
func (q *queue) leadingSubrequests() int {
	if !q.subrequestsFirst {
		return 0
	}
	if at := q.firstNewRequest(); at >= 0 {
		return at
	}
	return len(q.items)
}

// competing returns the number of waiters that count against the length of the queue for an arriving request: with
// subrequestsFirst, only the other sub-requests or only the other new requests.
func (q *queue) competing(w Work) int {
	switch {
	case !q.subrequestsFirst:
		return len(q.items)
	case w.Subrequest:
		return q.leadingSubrequests()
	default:
		return len(q.items) - q.leadingSubrequests()
	}
}

// leastImportant returns the position of the waiter of the lowest priority among those that compete with the request and
// have the lowest precedence of them, or -1. Waiters of equal precedence are next to each other, the lowest at the end.
func (q *queue) leastImportant(w Work) int {
	last := len(q.items) - 1
	if q.subrequestsFirst && w.Subrequest {
		last = q.leadingSubrequests() - 1
	}
	found := last
	for i := last - 1; i >= 0; i-- {
		if q.comparePrecedence(q.items[i], q.items[last]) != 0 {
			break
		}
		if q.items[i].work.Priority < q.items[found].work.Priority {
			found = i
		}
	}
	return found
}
