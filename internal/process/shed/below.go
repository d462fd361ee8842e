package shed

import (
	"sync"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Below collects the thresholds that came back with the calls of one request. It is safe for concurrent use, and its zero
// value is empty.
type Below struct {
	mu  sync.Mutex
	top map[string]message.Priority
}

// Learn records the thresholds of a response. Of several of one service the highest counts.
func (b *Below) Learn(thresholds []message.Threshold) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.top == nil {
		b.top = make(map[string]message.Priority, len(thresholds))
	}
	for _, t := range thresholds {
		b.top[t.Service] = max(b.top[t.Service], t.Priority)
	}
}

// Thresholds returns what was learned.
func (b *Below) Thresholds() []message.Threshold {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []message.Threshold
	for service, p := range b.top {
		out = append(out, message.Threshold{Service: service, Priority: p})
	}
	return out
}
