package admission

import (
	"math"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// Limits bounds the work in front of a target.
type Limits struct {
	Slots        int           // requests that the target runs at once
	Connections  int           // connections that the target accepts
	QueueLength  int           // requests that may wait
	QueueMaxWait time.Duration // longest wait in the queue
	RampTime     time.Duration // time from a cold start to the full limit; zero: no ramp
	// LongWaitRank is the rank from which work may wait longer: in a queue of longQueue times the length and for up to
	// half of the time that is left to it. Zero: none.
	LongWaitRank uint8
	// SubrequestsFirst puts work for which earlier hops have worked before all other work, whatever its rank. Where it waits in
	// line with new work, a surge of new requests of the highest rank uses up the time of every chain in progress. Such work
	// may wait in a queue of longQueue times the length: a chain makes no further calls while one of them waits, so its
	// calls cannot pile up, and a refusal loses the whole chain.
	SubrequestsFirst bool
	// MixedServiceTimes says that the target runs kinds of work of very different length. What one kind needs then says nothing about
	// the time left to another: short calls would be refused for the time that long requests take.
	MixedServiceTimes bool
	// NewRequestShare is the part of the limit that new work gets, with SubrequestsFirst, while work of chains waits too. Without it, a
	// surge of chains starves every request that begins at their deepest service.
	NewRequestShare float64
}

// longQueue is the length of the queue for work of LongWaitRank or of chains, as a multiple of the normal one. At 95 % load by orders
// alone their waits often exceed the normal queue, and an order that is refused after work of the hops above is lost.
const longQueue = 3

// LimitsOf returns the limits that a policy sets for the targets of a service. Work of the classes whose requests must not
// be repeated may wait longer.
func LimitsOf(p *policy.Policy, s *policy.Service, ramp time.Duration) Limits {
	q := p.Queue
	return Limits{
		LongWaitRank: p.LowestNonIdempotentRank(),
		Slots:        s.Slots,
		Connections:  s.Connections,
		QueueLength:  int(math.Ceil(q.Length * float64(s.Slots))),
		QueueMaxWait: q.MaxWait,
		RampTime:     ramp,
	}
}

// ceiling returns the number of requests that may ever be in flight. It is at least one: a target without a slot would
// never be measured.
func (l Limits) ceiling() int { return max(1, min(l.Slots, l.Connections)) }
