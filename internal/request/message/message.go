// Package message defines the requests and responses of the calls in a call chain, and the values that every node has to
// interpret in the same way: outcomes, priorities and errors.
//
// A hop is one call of the chain, from the node that sends it to the target that runs it. The request of an outside caller is
// hop 0 and is sent by its entry node; the calls that its target makes are hop 1, and so on.
//
// Values of this package are not synchronised. A Request must not be changed after it was passed to another goroutine.
package message

import (
	"net/http"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
)

// Request is one call to one service.
type Request struct {
	ID   ID     // identifies the root request; the same on every hop and every retry
	Span SpanID // identifies this call; the parent span of the calls that the target makes

	Service string
	Method  string
	Path    string // path below the service, including the query
	Header  http.Header
	Body    []byte

	Priority   Priority
	Idempotent bool      // the route's requests may be executed more than once
	Hop        uint8     // 0 for the request of an outside caller
	Deadline   time.Time // sent as the time left, because the clocks of VMs differ
	Retries    int       // retries that the receiving node may use itself or hand down with further calls

	Key  string // idempotency key; empty on idempotent routes
	Mode Mode

	// Fields of requests that the transparent proxy (package mesh) forwards; empty otherwise.

	Arrived  time.Time // at this node; not sent to other nodes
	Host     string    // authority that the caller addressed
	Attempt  string    // identifies the caller's attempt; chosen by the caller, echoed by the target
	Instance string    // ID of the target process that may run the request; one that replaced it at the same address must not
	Caller   string    // service of the VM on which the request originated
	// RateLimit is the limit on requests per second that the sending node has learned of the target; zero: none.
	RateLimit float64
	// Organisation is the name of the organisation for which the request is made; empty: none is known.
	Organisation string
	// CredentialsHash tells the credentials of requests apart that no longer contain them; zero: there were none.
	CredentialsHash uint64
	// Key of the organisation as the caller has sent it. It is checked and cleared at the entry node and never sent.
	OrganisationKey string

	Memory *memory.Reservation // counts the response bodies that this node holds for the request; nil: not counted
}

// Mode tells the receiving node what to do with a request from a peer.
type Mode uint8

const (
	// ModeDeliver asks the node to run the request at its own target.
	ModeDeliver Mode = iota
	// ModeHome asks the node to act as the home node of the request's idempotency key, which decides whether a request with
	// the key may run (see package once).
	ModeHome
)

// Response is the final response of a hop.
type Response struct {
	Outcome Outcome
	Status  int // HTTP status
	Header  http.Header
	Body    []byte

	Err        *Error        // set unless Outcome is Answered
	Reason     Reason        // why the request was not run
	RetryAfter time.Duration // when to retry; zero if a retry is of no use

	// DownstreamFailed reports that a call which the target made for the request was refused or failed. The response then
	// says nothing about the target itself, and another target would meet the same failure.
	DownstreamFailed bool
	// Waited is the sum of the times for which the request and the calls that its target made for it waited for slots. Calls
	// made at the same time count in full.
	Waited      time.Duration
	RetriesLeft int         // unused part of the retries that were handed down with the request
	Thresholds  []Threshold // shedding thresholds of the services downstream of this hop
	Load        Load        // load of the responding node's target
	Timing      Timing      // of the requests to the responding node's target
	// Notice is what the target says of itself in the header of the response; nil if the response is not the target's.
	Notice *Notice
	// Needs are the calls that a run of the request needs of downstream services that refuse or fail a part of them.
	Needs []Need
}

// Need is what a run on a route needs of a downstream service, and how that service does at present.
type Need struct {
	Service string
	Calls   float64 // mean number of calls of a run, through all hops
	Passed  float64 // share of the attempts that the service neither refuses nor fails for reasons of its own
	Retried float64 // share of the other attempts that are retried
}

// RateLimited reports whether the target is known to limit its requests per second.
func (r *Response) RateLimited() bool { return r.Notice != nil && r.Notice.RateLimited }

// Notice is what a target says of itself in the header of a response, whatever the response is.
type Notice struct {
	Leaving bool  // it stops soon and must get no further requests
	Born    int64 // start time of the target process, Unix milliseconds; set by the node beside the target
	// RateLimit is the number of requests per second that the target takes from all nodes together, if RateLimited is set.
	// NaN stands for a number that cannot be read.
	RateLimited bool
	RateLimit   float64
}

// Load describes the load of the responding node's target at the time of the response.
type Load struct {
	InFlight int // requests running at the target or queued for it
	Limit    int // current limit on requests in flight
	// Pace is the share of its slots that the target uses after a start, as its node has decided: one if no ramp is in progress, zero
	// if the node does not report it.
	Pace float64
}

// ValidPace reports whether a reported pace can be used.
func ValidPace(share float64) bool { return share > 0 && share <= 1 }

