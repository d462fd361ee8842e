package link

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
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
	return context.Cause(ctx)
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
	body, err := wire.NewAssembly(f.BodySize, f.Part, in.cfg.MaxBody)
	if err != nil {
		in.respond(f.Stream, req.ID, message.Refuse(message.ReasonTooLarge, message.Errorf(message.StepAccept, in.cfg.Self.Address, "%v", err)))
		return nil
	}
	s := &stream{key: streamKey{in.generation, f.Stream}, req: req, body: body, cancel: func() {}}
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
	if err := s.body.Add(f.Offset, f.Part); err != nil {
		delete(in.streams, f.Stream) // a later part must not start a request that is reported as not run
		in.respond(f.Stream, s.req.ID, message.Refuse(message.ReasonInvalid, message.Errorf(message.StepAccept, in.cfg.Self.Address, "%v", err)))
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
	if !s.req.Idempotent {
		ctx = in.poolCtx // it must not run again elsewhere, so it goes on without the link
	}
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
	if ok && !s.req.Idempotent {
		in.sessions.keep(in, s)
	}
}

func (in *inbound) handleCancel(f *wire.Cancel) {
	in.mu.Lock()
	defer in.mu.Unlock()
	s, ok := in.streams[f.Stream]
	if !ok {
		return
	}
	if !s.started {
		delete(in.streams, f.Stream)
		return
	}
	s.cancel()
}

// respond queues the response on a stream.
func (in *inbound) respond(stream uint64, id message.ID, r *message.Response) {
	frames, err := wire.EncodeResponse(stream, id, r)
	if err != nil {
		// Only response headers set by the target, the process that ran the request, can make the first frame too large.
		unknown := message.UnknownOutcome(message.ReasonTooLarge, message.Errorf(message.StepRun, in.cfg.Self.Address, "%v", err))
		unknown.RetriesLeft = r.RetriesLeft
		if frames, err = wire.EncodeResponse(stream, id, unknown); err != nil {
			return
		}
	}
	in.writer.enqueue(&outgoing{frames: frames, onWritten: func() { in.responseWritten(stream) }})
}

func (in *inbound) post(f wire.Frame) {
	b, err := wire.Encode(f)
	if err != nil {
		return
	}
	in.writer.enqueue(&outgoing{frames: [][]byte{b}})
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
