package admission

import (
	"math"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// Limits bounds the requests in flight and in the queue of a target.
type Limits struct {
	Slots        int           // requests that the target runs at once
	Connections  int           // connections that the target accepts; each request in flight takes one
	QueueLength  int           // requests that may wait
	QueueMaxWait time.Duration // longest wait in the queue
	RampTime     time.Duration // time from a cold start to the full limit; zero: no ramp
	// LongWaitRank is the rank from which requests may wait longer: in a queue of longQueueFactor times the length and
	// for up to half of the time left before their deadline. Zero disables this.
	LongWaitRank uint8
	// SubrequestsFirst puts sub-requests (see Work) before new requests, whatever their rank. If they waited in line with
	// new requests, then in a surge of new requests of the highest rank the sub-requests of every call chain in progress
	// would wait until their deadlines. Sub-requests may wait in a queue of longQueueFactor times the length: a chain
	// makes no further calls while one of them waits, so its calls cannot pile up, and a refusal wastes the whole chain.
	SubrequestsFirst bool
	// MixedServiceTimes states that the service times of the requests to the target differ widely. The measured service
	// time then says nothing about whether a request can meet its deadline: short calls would be refused because of the
	// time that long requests take.
	MixedServiceTimes bool
	// NewRequestShare is the share of the limit on requests in flight that new requests get, with SubrequestsFirst, while
	// sub-requests wait too. They get no more while a sub-request waits. Without it, a surge of call chains starves the new
	// requests for the service that these chains call last.
	NewRequestShare float64
}

// longQueueFactor is the length of the queue for requests of LongWaitRank and above and for sub-requests, as a multiple
// of QueueLength. At 95 % load by requests of LongWaitRank alone, such as orders (requests that must not be executed
// twice), their queue is often longer than QueueLength. An order that is refused after upstream hops have worked on it is
// lost, because it must not be run again.
const longQueueFactor = 3

// LimitsOf returns the limits that a policy sets for the targets of a service. Requests of the classes that must not be
// executed twice may wait longer: LongWaitRank is the lowest rank among them.
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

// maxInFlight returns the largest number of requests that may ever be in flight. It is at least one: without a request in
// flight, neither latency nor throughput of the target would ever be measured.
func (l Limits) maxInFlight() int { return max(1, min(l.Slots, l.Connections)) }