// Timing describes how long requests like the one that was answered take at the responding node's target, as measured by that
// node. The zero value says that nothing was measured.
type Timing struct {
	Own      time.Duration // mean time at the target without the calls that the target makes
	Calls    time.Duration // mean time in which calls are in progress
	Slowdown float64       // of the latest requests of all kinds, as a factor on their usual time
	Spent    time.Duration // from the arrival of the request at the node to its response
}

const (
	// maxTiming and maxSlowdown bound the figures that count as measured. Requests have ended long before maxTiming, and a target
	// that is slower by more than maxSlowdown no longer answers in time whatever its usual time is.
	maxTiming   = 10 * time.Minute
	maxSlowdown = 1000
)

// Valid reports whether the figures can be used: each is in range, and the comparisons are false for a number that is none.
func (t Timing) Valid() bool {
	return t.Own > 0 && t.Own <= maxTiming && t.Calls >= 0 && t.Calls <= maxTiming && t.Spent >= 0 && t.Spent <= maxTiming &&
		ValidSlowdown(t.Slowdown)
}

// ValidSlowdown reports whether a reported slowdown can be used.
func ValidSlowdown(s float64) bool { return s > 0 && s <= maxSlowdown }

// Threshold is the lowest priority that a service currently admits.
type Threshold struct {
	Service  string
	Priority Priority
}

// Outcome is what is known about the execution of a request.
type Outcome uint8

const (
	// Unknown means that the request may have been executed. It is the zero value, so that an incomplete Response never
	// claims more than is known.
	Unknown Outcome = iota
	// Answered means that a target responded and the response is complete.
	Answered
	// NotRun means that the request was provably not executed and no copy of it can be executed later.
	NotRun
)

// String returns the value of the Wigeon-Outcome header.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Reason is the machine-readable cause of a response whose outcome is not Answered.
type Reason uint8

// Reasons of responses that do not carry the response of a target.
const (
	ReasonNone         Reason = iota
	ReasonInvalid             // the request violates the caller protocol
	ReasonNoService           // no such service or route in the policy
	ReasonNoTarget            // the service has no ready target
	ReasonOverload            // shed by priority or refused by a full queue
	ReasonDeadline            // the deadline can no longer be met
	ReasonCancelled           // the caller cancelled the request or went away
	ReasonLeaving             // the node or its target is leaving
	ReasonUnconfirmed         // the node has no recent proof that its configuration version is the newest one
	ReasonConnection          // the connection failed
	ReasonKeyConflict         // the idempotency key was used with another request
	ReasonKeyExpired          // the idempotency key expired or belongs to another process, so that it must not run here
	ReasonPlatform            // the platform's table, which binds caller-supplied keys, is not available
	ReasonTooLarge            // a body or header exceeds its limit
	ReasonInternal            // an internal error of the node
	ReasonKeyRequired         // the route requires an idempotency key
	ReasonDeclined            // the target declares that it did nothing, because one of its calls was not run
	ReasonTargetUnable        // the target declares that it did nothing, and made no call
	ReasonQuarantined         // the request was in progress at several target processes when they ended, see package quarantine
	ReasonKeyUnknown          // the key of the request belongs to no organisation
	ReasonKeyMissing          // the request has no key of an organisation, and its route is not public
	ReasonKeyUnchecked        // the node does not know whether its list of keys is still the newest one
	ReasonRunUnknown          // the request is a call of a run that is not in progress at this node
	ReasonQuota               // the organisation has sent more requests than its quota
)

var reasonNames = [...]string{
	ReasonNone:         "none",
	ReasonInvalid:      "invalid",
	ReasonNoService:    "no-service",
	ReasonNoTarget:     "no-target",
	ReasonOverload:     "overload",
	ReasonDeadline:     "deadline",
	ReasonCancelled:    "cancelled",
	ReasonLeaving:      "leaving",
	ReasonUnconfirmed:  "unconfirmed",
	ReasonConnection:   "connection",
	ReasonKeyConflict:  "key-conflict",
	ReasonKeyExpired:   "key-expired",
	ReasonPlatform:     "platform",
	ReasonTooLarge:     "too-large",
	ReasonInternal:     "internal",
	ReasonKeyRequired:  "key-required",
	ReasonDeclined:     "declined",
	ReasonTargetUnable: "target-unable",
	ReasonQuarantined:  "quarantined",
	ReasonKeyUnknown:   "key-unknown",
	ReasonKeyMissing:   "key-missing",
	ReasonKeyUnchecked: "key-unchecked",
	ReasonRunUnknown:   "run-unknown",
	ReasonQuota:        "quota",
}

// String returns the name used in logs, metrics and error bodies.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid-reason"
}

// Refuse returns a response with the outcome NotRun: the request was not executed.
func Refuse(reason Reason, err *Error) *Response {
	return &Response{Outcome: NotRun, Reason: reason, Err: err}
}

// UnknownOutcome returns a response with the outcome Unknown: the request may have been executed.
func UnknownOutcome(reason Reason, err *Error) *Response {
	return &Response{Outcome: Unknown, Reason: reason, Err: err}
}
