package link

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// inbound is a link that a peer dialed. It receives requests and sends responses.
type inbound struct {
	cfg        Config
	peer       Peer
	generation uint64 // assigned by the peer
	conn       Conn
	reader     *reader
	writer     *writer
	handler    Handler
	sessions   *sessions
	poolCtx    context.Context // Pool.requestsCtx; parent context of requests that are not idempotent

	running sync.WaitGroup
	done    chan struct{} // closed once nothing more is read from the link

	mu         sync.Mutex
	streams    map[uint64]*stream
	lastStream uint64 // highest accepted stream
	leaving    bool   // this node has queued a go-away frame and ignores new requests

	unsentMu sync.Mutex
	unsent   map[uint64]*unsentBody // announced bodies of responses, until they are written
}

// serve handles the link until the connection ends. Then it cancels the idempotent requests that still run, hands the others
// over to the sessions, and waits for all of them.
func (in *inbound) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { cancel(in.writer.run(ctx)) })
	loops.Go(func() { cancel(in.monitor(ctx)) })
	loops.Go(func() { cancel(in.reader.run(func(f wire.Frame) error { return in.handle(ctx, f) })) })
	<-ctx.Done()
	in.conn.Close()
	loops.Wait()
	in.handOver()
	close(in.done)
	in.running.Wait()
	in.releaseStreams()
	return context.Cause(ctx)
}

// releaseStreams releases what the requests hold that end with the link.
func (in *inbound) releaseStreams() {
	in.mu.Lock()
	defer in.mu.Unlock()
	for id, s := range in.streams {
		s.dropBody()
		s.req.Memory.Release()
		delete(in.streams, id)
	}
}

// handOver hands the started requests that are not idempotent over to the sessions. The link no longer reads or writes by then.
func (in *inbound) handOver() {
	in.mu.Lock()
	var detached []*stream
	for id, s := range in.streams {
		if s.started && !s.req.Idempotent {
			detached = append(detached, s)
			delete(in.streams, id)
		}
	}
	last := in.lastStream
	in.mu.Unlock()
	in.sessions.end(in, last, detached)
}

// monitor ends the link if a write blocks or if requests run for a peer that has gone silent, so that they free their slots.
func (in *inbound) monitor(ctx context.Context) error {
	ticker := time.NewTicker(in.cfg.HeartbeatInterval)
	defer ticker.Stop()
	// A peer that waits for a response pings after an interval in which it wrote nothing, and the timeout is added for the
	// time that the ping may take to arrive. A working connection is never silent for that long.
	limit := in.cfg.HeartbeatInterval + in.cfg.HeartbeatTimeout
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			if in.writer.writeDuration(now) >= in.cfg.HeartbeatTimeout {
				return errStalled
			}
			if in.active() > 0 && now.Sub(in.reader.lastFrameTime()) >= limit {
				return errSilent
			}
		}
	}
}

func (in *inbound) active() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.streams)
}

func (in *inbound) handle(ctx context.Context, f wire.Frame) error {
	switch f := f.(type) {
	case *wire.Request:
		return in.handleRequest(ctx, f)
	case *wire.Body:
		in.handleBody(ctx, f)
	case *wire.Attach:
		return in.handleAttach(f)
	case *wire.Cancel:
		in.handleCancel(f)
		in.dropUnsent(f.Stream)
	case *wire.Grant:
		in.handleGrant(f)
	case *wire.Ping:
		in.post(&wire.Pong{Sequence: f.Sequence})
	case *wire.Control:
		in.handler.HandleControl(in.peer, f.Channel, f.Payload)
	}
	return nil
}

func (in *inbound) handleRequest(ctx context.Context, f *wire.Request) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if err := in.checkStream(f.Stream); err != nil {
		return err
	}
	if in.leaving {
		return nil // the peer takes it for refused when it reads the go-away frame, as its stream is above LastStream
	}
	in.lastStream = f.Stream
	req := f.Message(time.Now())
	s := &stream{key: streamKey{in.generation, f.Stream}, req: req, cancel: func() {}}
	if f.BodySize > 0 {
		s.held = in.cfg.Budget.NewReservation(memory.Forwarded)
	}
	if announced(f.BodySize, f.Part) && f.BodySize <= uint64(in.cfg.MaxBody) {
		in.streams[f.Stream] = s
		in.awaitRoom(ctx, f.Stream, s, f.BodySize)
		return nil
	}
	body, err := wire.NewAssembly(f.BodySize, f.Part, in.cfg.MaxBody)
	if err != nil {
		in.respond(f.Stream, req.ID, message.Refuse(message.ReasonTooLarge, message.Errorf(message.StepAccept, in.cfg.Self.Address, "%v", err)))
		return nil
	}
	if f.BodySize > 0 && !s.held.Reserve(int64(f.BodySize)) {
		in.respond(f.Stream, req.ID, message.Refuse(message.ReasonOverload,
			message.Errorf(message.StepAccept, in.cfg.Self.Address, "no memory for a body of %d bytes", f.BodySize)))
		return nil
	}
	s.body = body
	in.streams[f.Stream] = s
	in.startIfComplete(ctx, f.Stream, s)
	return nil
}

// checkStream returns an error unless the stream is above all earlier ones. The caller holds the mutex.
func (in *inbound) checkStream(id uint64) error {
	if id <= in.lastStream {
		return fmt.Errorf("%w: stream %d after %d", errProtocol, id, in.lastStream)
	}
	return nil
}

