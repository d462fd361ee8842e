package shed

import (
	"sync"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Collector merges the thresholds that return with the calls made for one request, so that the response to this request can carry
// them to the upstream hop. It is safe for concurrent use, and its zero value is empty.
type Collector struct {
	mu      sync.Mutex
	highest map[string]message.Priority
}

// Learn records the thresholds of a response. Of several thresholds of one service it keeps the highest.
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

// Thresholds returns the recorded thresholds in no particular order.
func (c *Collector) Thresholds() []message.Threshold {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []message.Threshold
	for service, p := range c.highest {
		out = append(out, message.Threshold{Service: service, Priority: p})
	}
	return out
}
