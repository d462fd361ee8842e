package engine

import (
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/shed"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/request/retry"
)

// running is a request that runs at the local target.
type running struct {
	id       message.ID
	span     message.SpanID
	hop      uint8
	priority message.Priority
	deadline time.Time
	ledger   *retry.Ledger

	downstream shed.Collector // thresholds of the services that the target calls for the request

	mu             sync.Mutex
	openCalls      int            // calls of the target that have not ended
	mayHaveEffects bool           // a call of the target was answered or may have run
	lastRefusal    *message.Error // of the last call that was not run
	retryAfter     time.Duration  // longest of the calls that were not run
}

// beginCall registers a call that the target makes. Each call of it must be followed by a call of endCall.
func (r *running) beginCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openCalls++
}

// endCall records the outcome of a call.
func (r *running) endCall(resp *message.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openCalls--
	if resp.Outcome != message.NotRun {
		r.mayHaveEffects = true
		return
	}
	r.lastRefusal = resp.Err
	r.retryAfter = max(r.retryAfter, resp.RetryAfter)
}

const runningShards = 64

// runningTable maps a call of the local target to the running request that it belongs to.
type runningTable struct {
	shards [runningShards]struct {
		mu   sync.Mutex
		runs map[message.ID][]*running
	}
}

func newRunningTable() *runningTable {
	t := &runningTable{}
	for i := range t.shards {
		t.shards[i].runs = map[message.ID][]*running{}
	}
	return t
}

func (t *runningTable) begin(req *message.Request) *running {
	r := &running{
		id:       req.ID,
		span:     req.Span,
		hop:      req.Hop,
		priority: req.Priority,
		deadline: req.Deadline,
		ledger:   retry.NewLedger(req.Retries),
	}
	s := &t.shards[req.ID[0]%runningShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[r.id] = append(s.runs[r.id], r)
	return r
}

func (t *runningTable) end(r *running) {
	s := &t.shards[r.id[0]%runningShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs[r.id]
	for i := range runs {
		if runs[i] == r {
			runs = append(runs[:i:i], runs[i+1:]...) // copy, because find returns subslices
			break
		}
	}
	if len(runs) == 0 {
		delete(s.runs, r.id)
		return
	}
	s.runs[r.id] = runs
}

// find returns the running request to which a call with the given ID and span belongs, and all candidates. The ID is that of the
// root request, so that several running requests may have it. A target that sends the span of the request that it runs with its
// calls identifies that request. A target that creates a new span for each call does not: the call may then belong to any running
// request with the ID, and is attributed to the latest.
func (t *runningTable) find(id message.ID, span message.SpanID) (parent *running, candidates []*running) {
	s := &t.shards[id[0]%runningShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs[id]
	for i, r := range runs {
		if r.span == span {
			return r, runs[i : i+1 : i+1]
		}
	}
	if len(runs) == 0 {
		return nil, nil
	}
	return runs[len(runs)-1], runs[:len(runs):len(runs)]
}
