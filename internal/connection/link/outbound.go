package link

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/responsecheck"
	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/invariant"
	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// outbound is a link that this node dialed. It sends requests and receives responses.
type outbound struct {
	cfg        Config
	peer       Peer
	generation uint64
	conn       Conn
	reader     *reader
	writer     *writer
	log        *slog.Logger
	ctx        context.Context // ends with the link
	cancel     context.CancelCauseFunc
	done       chan struct{} // closed when the link is closed, every call is settled and its goroutines have ended
	leaving    atomic.Bool   // the peer sent a go-away frame

	mu           sync.Mutex
	calls        map[uint64]*call
	nextStream   uint64
	waitingSince time.Time // when a call was last added to an empty map of calls
	controlSince time.Time // when the first control message since the peer's last frame was queued; zero if there is none
	lastUse      time.Time
	closed       bool
}

// call is a request that waits for its response.
type call struct {
	id       message.ID
	attached bool // sent as an Attach frame; the request may have run even if that frame was never written
	once     bool // the request is not idempotent
	msg      *outgoing
	response chan *message.Response // capacity 1; closed without a value if the link is lost
	head     *message.Response      // response whose body is not complete yet
	body     *wire.Assembly
	memory   *memory.Reservation // reserves the bytes of the response's body
	ctx      context.Context     // of the request

	unsent   *outgoing // announced body of the request; nil if there is none
	granted  bool      // the peer has asked for it
	answered bool      // the head of the response has arrived
}

// dialHandshake exchanges the hello frames on a connection that this node dialed.
func dialHandshake(ctx context.Context, conn Conn, cfg Config, generation uint64) (Peer, error) {
	if err := writeHello(ctx, conn, cfg.Self, generation); err != nil {
		return Peer{}, fmt.Errorf("write hello: %w", err)
	}
	hello, err := readHello(ctx, conn)
	if err != nil {
		return Peer{}, fmt.Errorf("read hello: %w", err)
	}
	return peerOf(hello), nil
}

func peerOf(h *wire.Hello) Peer {
	return Peer{Address: h.Address, Incarnation: h.Incarnation, Zone: h.Zone, grants: h.Features&wire.FeatureGrant != 0}
}

func writeHello(ctx context.Context, conn Conn, self Peer, generation uint64) error {
	b, err := wire.Encode(&wire.Hello{
		Version:     wire.ProtocolVersion,
		Address:     self.Address,
		Incarnation: self.Incarnation,
		Zone:        self.Zone,
		Generation:  generation,
		Features:    wire.FeatureGrant,
	})
	if err != nil {
		return err
	}
	return conn.Write(ctx, b)
}

func readHello(ctx context.Context, conn Conn) (*wire.Hello, error) {
	b, err := conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	f, err := wire.Decode(b)
	if err != nil {
		return nil, err
	}
	hello, ok := f.(*wire.Hello)
	if !ok {
		return nil, fmt.Errorf("%w: first frame is not a hello frame", errProtocol)
	}
	if hello.Version != wire.ProtocolVersion {
		return nil, fmt.Errorf("%w: protocol version %d, want %d", errProtocol, hello.Version, wire.ProtocolVersion)
	}
	return hello, nil
}

// newOutbound starts a link on a connection whose handshake is done.
func newOutbound(ctx context.Context, conn Conn, cfg Config, peer Peer, generation uint64, log *slog.Logger) *outbound {
	ctx, cancel := context.WithCancelCause(ctx)
	now := time.Now()
	o := &outbound{
		cfg:        cfg,
		peer:       peer,
		generation: generation,
		conn:       conn,
		reader:     newReader(conn, peer, log),
		writer:     newWriter(conn),
		log:        log,
		ctx:        ctx,
		cancel:     cancel,
		done:       make(chan struct{}),
		calls:      map[uint64]*call{},
		lastUse:    now,
	}
	var loops sync.WaitGroup
	loops.Go(func() { o.stop(o.reader.run(o.handle)) })
	loops.Go(func() { o.stop(o.writer.run(ctx)) })
	loops.Go(func() { o.stop(o.heartbeat(ctx)) })
	go func() {
		<-ctx.Done()
		conn.Close()
		o.failPending(context.Cause(ctx))
		loops.Wait()
		o.logClosed(context.Cause(ctx))
		close(o.done)
	}()
	return o
}

