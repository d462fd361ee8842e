package mesh

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/chain"
	"github.com/wigeoncleat/wigeoncleat/internal/process/responsetime"
	"github.com/wigeoncleat/wigeoncleat/internal/process/shed"
	"github.com/wigeoncleat/wigeoncleat/internal/process/window"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// run is a request in progress at the attached target. The calls that the target makes for it belong to the same chain.
type run struct {
	req             *message.Request // as sent to the target; its body may only be read while the run is in progress
	target          *attachedTarget
	attempt         string // attempt ID of the request
	priority        message.Priority
	hop             uint8
	deadline        time.Time
	refusedCalls    atomic.Int32   // calls that were not run
	failedCalls     atomic.Int32   // calls that failed otherwise
	callServiceTime atomic.Int64   // time of its calls less callQueueTime, in nanoseconds
	callQueueTime   atomic.Int64   // time for which its calls waited for slots, in nanoseconds
	thresholds      shed.Collector // shedding thresholds that returned with its calls
	window          *window.Window // nil if the run is itself a call
	calls           chain.Calls    // by route
	callClock       callClock
	duration        responsetime.Request
}

// callClock measures the time in which at least one call of a run is in progress. Calls at the same time count once, unlike in
// callServiceTime, so that the rest of the run's time is that of its target.
type callClock struct {
	mu         sync.Mutex
	inProgress int
	since      time.Time
	total      time.Duration
}

func (c *callClock) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress == 0 {
		c.since = time.Now()
	}
	c.inProgress++
}

func (c *callClock) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress--; c.inProgress == 0 {
		c.total += time.Since(c.since)
	}
}

// elapsed returns the time until now. It includes that of calls in progress, which a target can leave behind when it answers.
func (c *callClock) elapsed() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress > 0 {
		return c.total + time.Since(c.since)
	}
	return c.total
}

// activeRuns finds the run to which a call of the attached target belongs. A target forms the attempt ID of a call from the
// attempt ID of the run, a dot and a suffix, which may contain dots too.
type activeRuns struct {
	mu        sync.Mutex
	byAttempt map[string]*run
}

func newActiveRuns() *activeRuns { return &activeRuns{byAttempt: map[string]*run{}} }

func (t *activeRuns) begin(g *attachedTarget, req *message.Request, w *window.Window) *run {
	r := &run{req: req, target: g, window: w, attempt: req.Attempt, priority: req.Priority, hop: req.Hop, deadline: req.Deadline}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byAttempt[req.Attempt] = r
	return r
}

func (t *activeRuns) end(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byAttempt[r.attempt] == r {
		delete(t.byAttempt, r.attempt)
	}
}

// requestsAt returns the requests that are in progress at a target process. They are copies that stay valid when the run ends.
func (t *activeRuns) requestsAt(instance string, born int64) []message.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []message.Request
	for _, r := range t.byAttempt {
		if r.target.instance == instance && r.target.born == born {
			out = append(out, *r.req)
		}
	}
	return out
}

// Runs returns the number of requests in progress at the attached target and at those that were attached before.
func (p *Proxy) Runs() int {
	p.activeRuns.mu.Lock()
	defer p.activeRuns.mu.Unlock()
	return len(p.activeRuns.byAttempt)
}

// IsCall reports whether a request with the attempt ID is a call that the attached target makes for a request in progress.
func (p *Proxy) IsCall(attempt string) bool { return p.activeRuns.parent(attempt) != nil }

// parent returns the run that made the call with the given attempt ID, or nil if none is known; the call is then treated as a new
// request. Both the suffix of the call and the attempt ID of the run may contain dots, so parent shortens the ID at one dot after
// another, from the right, until a run has it.
func (t *activeRuns) parent(attempt string) *run {
	t.mu.Lock()
	defer t.mu.Unlock()
	for {
		dot := strings.LastIndexByte(attempt, '.')
		if dot <= 0 {
			return nil
		}
		attempt = attempt[:dot]
		if r, ok := t.byAttempt[attempt]; ok {
			return r
		}
	}
}
