package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

const (
	keysPath     = "/-/keys"
	announcePath = "/-/announce"
	// maxKeysPerRequest is the maximum number of idempotency keys that one request can obtain.
	maxKeysPerRequest = 256
	// defaultRetryAfter is the mean Retry-After of a failure for which no other time is known.
	defaultRetryAfter = time.Second
)

// serveFunc processes a request and returns its response.
type serveFunc func(ctx context.Context, req *message.Request) *message.Response

// parseRequest parses an HTTP request of a caller or of the own target. On failure it returns a refusal, together with the
// parts of the request that were read; its ID is always set.
func parseRequest(r *http.Request, limits policy.Limits) (*message.Request, *message.Response) {
	req := &message.Request{Method: r.Method, Header: r.Header}
	if err := readTrace(r, req); err != nil {
		return req, invalidRequest("%v", err)
	}
	service, path, ok := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	if !ok || service == "" {
		return req, message.Refuse(message.ReasonNoService,
			message.Errorf(message.StepAccept, "", "path %q names no service and path", r.URL.Path))
	}
	req.Service, req.Path = service, "/"+path
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	if refusal := readHeaders(r, req, limits); refusal != nil {
		return req, refusal
	}
	return req, readBody(r, req, limits)
}

func invalidRequest(format string, args ...any) *message.Response {
	return message.Refuse(message.ReasonInvalid, message.Errorf(message.StepAccept, "", format, args...))
}

// readTrace sets the request ID from the Traceparent header, or generates one if the header is missing or invalid.
func readTrace(r *http.Request, req *message.Request) error {
	header := r.Header.Get(message.HeaderTraceparent)
	if header == "" {
		req.ID, req.Span = message.NewID(), message.NewSpanID()
		return nil
	}
	id, span, err := message.ParseTraceparent(header)
	req.ID, req.Span = id, span
	if err != nil {
		req.ID = message.NewID()
	}
	return err
}

// readHeaders parses the headers of the caller protocol and removes those that are not forwarded to the target.
func readHeaders(r *http.Request, req *message.Request, limits policy.Limits) *message.Response {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > limits.Header {
		return message.Refuse(message.ReasonTooLarge,
			message.Errorf(message.StepAccept, "", "URL and headers of %d bytes exceed %d", size, limits.Header))
	}
	req.Retries = math.MaxInt // retries that the node may make; without the header, the policy alone limits them
	if text := r.Header.Get(message.HeaderRetries); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return invalidRequest("%s: %q is no count", message.HeaderRetries, text)
		}
		req.Retries = n
	}
	if text := r.Header.Get(message.HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > math.MaxInt64/int64(time.Millisecond) {
			return invalidRequest("%s: %q is no time in milliseconds", message.HeaderTimeout, text)
		}
		req.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	req.Key = r.Header.Get(message.HeaderIdempotencyKey)
	message.RemoveHopHeaders(req.Header)
	req.Header.Del(message.HeaderRetries)
	req.Header.Del(message.HeaderTimeout)
	req.Header.Del(message.HeaderTraceparent)
	req.Header.Del(message.HeaderIdempotencyKey)
	return nil
}

func readBody(r *http.Request, req *message.Request, limits policy.Limits) *message.Response {
	if r.ContentLength == 0 {
		return nil
	}
	body, err := readAll(http.MaxBytesReader(nil, r.Body, int64(limits.RequestBody)), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return message.Refuse(message.ReasonTooLarge,
			message.Errorf(message.StepAccept, "", "body exceeds %d bytes", limits.RequestBody))
	case err != nil:
		return invalidRequest("read body: %v", err)
	}
	req.Body = body
	return nil
}

// maxInitialBuffer bounds the memory that is allocated for a declared Content-Length before the body arrives, in bytes.
const maxInitialBuffer = 64 << 10

// readAll reads r to its end. The length is the declared Content-Length, or -1 if there is none; it only sets the initial
// size of the buffer.
func readAll(r io.Reader, length int64) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(int(min(max(length, 0), maxInitialBuffer)) + bytes.MinRead) // ReadFrom reallocates with less than MinRead free
	_, err := b.ReadFrom(r)
	return b.Bytes(), err
}

// writeResponse writes the final response to a request. The ID is zero if the request could not be parsed.
func writeResponse(w http.ResponseWriter, r *http.Request, id message.ID, resp *message.Response) {
	h := w.Header()
	if resp.Outcome == message.Answered {
		for name, values := range resp.Header {
			h[name] = values
		}
		message.RemoveHopHeaders(h)
	}
	h.Set(message.HeaderOutcome, resp.Outcome.String())
	if !id.IsZero() {
		h.Set(message.HeaderRequestID, id.String())
	}
	h.Set(message.HeaderRetries, strconv.Itoa(resp.RetriesLeft))
	if resp.Outcome != message.Answered {
		writeFailure(w, id, resp)
		return
	}
	if r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body) // fails only if the caller closed the connection
}

