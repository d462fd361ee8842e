package shed

import (
	"sync"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Collector collects the thresholds that came back with the calls of one request. It is safe for concurrent use, and its zero
// value is empty.
type Collector struct {
	mu  sync.Mutex
	top map[string]message.Priority
}

// Learn records the thresholds of a response. Of several thresholds of one service the highest is kept.
func (c *Collector) Learn(thresholds []message.Threshold) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.top == nil {
		c.top = make(map[string]message.Priority, len(thresholds))
	}
	for _, t := range thresholds {
		c.top[t.Service] = max(c.top[t.Service], t.Priority)
	}
}

// Thresholds returns the collected thresholds in no particular order.
func (c *Collector) Thresholds() []message.Threshold {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []message.Threshold
	for service, p := range c.top {
		out = append(out, message.Threshold{Service: service, Priority: p})
	}
	return out
}
