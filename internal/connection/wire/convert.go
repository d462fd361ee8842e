package wire

import (
	"errors"
	"fmt"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// ErrBody reports body parts that do not add up to the stated size.
var ErrBody = errors.New("body parts do not fit the stated size")

// EncodeRequest returns the frames of a request. They carry the time from now to its deadline.
func EncodeRequest(stream uint64, r *message.Request, now time.Time) ([][]byte, error) {
	return encodeAll(stream, r.Body, func(part []byte) ([]byte, error) { return EncodeRequestHead(stream, r, now, part) })
}

// EncodeRequestHead returns the first frame of a request, with the first part of its body.
func EncodeRequestHead(stream uint64, r *message.Request, now time.Time, part []byte) ([]byte, error) {
	return Encode(&Request{
		Stream:     stream,
		ID:         r.ID,
		Span:       r.Span,
		Hop:        r.Hop,
		Service:    r.Service,
		Method:     r.Method,
		Path:       r.Path,
		Header:     r.Header,
		Priority:   uint16(r.Priority),
		Idempotent: r.Idempotent,
		TimeLeft:   uint64(max(r.Deadline.Sub(now).Microseconds(), 0)),
		Retries:    r.Retries,
		Key:        r.Key,
		Mode:       uint8(r.Mode),
		BodySize:   uint64(len(r.Body)),
		Part:       part,
		Host:       r.Host,
		Attempt:    r.Attempt,
		Instance:   r.Instance,
		Caller:     r.Caller,
		RateLimit:  r.RateLimit,

		Organisation: r.Organisation, CredentialsHash: r.CredentialsHash,
	})
}

// EncodeResponse returns the frames of a response to the request with the given ID.
func EncodeResponse(stream uint64, id message.ID, r *message.Response) ([][]byte, error) {
	return encodeAll(stream, r.Body, func(part []byte) ([]byte, error) { return EncodeResponseHead(stream, id, r, part) })
}

// EncodeResponseHead returns the first frame of a response, with the first part of its body.
func EncodeResponseHead(stream uint64, id message.ID, r *message.Response, part []byte) ([]byte, error) {
	f := &Response{
		Stream:           stream,
		ID:               id,
		Outcome:          uint8(r.Outcome),
		Reason:           uint8(r.Reason),
		Status:           r.Status,
		Header:           r.Header,
		RetryAfter:       uint64(max(r.RetryAfter.Milliseconds(), 0)),
		RetriesLeft:      r.RetriesLeft,
		DownstreamFailed: r.DownstreamFailed,
		Waited:           uint64(max(r.Waited.Milliseconds(), 0)),
		InFlight:         r.Load.InFlight,
		Limit:            r.Load.Limit,
		Pace:             float32(r.Load.Pace),
		BodySize:         uint64(len(r.Body)),
		Part:             part,
	}
	if n := r.Notice; n != nil {
		f.Notice = &Notice{Leaving: n.Leaving, Born: n.Born, RateLimited: n.RateLimited, RateLimit: n.RateLimit}
	}
	if t := r.Timing; t != (message.Timing{}) {
		f.Timing = &Timing{
			Own: t.Own.Microseconds(), Calls: t.Calls.Microseconds(), Slowdown: float32(t.Slowdown), Spent: t.Spent.Microseconds(),
		}
	}
	if r.Err != nil {
		f.ErrStep, f.ErrPeer, f.ErrDetail = string(r.Err.Step), r.Err.Peer, r.Err.Detail
	}
	for _, t := range r.Thresholds {
		f.Thresholds = append(f.Thresholds, Threshold{Service: t.Service, Priority: uint16(t.Priority)})
	}
	for _, n := range r.Needs {
		f.Needs = append(f.Needs, Need{Service: n.Service, Calls: n.Calls, Passed: n.Passed, Retried: n.Retried})
	}
	return Encode(f)
}

func encodeAll(stream uint64, body []byte, encodeHead func(part []byte) ([]byte, error)) ([][]byte, error) {
	offset := min(len(body), MaxPart)
	b, err := encodeHead(body[:offset])
	if err != nil {
		return nil, err
	}
	frames := [][]byte{b}
	for offset < len(body) {
		if b, offset, err = EncodePart(stream, body, offset); err != nil {
			return nil, err
		}
		frames = append(frames, b)
	}
	return frames, nil
}

// EncodePart returns the frame with the part of a body that begins at the offset, and the offset of the next part.
func EncodePart(stream uint64, body []byte, offset int) ([]byte, int, error) {
	end := min(offset+MaxPart, len(body))
	b, err := Encode(&Body{Stream: stream, Offset: uint64(offset), Part: body[offset:end]})
	return b, end, err
}

// Message returns the request without its body. Its deadline is now plus the time left.
func (f *Request) Message(now time.Time) *message.Request {
	return &message.Request{
		ID:         f.ID,
		Span:       f.Span,
		Service:    f.Service,
		Method:     f.Method,
		Path:       f.Path,
		Header:     f.Header,
		Priority:   message.Priority(f.Priority),
		Idempotent: f.Idempotent,
		Hop:        f.Hop,
		Deadline:   now.Add(time.Duration(min(f.TimeLeft, uint64(maxTimeLeft.Microseconds()))) * time.Microsecond),
		Retries:    f.Retries,
		Key:        f.Key,
		Mode:       message.Mode(f.Mode),
		Host:       f.Host,
		Attempt:    f.Attempt,
		Instance:   f.Instance,
		Caller:     f.Caller,
		RateLimit:  f.RateLimit,

		Organisation: f.Organisation, CredentialsHash: f.CredentialsHash,
	}
}

// maxTimeLeft bounds the deadline that a peer can ask for, so that a faulty peer cannot occupy one of the target's slots for
// concurrent requests indefinitely. It also bounds the waiting time that a response reports: a larger value from a faulty peer
// could overflow a time.Duration, and the receiver adds these times up.
const maxTimeLeft = 10 * time.Minute

// Message returns the response without its body.
func (f *Response) Message() *message.Response {
	r := &message.Response{
		Outcome:          message.Outcome(f.Outcome),
		Reason:           message.Reason(f.Reason),
		Status:           f.Status,
		Header:           f.Header,
		RetryAfter:       time.Duration(f.RetryAfter) * time.Millisecond,
		RetriesLeft:      f.RetriesLeft,
		DownstreamFailed: f.DownstreamFailed,
		Waited:           time.Duration(min(f.Waited, uint64(maxTimeLeft.Milliseconds()))) * time.Millisecond,
		Load:             message.Load{InFlight: f.InFlight, Limit: f.Limit, Pace: float64(f.Pace)},
	}
	if n := f.Notice; n != nil {
		r.Notice = &message.Notice{Leaving: n.Leaving, Born: n.Born, RateLimited: n.RateLimited, RateLimit: n.RateLimit}
	}
	if t := f.Timing; t != nil {
		r.Timing = message.Timing{
			Own: microseconds(t.Own), Calls: microseconds(t.Calls), Slowdown: float64(t.Slowdown), Spent: microseconds(t.Spent),
		}
	}
	if f.ErrStep != "" {
		r.Err = &message.Error{Step: message.Step(f.ErrStep), Peer: f.ErrPeer, Detail: f.ErrDetail}
	}
	for _, t := range f.Thresholds {
		r.Thresholds = append(r.Thresholds, message.Threshold{Service: t.Service, Priority: message.Priority(t.Priority)})
	}
	for _, n := range f.Needs {
		r.Needs = append(r.Needs, message.Need{Service: n.Service, Calls: n.Calls, Passed: n.Passed, Retried: n.Retried})
	}
	return r
}

// microseconds converts a time of a peer without overflow. Values out of range stay out of the range that message.Timing allows.
func microseconds(n int64) time.Duration {
	const limit = int64(2 * maxTimeLeft / time.Microsecond)
	return time.Duration(min(max(n, -limit), limit)) * time.Microsecond
}

// Assembly reassembles a body from its parts. The body is complete only when exactly its stated size has arrived in order.
type Assembly struct {
	size uint64
	body []byte
}

// NewAssembly starts a body of the given size with its first part. A size above limit is an error.
func NewAssembly(size uint64, first []byte, limit int) (*Assembly, error) {
	if size > uint64(limit) {
		return nil, fmt.Errorf("%w: body of %d bytes exceeds %d", ErrTooLarge, size, limit)
	}
	a := &Assembly{size: size}
	if uint64(len(first)) == size {
		a.body = first
		return a, nil
	}
	return a, a.Add(0, first) // the buffer grows as parts arrive: a stated size alone allocates nothing
}

// NewReservedAssembly starts a body of a size for which memory is reserved, so that its buffer does not grow.
func NewReservedAssembly(size uint64) *Assembly {
	return &Assembly{size: size, body: make([]byte, 0, size)}
}

// Add appends the part that starts at offset.
func (a *Assembly) Add(offset uint64, part []byte) error {
	if offset != uint64(len(a.body)) || offset+uint64(len(part)) > a.size {
		return fmt.Errorf("%w: part of %d bytes at %d, have %d of %d", ErrBody, len(part), offset, len(a.body), a.size)
	}
	a.body = append(a.body, part...)
	return nil
}

// Body returns the body and whether it is complete.
func (a *Assembly) Body() ([]byte, bool) {
	return a.body, uint64(len(a.body)) == a.size
}
