package once

import (
	"container/heap"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// state is the state of a key with a record. A key without a record is free.
type state uint8

const (
	running  state = iota
	done           // a response is recorded
	unknown        // the request may have been executed
	released       // not run; the record is no longer in its shard, only waiting copies see it
)

// record is the state of one key. The lock of its shard guards it; after settled is closed it no longer changes.
type record struct {
	text     string
	fp       Fingerprint
	state    state
	resp     *message.Response
	size     int64
	removeAt time.Duration // when the record may be removed, once it is finished
	settled  chan struct{}
}

// repeat answers a repeated request.
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

// result is the answer for a settled record.
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

// shard is a part of the keys.
type shard struct {
	mu       sync.Mutex
	records  map[string]*record
	finished removalHeap
}

// add makes a finished record removable.
func (sh *shard) add(r *record) { heap.Push(&sh.finished, r) }

// sweep removes at most limit finished records whose time has come, and returns their number and size.
func (sh *shard) sweep(now time.Duration, limit int) (count int, size int64) {
	for count < limit && len(sh.finished) > 0 && sh.finished[0].removeAt <= now {
		r := heap.Pop(&sh.finished).(*record)
		delete(sh.records, r.text)
		count++
		size += r.size
	}
	return count, size
}

// finished is a heap of finished records, the one to be removed first at the top.
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