// failureBody is the JSON body of a response that does not come from a target.
type failureBody struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	Step      string `json:"step,omitempty"`
	Peer      string `json:"peer,omitempty"`
	Detail    string `json:"detail,omitempty"`
	RequestID string `json:"request_id,omitempty"`
}

// writeFailure writes a response that does not come from a target.
func writeFailure(w http.ResponseWriter, id message.ID, resp *message.Response) {
	h := w.Header()
	h.Set(message.HeaderReason, resp.Reason.String())
	if after := retryAfter(resp); after > 0 {
		h.Set(message.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(after.Seconds()))))
		h.Set(message.HeaderRetryAfterMs, strconv.FormatInt(after.Milliseconds(), 10))
	}
	if resp.Reason == message.ReasonLeaving {
		h.Set("Connection", "close")
	}
	body := failureBody{Outcome: resp.Outcome.String(), Reason: resp.Reason.String()}
	if !id.IsZero() {
		body.RequestID = id.String()
	}
	if resp.Err != nil {
		body.Step, body.Peer, body.Detail = string(resp.Err.Step), resp.Err.Peer, resp.Err.Detail
	}
	writeJSON(w, failureStatus(resp), body)
}

// retryAfter returns the delay before the caller should retry, or zero if a retry is pointless.
func retryAfter(resp *message.Response) time.Duration {
	if resp.RetryAfter > 0 {
		return resp.RetryAfter
	}
	switch resp.Reason {
	case message.ReasonKeyExpired, message.ReasonCancelled:
		return 0
	}
	if failureStatus(resp) < http.StatusInternalServerError {
		return 0
	}
	return time.Duration(float64(defaultRetryAfter) * (0.5 + rand.Float64())) // jitter keeps callers from retrying in step
}

// failureStatus returns the HTTP status of a response that does not come from a target. docs/callers.md lists the statuses.
func failureStatus(resp *message.Response) int {
	if resp.Outcome == message.Unknown {
		return http.StatusGatewayTimeout
	}
	switch resp.Reason {
	case message.ReasonInvalid, message.ReasonKeyConflict:
		return http.StatusBadRequest
	case message.ReasonKeyRequired:
		return http.StatusPreconditionRequired
	case message.ReasonNoService:
		return http.StatusNotFound
	case message.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

// refuse writes the refusal of a request that this node received. The error names this node as the peer, because it is
// the peer of the caller, which reads the error.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, id message.ID, refusal *message.Response) {
	refusal.Err.Peer = n.settings.Node.PeerAddress
	writeResponse(w, r, id, refusal)
}

// requestHandler returns an HTTP handler that parses requests and passes them to serve.
func (n *Node) requestHandler(iface string, serve serveFunc) http.Handler {
	serve = n.instrument(iface, serve)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, refusal := parseRequest(r, n.requestLimits())
		if refusal != nil {
			n.refuse(w, r, req.ID, refusal)
			return
		}
		writeResponse(w, r, req.ID, serve(r.Context(), req))
	})
}

// callerHandler returns the handler of the caller interface.
func (n *Node) callerHandler() http.Handler {
	requests := n.requestHandler("caller", n.engine.Serve)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == keysPath {
			n.serveKeys(w, r)
			return
		}
		requests.ServeHTTP(w, r)
	})
}

// issuedKeys is the response body of keysPath.
type issuedKeys struct {
	Keys    []string `json:"keys"`
	ValidMs int64    `json:"valid_ms"`
}

// serveKeys issues idempotency keys whose home node is this one: it keeps their records and decides whether a request with
// the key may run.
func (n *Node) serveKeys(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		n.refuse(w, r, message.NewID(), invalidRequest("%s needs POST", keysPath))
		return
	}
	if n.leaving.Load() {
		// The keys that this node issues are lost when it stops.
		n.refuse(w, r, message.NewID(), message.Refuse(message.ReasonLeaving,
			message.Errorf(message.StepKey, "", "node is leaving")))
		return
	}
	count := 1
	if text := r.URL.Query().Get("n"); text != "" {
		c, err := strconv.Atoi(text)
		if err != nil || c < 1 || c > maxKeysPerRequest {
			n.refuse(w, r, message.NewID(), invalidRequest("n=%q is not between 1 and %d", text, maxKeysPerRequest))
			return
		}
		count = c
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(issuedKeys{Keys: n.keys.Issue(count), ValidMs: n.keys.Validity().Milliseconds()})
}