// stop closes the link because of err. Only the first cause is recorded.
func (o *outbound) stop(err error) {
	if err == nil {
		err = errClosed
	}
	o.cancel(err)
}

func (o *outbound) logClosed(cause error) {
	e := event.LinkClosed
	if errors.Is(cause, errSilent) {
		e = event.LinkSilent
	}
	event.Log(o.log, e, slog.String("peer", o.peer.Address), slog.Uint64("generation", o.generation),
		slog.String("cause", cause.Error()))
}

// usable reports whether the link is open. A link whose peer is leaving stays usable for control messages.
func (o *outbound) usable() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.closed
}

// send sends the request and waits for its response. If the link was lost after the request may have been written, it returns
// a lostCall instead. It reports false, with neither, if the link was closed before the request was queued; the request can
// then be sent on another link.
func (o *outbound) send(ctx context.Context, req *message.Request) (r *message.Response, lost *lostCall, sent bool) {
	if o.leaving.Load() {
		return message.Refuse(message.ReasonLeaving, message.Errorf(message.StepSend, o.peer.Address, "node is leaving")), nil, true
	}
	stream, c, err := o.open(ctx, req, false, func(stream uint64) (*outgoing, error) {
		part := firstPart(req.Body, o.peer.grants)
		b, err := wire.EncodeRequestHead(stream, req, time.Now(), part)
		return &outgoing{frame: b, body: req.Body, offset: len(part), stream: stream}, err
	})
	if err != nil {
		return message.Refuse(message.ReasonInvalid, message.Errorf(message.StepSend, o.peer.Address, "%v", err)), nil, true
	}
	return o.await(ctx, stream, c)
}

// attach asks for the response to a request whose link was lost. Its results are those of send.
func (o *outbound) attach(ctx context.Context, req *message.Request, earlier *lostCall) (r *message.Response, lost *lostCall, sent bool) {
	stream, c, err := o.open(ctx, req, true, func(stream uint64) (*outgoing, error) {
		b, err := wire.Encode(&wire.Attach{Stream: stream, Generation: earlier.generation, EarlierStream: earlier.stream, ID: req.ID})
		return &outgoing{frame: b}, err
	})
	if err != nil {
		return earlier.unknownOutcome(o.peer.Address), nil, true
	}
	return o.await(ctx, stream, c)
}

// await waits for the response to a call.
func (o *outbound) await(ctx context.Context, stream uint64, c *call) (r *message.Response, lost *lostCall, sent bool) {
	if c == nil {
		return nil, nil, false
	}
	select {
	case r, ok := <-c.response:
		if !ok {
			return nil, &lostCall{o.peer.Incarnation, o.generation, stream, context.Cause(o.ctx)}, true
		}
		return r, nil, true
	case <-ctx.Done():
		return o.abandon(ctx, stream, c), nil, true
	}
}

// lostCall identifies a request whose link was lost before the response, when some or all of it had been written.
type lostCall struct {
	incarnation, generation, stream uint64
	cause                           error
}

// unknownOutcome returns the response for a call of which nothing more can be learned.
func (l *lostCall) unknownOutcome(peer string) *message.Response {
	return message.UnknownOutcome(message.ReasonConnection, message.Errorf(message.StepAwait, peer, "link closed before the response: %v", l.cause))
}

// contextOutcome returns the response for a request that may have run and whose context has ended.
func contextOutcome(ctx context.Context, peer string) *message.Response {
	reason := message.ReasonCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = message.ReasonDeadline
	}
	return message.UnknownOutcome(reason, message.Errorf(message.StepAwait, peer, "%v", ctx.Err()))
}

// open registers a call and queues its frames. It returns a nil call if the link is closed.
func (o *outbound) open(ctx context.Context, req *message.Request, attached bool, encode func(stream uint64) (*outgoing, error)) (uint64, *call, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return 0, nil, nil
	}
	stream := o.nextStream + 1
	now := time.Now()
	msg, err := encode(stream)
	if err != nil {
		return 0, nil, err
	}
	c := &call{
		id: req.ID, attached: attached, once: !req.Idempotent, msg: msg,
		response: make(chan *message.Response, 1), memory: req.Memory, ctx: ctx,
	}
	if len(msg.body) > 0 && msg.offset == 0 {
		c.unsent = &outgoing{body: msg.body, stream: stream}
		msg.body = nil
	}
	if !o.writer.enqueue(c.msg) {
		return 0, nil, nil
	}
	o.nextStream = stream
	if len(o.calls) == 0 {
		o.waitingSince = now
	}
	o.calls[stream] = c
	return stream, c, nil
}

