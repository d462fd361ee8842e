package once

import (
	"container/heap"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// state is the state of a key with a record. A key without a record has not run, or its record was removed after it expired.
type state uint8

const (
	running  state = iota
	done           // a response is recorded
	unknown        // the request may have been executed
	released       // not run; the record was removed from its shard and is visible only to waiting copies
)

// record holds the state of one key. It is guarded by the lock of its shard; after settled is closed it no longer changes.
type record struct {
	text     string
	fp       Fingerprint
	state    state
	resp     *message.Response
	size     int64
	removeAt time.Duration // time from which the record may be removed, unless it is still running
	settled  chan struct{}
}

// repeat returns the result for a repeat of the request.
func (r *record) repeat(fp Fingerprint) Result {
	switch {
	case r.fp != fp:
		return Result{Verdict: Conflict, Response: refuse(message.ReasonKeyConflict, "the key was used with another request")}
	case r.state == running:
		return Result{Verdict: Wait, Running: &Running{rec: r}}
	default:
		return r.result()
	}
}

// result returns the result for a settled record.
func (r *record) result() Result {
	verdict := Unknown
	switch r.state {
	case done:
		verdict = Recorded
	case released:
		verdict = NotRun
	}
	return Result{Verdict: verdict, Response: recordedCopy(r.resp)}
}

// shard holds the records of a part of the keys.
type shard struct {
	mu       sync.Mutex
	records  map[string]*record
	finished removalHeap
}

// add lets sweep remove a finished record when it expires.
func (sh *shard) add(r *record) { heap.Push(&sh.finished, r) }

// sweep removes at most limit finished records that have expired, and returns their number and total size.
func (sh *shard) sweep(now time.Duration, limit int) (count int, size int64) {
	for count < limit && len(sh.finished) > 0 && sh.finished[0].removeAt <= now {
		r := heap.Pop(&sh.finished).(*record)
		delete(sh.records, r.text)
		count++
		size += r.size
	}
	return count, size
}

// removalHeap is a min-heap of finished records by removeAt.
type removalHeap []*record

// Len implements heap.Interface.
func (h removalHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h removalHeap) Less(i, j int) bool { return h[i].removeAt < h[j].removeAt }

// Swap implements heap.Interface.
func (h removalHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *removalHeap) Push(x any) { *h = append(*h, x.(*record)) }

// Pop implements heap.Interface.
func (h *removalHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