// handleAttach answers a peer that asks for the response to a request whose link was lost. It does so while this node is
// leaving too.
func (in *inbound) handleAttach(f *wire.Attach) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if err := in.checkStream(f.Stream); err != nil {
		return err
	}
	in.lastStream = f.Stream
	s, neverArrived := in.sessions.find(in, streamKey{f.Generation, f.EarlierStream})
	switch {
	case s != nil && s.req.ID == f.ID:
		in.streams[f.Stream] = s
		if r := s.bind(in, f.Stream); r != nil {
			in.respond(f.Stream, s.req.ID, r)
		}
	case neverArrived:
		in.respond(f.Stream, f.ID, message.Refuse(message.ReasonConnection,
			message.Errorf(message.StepAccept, in.cfg.Self.Address, "the link was lost before the request arrived")))
	default:
		in.respond(f.Stream, f.ID, message.UnknownOutcome(message.ReasonConnection,
			message.Errorf(message.StepAccept, in.cfg.Self.Address, "no record of the request is kept")))
	}
	return nil
}

func (in *inbound) handleBody(ctx context.Context, f *wire.Body) {
	in.mu.Lock()
	defer in.mu.Unlock()
	s, ok := in.streams[f.Stream]
	if !ok || s.started {
		return
	}
	err := wire.ErrBody // of a body that was not granted
	if s.body != nil {
		err = s.body.Add(f.Offset, f.Part)
	}
	if err != nil {
		in.refuseUnfinished(f.Stream, s, message.Refuse(message.ReasonInvalid, message.Errorf(message.StepAccept, in.cfg.Self.Address, "%v", err)))
		return
	}
	in.startIfComplete(ctx, f.Stream, s)
}

// startIfComplete runs the request if its body is complete. The caller holds the mutex.
func (in *inbound) startIfComplete(ctx context.Context, id uint64, s *stream) {
	body, complete := s.body.Body()
	if !complete {
		return
	}
	s.req.Body, s.body, s.started = body, nil, true
	if s.stopExpiry != nil {
		s.stopExpiry()
	}
	if !s.req.Idempotent {
		ctx = in.poolCtx // it must not run again elsewhere, so it goes on without the link
	}
	s.req.Memory = in.cfg.Budget.NewReservation(memory.Responses)
	ctx, s.cancel = context.WithDeadline(ctx, s.req.Deadline)
	s.bind(in, id)
	in.running.Go(func() {
		r := in.handler.HandleRequest(ctx, in.peer, s.req)
		s.cancel()
		s.finish(r)
	})
}

// responseWritten removes a stream whose response was written. Until then the stream counts as active, so that a graceful stop
// waits for the write. The response to a request that is not idempotent is kept, as it may not arrive.
func (in *inbound) responseWritten(id uint64) {
	in.mu.Lock()
	s, ok := in.streams[id]
	delete(in.streams, id)
	in.mu.Unlock()
	in.unsentMu.Lock()
	delete(in.unsent, id)
	in.unsentMu.Unlock()
	if !ok {
		return
	}
	if !s.req.Idempotent {
		in.sessions.keep(in, s)
	}
	s.req.Memory.Release()
}

func (in *inbound) handleCancel(f *wire.Cancel) {
	in.mu.Lock()
	defer in.mu.Unlock()
	s, ok := in.streams[f.Stream]
	if !ok {
		return
	}
	s.cancel()
	if !s.started {
		delete(in.streams, f.Stream)
		s.dropBody()
	}
}

// respond queues the response on a stream.
func (in *inbound) respond(stream uint64, id message.ID, r *message.Response) {
	part := firstPart(r.Body, in.peer.grants)
	head, err := wire.EncodeResponseHead(stream, id, r, part)
	if err != nil {
		// Only response headers set by the target, the process that ran the request, can make the first frame too large.
		unknown := message.UnknownOutcome(message.ReasonTooLarge, message.Errorf(message.StepRun, in.cfg.Self.Address, "%v", err))
		unknown.RetriesLeft = r.RetriesLeft
		if head, err = wire.EncodeResponseHead(stream, id, unknown, nil); err != nil {
			return
		}
		r, part = unknown, nil
	}
	written := func() { in.responseWritten(stream) }
	if !announced(uint64(len(r.Body)), part) {
		in.writer.enqueue(&outgoing{frame: head, body: r.Body, offset: len(part), stream: stream, onWritten: written})
		return
	}
	in.unsentMu.Lock()
	if in.unsent == nil {
		in.unsent = map[uint64]*unsentBody{}
	}
	in.unsent[stream] = &unsentBody{msg: &outgoing{body: r.Body, stream: stream, onWritten: written}}
	in.unsentMu.Unlock()
	in.writer.enqueue(&outgoing{frame: head})
}

func (in *inbound) post(f wire.Frame) {
	b, err := wire.Encode(f)
	if err != nil {
		return
	}
	in.writer.enqueue(&outgoing{frame: b})
}

// goAway refuses new requests from now on and tells the peer. Attach frames are still answered.
func (in *inbound) goAway() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.leaving {
		return
	}
	in.leaving = true
	in.post(&wire.GoAway{LastStream: in.lastStream})
}
