package sidecar

import (
	"log/slog"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/entry"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/metrics"
	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Shares of the limits in the settings. All bytes that the process holds for others come from one budget; docs/deployment.md lists what
// it contains.
const (
	// budgetShare of the memory, less ownMemory, is the budget. The collector keeps garbage besides what is in use, so that about as much
	// again is taken: the copies of bodies that nodes decode and encode frame by frame.
	budgetShare = 0.5
	// ownMemory is half of what an idle process has resident.
	ownMemory = 10 << 20
	// collectorShare and collectorOwnShare bound the memory that the Go runtime may use before it collects at any cost: the first of the
	// memory, the second of what is left beside the pages of the program file (programBytes). The rest is for what the runtime does not
	// count and for allocations while it collects.
	collectorShare    = 0.7
	collectorOwnShare = 0.8
	programBytes      = 14 << 20
	// minBudgetShare bounds the budget from below on small VMs.
	minBudgetShare = 0.2
	// defaultMemory and defaultDescriptors apply if the settings state none.
	defaultMemory      = 128 << 20
	defaultDescriptors = 1000
	// callerShare is the share of the descriptors for connections of callers, otherShare that of each of the interfaces for readiness,
	// reports and metrics. The rest is for the target, other nodes and the store.
	callerShare = 0.6
	otherShare  = 0.03
	// minOther is the least number of connections to one of these interfaces.
	minOther = 8
)

// budgetBytes returns the size of the memory budget of a process with the given limit.
func budgetBytes(limit int64) int64 {
	if limit <= 0 {
		limit = defaultMemory
	}
	return int64(max(budgetShare*float64(limit)-ownMemory, minBudgetShare*float64(limit)))
}

// CollectorLimit returns the soft memory limit of the Go runtime for a process with the given limit.
func CollectorLimit(limit int64) int64 {
	return int64(min(collectorShare*float64(limit), collectorOwnShare*float64(max(limit-programBytes, limit/2))))
}

// callerConnections returns the limit on connections of callers.
func callerConnections(descriptors int) int {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	return max(1, int(callerShare*float64(descriptors)))
}

// otherConnections returns the limit on connections to an interface that is not for callers or nodes.
func otherConnections(descriptors int) int {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	return max(minOther, int(otherShare*float64(descriptors)))
}

// responseAhead is what is reserved for the response to a request before the request runs. Larger responses wait at the target, or at
// the node that has them, until there is room. Responses of targets are usually below 6 KB.
const responseAhead = 16 << 10

// reserveResponse reserves memory for the response to a request before it runs, or returns the refusal.
func reserveResponse(req *message.Request) *message.Response {
	if req.Memory.ReserveAhead(responseAhead) {
		return nil
	}
	r := message.Refuse(message.ReasonOverload, message.Errorf(message.StepAccept, "", "no memory for the response at present"))
	r.RetryAfter = memoryRetryAfter
	return r
}

// memoryRetryAfter is when a caller should come back for whom there was no memory. Slow connections are closed after a second.
const memoryRetryAfter = time.Second

// ResponseCut implements entry.CutHandler.
func (h entryHandler) ResponseCut(a *entry.Response, reason string) {
	h.s.failures.Log(h.s.log, event.ResponseCut, slog.String("id", a.ID), slog.String("reason", reason), slog.Int("bytes", len(a.Body)))
}

// CheckRequest implements link.RequestChecker.
func (h linkHandler) CheckRequest(req *message.Request) *message.Response {
	return h.s.path.RefuseBeforeBody(req)
}

// logMemory logs when reservations begin to be refused for lack of memory, and when that has ended.
func (s *Sidecar) logMemory() {
	refused, short := int64(0), false
	s.every(time.Second, func() {
		now := s.memory.Refused()
		if isShort := now > refused || s.memory.Waiting() > 0; isShort != short {
			short = isShort
			e := event.MemoryShort
			if !short {
				e = event.MemorySuffices
			}
			event.Log(s.log, e, slog.Int64("used", s.memory.Used()), slog.Int64("budget", s.memory.Limit()))
		}
		refused = now
	})
}

// memoryGauges returns the values of the gauges for memory and slow connections.
func (s *Sidecar) memoryGauges() metrics.MemoryGauges {
	g := metrics.MemoryGauges{
		Held: map[string]int64{}, Budget: s.memory.Limit(), Waiting: s.memory.Waiting(), Refused: s.memory.Refused(),
		OldestUnread: s.entry.OldestUnread().Seconds(), Closed: s.entry.Closed(),
	}
	for _, p := range memory.Purposes() {
		g.Held[p.String()] = s.memory.UsedFor(p)
	}
	return g
}
