// Package responsetime estimates how long a request takes to be answered, from the latest ones of its kind. A node that stops accepts
// by it only what it can still finish.
//
// The load pattern is a stop under load: the time until the process exits runs out. A request that is accepted and cannot end within it
// is lost for its caller; a call that is refused without need fails the run that made it. Most requests take a small part of their time
// limit, so that the limits alone would refuse nearly all of them.
//
// A Tracker is safe for concurrent use. Its mutexes are held for short computations only.
package responsetime

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// sampleSize is the number of latest requests of a kind whose times are kept.
	sampleSize = 64
	// maxKinds bounds the kinds that are tracked. Nothing is known of those beyond it.
	maxKinds = 1024
)

// Tracker observes the requests of a process. The zero value has observed none.
type Tracker struct {
	mu    sync.RWMutex
	kinds map[string]*kind
}

// kind holds the requests of one kind. The list contains those in progress that began after all that were answered so far, in the
// order of their start: they are the first to show that requests take longer than before.
type kind struct {
	mu          sync.Mutex
	times       [sampleSize]time.Duration // of the latest answered requests
	answered    int
	first, last *Request
}

// Request is a request in progress. It must not be copied after Begin.
type Request struct {
	kind       *kind // nil: it is not tracked
	start      time.Time
	prev, next *Request
	listed     bool
}

// Begin notes that a request starts. Answered or Dropped of r must be called when it has ended.
func (t *Tracker) Begin(name string, r *Request) {
	k := t.kind(name)
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	r.kind, r.start = k, time.Now()
	k.append(r)
}

func (t *Tracker) kind(name string) *kind {
	t.mu.RLock()
	k := t.kinds[name]
	t.mu.RUnlock()
	if k != nil {
		return k
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if k = t.kinds[name]; k != nil || len(t.kinds) >= maxKinds {
		return k
	}
	if t.kinds == nil {
		t.kinds = map[string]*kind{}
	}
	k = new(kind)
	t.kinds[name] = k
	return k
}

// Answered notes that the request was answered, or that its time limit was reached.
func (r *Request) Answered() {
	k := r.kind
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.times[k.answered%sampleSize] = time.Since(r.start)
	k.answered++
	for r.listed { // with those that began before it
		k.remove(k.first)
	}
}

// Dropped notes that the request ended in another way, which tells nothing of the time that its kind takes.
func (r *Request) Dropped() {
	if r.kind == nil {
		return
	}
	r.kind.mu.Lock()
	defer r.kind.mu.Unlock()
	if r.listed {
		r.kind.remove(r)
	}
}

// append must be called with the mutex held, like remove.
func (k *kind) append(r *Request) {
	r.prev, r.listed = k.last, true
	if k.last == nil {
		k.first = r
	} else {
		k.last.next = r
	}
	k.last = r
}

func (k *kind) remove(r *Request) {
	if r.prev == nil {
		k.first = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		k.last = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next, r.listed = nil, nil, false
}

// Conditions are the conditions of an estimate.
type Conditions struct {
	Limit   time.Duration // when the request ends in any case
	Share   float64       // of the requests that the estimate is to cover, up to 1
	Assumed time.Duration // time that is assumed if no request of the kind was answered; zero: the limit
}

// Estimate returns the time in which a request of the kind is answered. It is the limit if the requests that began last take longer than
// those before them.
func (t *Tracker) Estimate(name string, c Conditions) time.Duration {
	t.mu.RLock()
	k := t.kinds[name]
	t.mu.RUnlock()
	expected, waiting := c.Assumed, time.Duration(0)
	if k != nil {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.answered > 0 {
			expected = k.quantile(c.Share)
		}
		if k.first != nil {
			waiting = time.Since(k.first.start)
		}
	}
	if expected <= 0 || waiting > expected {
		return c.Limit
	}
	return min(expected, c.Limit)
}

// quantile returns the time that the share of the latest requests did not exceed. At least one must have been answered.
func (k *kind) quantile(share float64) time.Duration {
	times := slices.Clone(k.times[:min(k.answered, sampleSize)])
	slices.Sort(times)
	i := int(math.Ceil(share*float64(len(times)))) - 1
	return times[max(0, min(i, len(times)-1))]
}
