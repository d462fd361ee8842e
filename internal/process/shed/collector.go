package shed

import (
	"sync"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Collector collects the thresholds that came back with the calls of one request. It is safe for concurrent use, and its zero
// value is empty.
type Collector struct {
	mu      sync.Mutex
	highest map[string]message.Priority
}

// Learn records the thresholds of a response. Of several thresholds of one service the highest is kept.
func (c *Collector) Learn(thresholds []message.Threshold) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.highest == nil {
		c.highest = make(map[string]message.Priority, len(thresholds))
	}
	for _, t := range thresholds {
		c.highest[t.Service] = max(c.highest[t.Service], t.Priority)
	}
}

// Thresholds returns the collected thresholds in no particular order.
func (c *Collector) Thresholds() []message.Threshold {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []message.Threshold
	for service, p := range c.highest {
		out = append(out, message.Threshold{Service: service, Priority: p})
	}
	return out
}
