package admission

import (
	"context"
	"slices"
)

// waiter is work in the queue. Its result is written before ready is closed.
type waiter struct {
	ctx     context.Context
	work    Work
	ready   chan struct{}
	permit  *Permit
	refusal *Refusal
}

// queue holds waiters in the order in which they run: rank (highest first), then deadline (earliest first), then arrival.
// It is a sorted slice, because it is short and the position of new work is needed anyway.
type queue struct {
	items []*waiter
}

func (q *queue) len() int { return len(q.items) }

// before reports whether a runs before b, which arrived earlier.
func before(a, b *waiter) bool {
	if ra, rb := a.work.Priority.Rank(), b.work.Priority.Rank(); ra != rb {
		return ra > rb
	}
	if b.work.Deadline.IsZero() {
		return !a.work.Deadline.IsZero()
	}
	return !a.work.Deadline.IsZero() && a.work.Deadline.Before(b.work.Deadline)
}

// position returns the number of waiters that run before new work.
func (q *queue) position(wt *waiter) int {
	lo, hi := 0, len(q.items)
	for lo < hi {
		mid := (lo + hi) / 2
		if before(wt, q.items[mid]) {
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

// lowest returns the position of the waiter with the lowest priority, or -1. All waiters of the lowest rank are at the
// end.
func (q *queue) lowest() int {
	last := len(q.items) - 1
	found := last
	for i := last - 1; i >= 0; i-- {
		p := q.items[i].work.Priority
		if p.Rank() != q.items[last].work.Priority.Rank() {
			break
		}
		if p < q.items[found].work.Priority {
			found = i
		}
	}
	return found
}
