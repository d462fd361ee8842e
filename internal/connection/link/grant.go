package link

import (
	"context"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Bodies above wire.MaxUnasked are announced: the first frame states the size and carries no part. The receiver reserves memory for the
// whole body and grants it, and only then is the body sent. A body that finds no room is never transferred, and a request whose body was
// not transferred has not run. Links to nodes that do not understand grants send bodies at once, as far as the receiver has room.

// RequestChecker is implemented by handlers that can tell before the body of a request arrives that they would refuse it.
type RequestChecker interface {
	// CheckRequest returns the refusal of a request, whose body has not arrived, or nil.
	CheckRequest(req *message.Request) *message.Response
}

const (
	// roomWaitShare is the share of the time left until the deadline for which an announced request waits for room. The transfer of its
	// body and the run have to fit into the rest.
	roomWaitShare = 0.5
	// unfinishedGrace is the time after its deadline at which a request is dropped whose body has not arrived. The sender gives it up at
	// the deadline.
	unfinishedGrace = time.Second
)

// announced reports whether a first frame announces a body that follows after a grant.
func announced(size uint64, part []byte) bool { return size > 0 && len(part) == 0 }

// firstPart returns the part of a body that is sent with the first frame.
func firstPart(body []byte, grants bool) []byte {
	if grants && len(body) > wire.MaxUnasked {
		return nil
	}
	return body[:min(len(body), wire.MaxPart)]
}

// awaitRoom grants the announced body of a request when there is room for it, or refuses the request. The caller holds the mutex.
func (in *inbound) awaitRoom(ctx context.Context, id uint64, s *stream, size uint64) {
	left := time.Until(s.req.Deadline)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(roomWaitShare*float64(left)))
	s.cancel = cancel
	expiry := time.AfterFunc(left+unfinishedGrace, func() { in.dropUnfinished(id, s) })
	s.stopExpiry = func() { expiry.Stop() }
	in.running.Go(func() {
		defer cancel()
		var refusal *message.Response
		if c, ok := in.handler.(RequestChecker); ok {
			refusal = c.CheckRequest(s.req)
		}
		if refusal == nil && s.held.Acquire(ctx, int64(size)) != nil {
			refusal = message.Refuse(message.ReasonOverload,
				message.Errorf(message.StepAccept, in.cfg.Self.Address, "no memory for a body of %d bytes", size))
		}
		in.mu.Lock()
		defer in.mu.Unlock()
		switch {
		case in.streams[id] != s: // cancelled meanwhile
			s.dropBody()
		case refusal != nil:
			in.refuseUnfinished(id, s, refusal)
		default:
			s.body = wire.NewReservedAssembly(size)
			in.post(&wire.Grant{Stream: id})
		}
	})
}

// refuseUnfinished answers a request whose body has not arrived completely. A later part must not start it. The caller holds the mutex.
func (in *inbound) refuseUnfinished(id uint64, s *stream, r *message.Response) {
	delete(in.streams, id)
	s.dropBody()
	in.respond(id, s.req.ID, r)
}

// dropUnfinished drops a request whose body has not arrived.
func (in *inbound) dropUnfinished(id uint64, s *stream) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.streams[id] == s && !s.started {
		delete(in.streams, id)
		s.dropBody()
	}
}

// dropBody releases what a request holds whose body will not be used.
func (st *stream) dropBody() {
	st.body = nil
	st.held.Release()
	if st.stopExpiry != nil {
		st.stopExpiry()
	}
}

// unsentBody is the body of a response that was announced.
type unsentBody struct {
	msg     *outgoing
	granted bool
}

// handleGrant sends the announced body of a response.
func (in *inbound) handleGrant(f *wire.Grant) {
	in.unsentMu.Lock()
	u := in.unsent[f.Stream]
	granted := u != nil && !u.granted
	if granted {
		u.granted = true
	}
	in.unsentMu.Unlock()
	if granted {
		in.writer.enqueue(u.msg)
	}
}

// dropUnsent ends the transfer of a response's body that the peer no longer waits for.
func (in *inbound) dropUnsent(stream uint64) {
	in.unsentMu.Lock()
	u := in.unsent[stream]
	delete(in.unsent, stream)
	in.unsentMu.Unlock()
	switch {
	case u == nil:
	case u.granted:
		u.msg.drop()
	default:
		in.responseWritten(stream)
	}
}

// handleGrant sends the announced body of a request.
func (o *outbound) handleGrant(f *wire.Grant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c, ok := o.calls[f.Stream]; ok && c.unsent != nil && !c.granted {
		c.granted = true
		o.writer.enqueue(c.unsent)
	}
}

// neverSent reports whether the announced body of a request was not sent and never will be. Then the request cannot run.
func (c *call) neverSent() bool {
	return c.unsent != nil && (!c.granted || c.unsent.withdraw())
}

// dropBody ends the transfer of the request's body.
func (c *call) dropBody() {
	c.msg.drop()
	if c.unsent != nil {
		c.unsent.drop()
	}
}

// awaitRoom grants the announced body of a response when there is room for it, until the call ends.
func (o *outbound) awaitRoom(c *call, f *wire.Response) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	defer context.AfterFunc(o.ctx, cancel)()
	err := c.memory.Acquire(ctx, int64(f.BodySize))
	o.mu.Lock()
	current := o.calls[f.Stream] == c
	if current && err == nil {
		c.head, c.body = f.Message(), wire.NewReservedAssembly(f.BodySize)
	}
	o.mu.Unlock()
	switch {
	case !current:
	case err != nil:
		o.post(&wire.Cancel{Stream: f.Stream})
		o.refuse(f.Stream, memory.ErrBudget)
	default:
		o.post(&wire.Grant{Stream: f.Stream})
	}
}