// take removes a call, so that exactly one goroutine settles it.
func (o *outbound) take(stream uint64) (*call, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c, ok := o.calls[stream]
	if ok {
		delete(o.calls, stream)
		o.lastUse = time.Now()
	}
	return c, ok
}

// abandon settles a call whose context has ended. It sends Cancel unless the request certainly was not written, or must not be
// repeated and only ends here because this node stops.
func (o *outbound) abandon(ctx context.Context, stream uint64, c *call) *message.Response {
	if _, ok := o.take(stream); !ok {
		if r, settled := <-c.response; settled {
			return r
		}
		return contextOutcome(ctx, o.peer.Address) // the link was lost meanwhile
	}
	unknown := contextOutcome(ctx, o.peer.Address)
	if c.msg.withdraw() && !c.attached {
		return message.Refuse(unknown.Reason, message.Errorf(message.StepSend, o.peer.Address, "%v before the request was written", ctx.Err()))
	}
	if c.neverSent() {
		o.post(&wire.Cancel{Stream: stream})
		return message.Refuse(unknown.Reason, message.Errorf(message.StepSend, o.peer.Address, "%v before the body was sent", ctx.Err()))
	}
	if c.once && errors.Is(context.Cause(ctx), message.ErrStopping) {
		return unknown // the target completes it, as it does when the link of this node is lost
	}
	c.dropBody()
	o.post(&wire.Cancel{Stream: stream})
	return unknown
}

// post queues a frame that belongs to no call.
func (o *outbound) post(f wire.Frame) {
	b, err := wire.Encode(f)
	if err != nil {
		return
	}
	o.writer.enqueue(&outgoing{frame: b})
}

// failPending settles all calls of a closed link. A request of which nothing was written was not run; the response channel of
// any other call is closed.
func (o *outbound) failPending(cause error) {
	o.mu.Lock()
	o.closed = true
	calls := o.calls
	o.calls = nil
	o.mu.Unlock()
	for _, c := range calls {
		if c.msg.withdraw() && !c.attached || c.neverSent() {
			c.response <- message.Refuse(message.ReasonConnection,
				message.Errorf(message.StepSend, o.peer.Address, "link closed before the request was sent: %v", cause))
			continue
		}
		close(c.response)
	}
}

func (o *outbound) handle(f wire.Frame) error {
	switch f := f.(type) {
	case *wire.Response:
		o.handleResponse(f)
	case *wire.Body:
		o.handleBody(f)
	case *wire.Grant:
		o.handleGrant(f)
	case *wire.GoAway:
		o.handleGoAway(f)
	}
	return nil
}

func (o *outbound) handleResponse(f *wire.Response) {
	o.mu.Lock()
	c, ok := o.calls[f.Stream]
	again := ok && c.answered
	if ok {
		c.answered = true
	}
	o.mu.Unlock()
	if !ok {
		return // the call was settled before: a late response is dropped
	}
	if again {
		o.refuse(f.Stream, fmt.Errorf("%w: second response on stream %d", errProtocol, f.Stream))
		return
	}
	if c.id != f.ID {
		o.refuse(f.Stream, fmt.Errorf("%w: response to request %s on the stream of request %s", errProtocol, message.ID(f.ID), c.id))
		return
	}
	if err := checkAnswer(f); err != nil {
		o.post(&wire.Cancel{Stream: f.Stream})
		o.refuse(f.Stream, err)
		return
	}
	if announced(f.BodySize, f.Part) && f.BodySize <= uint64(o.cfg.MaxBody) {
		go o.awaitRoom(c, f) // ends with the call or the link
		return
	}
	body, err := wire.NewAssembly(f.BodySize, f.Part, o.cfg.MaxBody)
	if err == nil && !c.memory.Reserve(int64(f.BodySize)) {
		err = memory.ErrBudget
	}
	if err != nil {
		o.refuse(f.Stream, err)
		return
	}
	o.mu.Lock()
	c.head, c.body = f.Message(), body
	o.mu.Unlock()
	o.finish(f.Stream, c)
}

