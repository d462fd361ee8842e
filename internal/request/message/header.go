package message

import "net/http"

// Headers of the caller protocol. docs/callers.md describes them.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetryAfter     = "Retry-After" // whole seconds
	HeaderRetryAfterMs   = "Wigeon-Retry-After-Ms"
	HeaderTraceparent    = "Traceparent"
	HeaderRequestID      = "X-Request-Id"
	HeaderOutcome        = "Wigeon-Outcome"
	HeaderTimeout        = "Wigeon-Timeout-Ms"   // milliseconds until the caller gives up
	HeaderRetries        = "Wigeon-Retry-Budget" // retries left in the request's budget
	HeaderReason         = "Wigeon-Reason"
	// HeaderDeclined is set by a target that declines a request: it declares that the request had no effect, so that the
	// request may be sent again. Nodes never send it, so that a target that copies the response headers of its own calls does
	// not decline by mistake.
	HeaderDeclined = "Wigeon-Declined"
)

// Declined is the value of HeaderDeclined.
const Declined = "true"

// hopHeaders are the hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders deletes the hop-by-hop headers.
func RemoveHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
