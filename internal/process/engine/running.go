package engine

import (
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/request/retry"
)

// running is a request that runs at the target beside this node.
type running struct {
	id       message.ID
	span     message.SpanID
	hop      uint8
	priority message.Priority
	deadline time.Time
	ledger   *retry.Ledger

	mu    sync.Mutex
	below map[string]message.Priority // thresholds of the services that the target called
}

// learn records thresholds of services below.
func (r *running) learn(thresholds []message.Threshold) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.below == nil {
		r.below = make(map[string]message.Priority, len(thresholds))
	}
	for _, t := range thresholds {
		r.below[t.Service] = max(r.below[t.Service], t.Priority)
	}
}

// thresholds returns what was learned.
func (r *running) thresholds() []message.Threshold {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []message.Threshold
	for service, p := range r.below {
		out = append(out, message.Threshold{Service: service, Priority: p})
	}
	return out
}

const runningShards = 64

// runningTable finds the request that a call of the own target belongs to.
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
			runs = append(runs[:i:i], runs[i+1:]...)
			break
		}
	}
	if len(runs) == 0 {
		delete(s.runs, r.id)
		return
	}
	s.runs[r.id] = runs
}

// find returns the running request with the trace ID, preferably the one with the span. A target that starts spans of its
// own sends another span; when several requests of one trace run, the latest one is taken.
func (t *runningTable) find(id message.ID, span message.SpanID) *running {
	s := &t.shards[id[0]%runningShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs[id]
	for _, r := range runs {
		if r.span == span {
			return r
		}
	}
	if len(runs) == 0 {
		return nil
	}
	return runs[len(runs)-1]
}