// checkAnswer returns an error if the response of a target cannot be one. Nodes of earlier releases pass on malformed ones.
func checkAnswer(f *wire.Response) error {
	if message.Outcome(f.Outcome) != message.Answered {
		return nil
	}
	return responsecheck.CheckFinal(f.Status, f.Header)
}

func (o *outbound) handleBody(f *wire.Body) {
	o.mu.Lock()
	c, ok := o.calls[f.Stream]
	ok = ok && c.head != nil
	o.mu.Unlock()
	if !ok {
		return
	}
	if err := c.body.Add(f.Offset, f.Part); err != nil {
		o.refuse(f.Stream, err)
		return
	}
	o.finish(f.Stream, c)
}

// finish settles the call if its response is complete.
func (o *outbound) finish(stream uint64, c *call) {
	body, complete := c.body.Body()
	if !complete {
		return
	}
	if _, ok := o.take(stream); !ok {
		return
	}
	c.dropBody() // a response can arrive before the whole body of the request was sent
	c.head.Body = body
	invariant.Check(invariant.AnswerMatches, c.msg.state.Load() == stateWriting,
		"response on stream %d, whose request was never written", stream)
	c.response <- c.head
}

// refuse settles a call whose response cannot be used.
func (o *outbound) refuse(stream uint64, err error) {
	if !errors.Is(err, memory.ErrBudget) {
		event.Log(o.log, event.FrameInvalid, slog.String("peer", o.peer.Address), slog.String("error", err.Error()))
	}
	if c, ok := o.take(stream); ok {
		c.dropBody()
		c.response <- message.UnknownOutcome(message.ReasonConnection, message.Errorf(message.StepAwait, o.peer.Address, "%v", err))
	}
}

func (o *outbound) handleGoAway(f *wire.GoAway) {
	o.leaving.Store(true)
	o.mu.Lock()
	var refused []*call
	for stream, c := range o.calls {
		if stream > f.LastStream && !c.attached {
			delete(o.calls, stream)
			refused = append(refused, c)
		}
	}
	o.mu.Unlock()
	for _, c := range refused {
		c.response <- message.Refuse(message.ReasonLeaving, message.Errorf(message.StepAwait, o.peer.Address, "node is leaving"))
	}
}

// heartbeat pings the peer while something waits for it and no frame came in, or none went out, for an interval. It ends the
// link when the peer is silent, a write blocks or the link is idle. The ping is needed while responses arrive too: a peer that
// receives nothing would take the link for silent and end the requests that it still runs.
func (o *outbound) heartbeat(ctx context.Context) error {
	ticker := time.NewTicker(o.cfg.HeartbeatInterval)
	defer ticker.Stop()
	var sequence uint64
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			silent, waiting, idle := o.activity(now)
			switch {
			case o.writer.writeDuration(now) >= o.cfg.HeartbeatTimeout:
				return errStalled
			case waiting && silent >= o.cfg.HeartbeatTimeout:
				return errSilent
			case waiting && max(silent, o.writer.sinceLastWrite(now)) >= o.cfg.HeartbeatInterval:
				sequence++
				o.post(&wire.Ping{Sequence: sequence})
			case !waiting && idle >= o.cfg.IdleTimeout:
				return errIdle
			}
		}
	}
}

// activity returns how long the peer has been silent while something waited for it, whether something waits for it now, and
// how long the link has not been used. A control message counts as waiting until a frame of the peer arrives: otherwise a dead
// connection that was not closed would stay in use, and this and all further control messages would be lost.
func (o *outbound) activity(now time.Time) (silent time.Duration, waiting bool, idle time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lastFrameTime := o.reader.lastFrameTime()
	if lastFrameTime.After(o.controlSince) {
		o.controlSince = time.Time{}
	}
	since := lastFrameTime
	for _, start := range []time.Time{o.waitingSince, o.controlSince} {
		if start.After(since) {
			since = start
		}
	}
	return now.Sub(since), len(o.calls) > 0 || !o.controlSince.IsZero(), now.Sub(o.lastUse)
}
