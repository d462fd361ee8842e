package link

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// inbound is a link that a peer dialed. Requests come in on it and responses go back.
type inbound struct {
	cfg     Config
	peer    Peer
	conn    Conn
	reader  *reader
	writer  *writer
	handler Handler

	running sync.WaitGroup

	mu         sync.Mutex
	streams    map[uint64]*stream
	lastStream uint64 // highest stream that was taken
	leaving    bool
}

// stream is a request of the peer that was not answered yet.
type stream struct {
	cancel context.CancelFunc
	req    *message.Request
	body   *wire.Assembly
}

// serve handles the link until the connection ends, then cancels what still runs and waits for it.
func (in *inbound) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var parts sync.WaitGroup
	parts.Go(func() { cancel(in.writer.run(ctx)) })
	parts.Go(func() { cancel(in.watch(ctx)) })
	parts.Go(func() { cancel(in.reader.run(func(f wire.Frame) error { return in.handle(ctx, f) })) })
	<-ctx.Done()
	in.conn.Close()
	parts.Wait()
	in.running.Wait()
	return context.Cause(ctx)
}

// watch ends the link when requests run for a peer that has gone silent, so that they free their slots.
func (in *inbound) watch(ctx context.Context) error {
	ticker := time.NewTicker(in.cfg.HeartbeatInterval)
	defer ticker.Stop()
	// A peer pings after one interval of silence, so a working connection is never silent for an interval and the timeout.
	limit := in.cfg.HeartbeatInterval + in.cfg.HeartbeatTimeout
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			if in.writer.stalled(now) >= in.cfg.HeartbeatTimeout {
				return errStalled
			}
			if in.active() > 0 && now.Sub(in.reader.heard()) >= limit {
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
	if f.Stream <= in.lastStream {
		return fmt.Errorf("%w: stream %d after %d", errProtocol, f.Stream, in.lastStream)
	}
	if in.leaving {
		return nil // the go-away that was sent has refused it
	}
	in.lastStream = f.Stream
	req := f.Message(time.Now())
	body, err := wire.NewAssembly(f.BodySize, f.Part, in.cfg.MaxBody)
	if err != nil {
		in.respond(f.Stream, req.ID, message.Refuse(message.ReasonTooLarge, message.Errorf(message.StepAccept, in.cfg.Self.Address, "%v", err)))
		return nil
	}
	s := &stream{req: req, body: body, cancel: func() {}}
	in.streams[f.Stream] = s
	in.startIfWhole(ctx, f.Stream, s)
	return nil
}

func (in *inbound) handleBody(ctx context.Context, f *wire.Body) {
	in.mu.Lock()
	defer in.mu.Unlock()
	s, ok := in.streams[f.Stream]
	if !ok {
		return
	}
	if err := s.body.Add(f.Offset, f.Part); err != nil {
		delete(in.streams, f.Stream) // a later part must not start what is reported as not run
		in.respond(f.Stream, s.req.ID, message.Refuse(message.ReasonInvalid, message.Errorf(message.StepAccept, in.cfg.Self.Address, "%v", err)))
		return
	}
	in.startIfWhole(ctx, f.Stream, s)
}

// startIfWhole runs the request once its body is whole. The caller holds the mutex.
func (in *inbound) startIfWhole(ctx context.Context, id uint64, s *stream) {
	body, whole := s.body.Body()
	if !whole {
		return
	}
	s.req.Body = body
	ctx, s.cancel = context.WithDeadline(ctx, s.req.Deadline)
	in.running.Go(func() {
		r := in.handler.HandleRequest(ctx, in.peer, s.req)
		s.cancel()
		in.respond(id, s.req.ID, r)
	})
}

// forget removes a stream whose response was written. Until then the stream counts as active, so that a graceful stop
// waits for the response to leave.
func (in *inbound) forget(id uint64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.streams, id)
}

func (in *inbound) handleCancel(f *wire.Cancel) {
	in.mu.Lock()
	defer in.mu.Unlock()
	s, ok := in.streams[f.Stream]
	if !ok {
		return
	}
	if _, whole := s.body.Body(); !whole {
		delete(in.streams, f.Stream) // never started
		return
	}
	s.cancel()
}

// respond queues the response of a stream.
func (in *inbound) respond(stream uint64, id message.ID, r *message.Response) {
	frames, err := wire.EncodeResponse(stream, id, r)
	if err != nil {
		// Only the headers of the target can make a response too large for its first frame.
		doubt := message.Doubt(message.ReasonTooLarge, message.Errorf(message.StepRun, in.cfg.Self.Address, "%v", err))
		doubt.RetriesLeft = r.RetriesLeft
		if frames, err = wire.EncodeResponse(stream, id, doubt); err != nil {
			return
		}
	}
	in.writer.enqueue(&outgoing{frames: frames, after: func() { in.forget(stream) }})
}

func (in *inbound) post(f wire.Frame) {
	b, err := wire.Encode(f)
	if err != nil {
		return
	}
	in.writer.enqueue(&outgoing{frames: [][]byte{b}})
}

// goAway refuses every stream from now on and tells the peer.
func (in *inbound) goAway() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.leaving {
		return
	}
	in.leaving = true
	in.post(&wire.GoAway{LastStream: in.lastStream})
}
