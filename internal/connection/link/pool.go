package link

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Pool manages the links of a node: those that it dialed, one per peer, and those that peers dialed.
type Pool struct {
	cfg     Config
	dial    Dialer
	handler Handler
	log     *slog.Logger
	ctx     context.Context
	stop    context.CancelCauseFunc
	// requestsCtx is the context of the requests that go on without their link. It ends before ctx if they are given up.
	requestsCtx context.Context
	giveUp      context.CancelCauseFunc

	generation atomic.Uint64
	peers      sync.Map   // peer address to *peerEntry
	surplusMu  sync.Mutex // serializes closeSurplus

	sessions *sessions

	mu       sync.Mutex
	accepted map[*inbound]struct{}
	leaving  bool
	closed   bool
	running  sync.WaitGroup // of dials and accepted links; grows only under mu while closed is not set
}

// peerEntry holds the link to one peer.
type peerEntry struct {
	link atomic.Pointer[outbound]

	mu       sync.Mutex
	dialing  chan struct{} // closed when the current dial ends; nil if there is none
	failedAt time.Time
	failure  error // of the last dial, unless the peer has opened a link since that dial began
	// accepted is set when the peer opens a link during the current dial. The peer can be reached then, even if that dial fails.
	accepted bool
}

// noteAccepted ends the backoff after a failed dial: the peer has opened a link to this node, so it runs.
func (s *peerEntry) noteAccepted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted, s.failure = true, nil
}

// NewPool returns a pool. Close releases its resources.
func NewPool(cfg Config, dial Dialer, handler Handler, log *slog.Logger) *Pool {
	ctx, stop := context.WithCancelCause(context.Background())
	requestsCtx, giveUp := context.WithCancelCause(ctx)
	return &Pool{
		cfg:         cfg.withDefaults(),
		dial:        dial,
		handler:     handler,
		log:         log,
		ctx:         ctx,
		stop:        stop,
		requestsCtx: requestsCtx,
		giveUp:      giveUp,
		accepted:    map[*inbound]struct{}{},
		sessions:    newSessions(),
	}
}

// Send sends the request to the node at the address and returns its response. The outcome is NotRun only if the request
// cannot have reached the node's target and cannot reach it later.
func (p *Pool) Send(ctx context.Context, address string, req *message.Request) *message.Response {
	// A link can close between its lookup and its use, which is noticed before anything is written.
	const attempts = 3
	for range attempts {
		l, err := p.link(ctx, address)
		if err != nil {
			return message.Refuse(message.ReasonConnection, message.Errorf(message.StepDial, address, "%v", err))
		}
		if r, lost, sent := l.send(ctx, req); lost != nil {
			return p.recoverResponse(ctx, address, req, lost)
		} else if sent {
			return r
		}
	}
	return message.Refuse(message.ReasonConnection,
		message.Errorf(message.StepDial, address, "links to the node close before the request can be queued"))
}

// recoverResponse returns the response to a request whose link was lost after it may have been written. The outcome of an
// idempotent request is unknown at once, and its sender may retry elsewhere. For any other the peer is asked over new links
// until ctx ends: it goes on with the request, or knows that the request never arrived.
func (p *Pool) recoverResponse(ctx context.Context, address string, req *message.Request, lost *lostCall) *message.Response {
	if req.Idempotent {
		return lost.unknownOutcome(address)
	}
	for {
		if l, err := p.link(ctx, address); err == nil {
			if l.peer.Incarnation != lost.incarnation {
				return lost.unknownOutcome(address) // the process that may have run it is gone
			}
			if r, lostAgain, sent := l.attach(ctx, req, lost); sent && lostAgain == nil {
				// The attribute "id" is the ID of the caller's attempt, empty unless the transparent proxy forwards the request.
				event.Log(p.log, event.RequestOutlivedLink, slog.String("peer", address), slog.String("id", req.Attempt),
					slog.String("outcome", r.Outcome.String()))
				return r
			}
		}
		select {
		case <-ctx.Done():
			return contextOutcome(ctx, address)
		case <-p.ctx.Done():
			return lost.unknownOutcome(address)
		case <-time.After(p.cfg.DialBackoff):
		}
	}
}

// SendControl sends a one-way message to a module of the node at the address. A nil error means only that it was queued.
func (p *Pool) SendControl(ctx context.Context, address string, channel wire.Channel, payload []byte) error {
	b, err := wire.Encode(&wire.Control{Channel: channel, Payload: payload})
	if err != nil {
		return fmt.Errorf("send control to %s: %w", address, err)
	}
	l, err := p.link(ctx, address)
	if err != nil {
		return fmt.Errorf("send control to %s: %w", address, err)
	}
	l.noteControl()
	if !l.writer.enqueue(&outgoing{frame: b}) {
		return fmt.Errorf("send control to %s: %w", address, errClosed)
	}
	return nil
}

// noteControl records that a control message is sent: the link is in use, and a frame of the peer is expected after it.
func (o *outbound) noteControl() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.lastUse = now
	if o.controlSince.IsZero() {
		o.controlSince = now
	}
}

// link returns a usable link to the peer and dials one if there is none. Concurrent callers wait for the same dial.
func (p *Pool) link(ctx context.Context, address string) (*outbound, error) {
	v, ok := p.peers.Load(address)
	if !ok {
		v, _ = p.peers.LoadOrStore(address, new(peerEntry))
	}
	s := v.(*peerEntry)
	for {
		if l := s.link.Load(); l != nil && l.usable() {
			return l, nil
		}
		dialing, err := p.startDial(s, address)
		switch {
		case err != nil:
			return nil, err
		case dialing == nil:
			continue
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// startDial starts a dial unless one is in progress, and returns the channel that is closed at its end, or nil if the last one has
// just ended with a usable link. Within Config.DialBackoff after a failed dial it returns the error of that dial, unless the peer has
// opened a link since.
func (p *Pool) startDial(s *peerEntry, address string) (<-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dialing != nil {
		return s.dialing, nil
	}
	if l := s.link.Load(); l != nil && l.usable() {
		return nil, nil
	}
	if s.failure != nil && time.Since(s.failedAt) < p.cfg.DialBackoff {
		return nil, s.failure
	}
	if !p.begin() {
		return nil, errClosed
	}
	done := make(chan struct{})
	s.dialing, s.accepted = done, false
	go func() {
		defer p.running.Done()
		defer p.closeSurplus()
		defer close(done) // runs before closeSurplus, so that the callers do not wait for that
		l, err := p.open(address)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dialing, s.failure, s.failedAt = nil, err, time.Now()
		if s.accepted {
			s.failure = nil
		}
		if err == nil {
			s.link.Store(l)
		}
	}()
	return done, nil
}

// begin adds one to the running dials and links, unless the pool is closed.
func (p *Pool) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.running.Add(1)
	return true
}

// open dials a link. It does not use the context of the request that needs it, because other requests wait for the link too.
func (p *Pool) open(address string) (*outbound, error) {
	ctx, cancel := context.WithTimeout(p.ctx, p.cfg.DialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	generation := p.generation.Add(1)
	peer, err := dialHandshake(ctx, conn, p.cfg, generation)
	if err == nil && peer.Address != address {
		err = fmt.Errorf("%w: node at %s reports the address %s", errProtocol, address, peer.Address)
	}
	if err != nil {
		conn.Close()
		event.Log(p.log, event.LinkRefused, slog.String("peer", address), slog.String("error", err.Error()))
		return nil, err
	}
	event.Log(p.log, event.LinkOpened, slog.String("peer", address), slog.Uint64("generation", generation))
	return newOutbound(p.ctx, conn, p.cfg, peer, generation, p.log), nil
}

// minIdle is the time that a link must have been unused before closeSurplus may close it. It leaves time to write control
// messages, cancels and pings that are still queued.
const minIdle = time.Second

var errSurplus = errors.New("least recently used link above the maximum")

// closeSurplus closes the least recently used links above Config.MaxLinks. Links in use stay open, even above the maximum.
func (p *Pool) closeSurplus() {
	p.surplusMu.Lock()
	defer p.surplusMu.Unlock()
	type candidate struct {
		link *outbound
		used time.Time
	}
	now := time.Now()
	open := 0
	var idle []candidate
	p.peers.Range(func(_, v any) bool {
		l := v.(*peerEntry).link.Load()
		if l == nil || !l.usable() {
			return true
		}
		open++
		if used, ok := l.idleSince(); ok && now.Sub(used) >= minIdle {
			idle = append(idle, candidate{l, used})
		}
		return true
	})
	surplus := min(open-p.cfg.MaxLinks, len(idle))
	if surplus <= 0 {
		return
	}
	slices.SortFunc(idle, func(a, b candidate) int { return a.used.Compare(b.used) })
	for _, c := range idle[:surplus] {
		c.link.closeIfUnusedSince(c.used)
	}
}

// idleSince returns the time of the link's last use and whether no request waits on it.
func (o *outbound) idleSince() (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastUse, len(o.calls) == 0
}

// closeIfUnusedSince closes the link unless it was used after the given time. It checks that and marks the link as closed under
// the mutex, so that no request is cut off: a later one is sent on a new link. The peer sends no requests on this link, so
// it needs no go-away frame.
func (o *outbound) closeIfUnusedSince(used time.Time) {
	o.mu.Lock()
	surplus := !o.closed && len(o.calls) == 0 && !o.lastUse.After(used)
	o.closed = o.closed || surplus
	o.mu.Unlock()
	if surplus {
		o.stop(errSurplus)
	}
}

// Accept serves a connection that a peer dialed, until the connection ends.
func (p *Pool) Accept(ctx context.Context, conn Conn) error {
	in, err := p.acceptHandshake(ctx, conn)
	if err != nil {
		conn.Close()
		event.Log(p.log, event.LinkRefused, slog.String("error", err.Error()))
		return fmt.Errorf("accept link: %w", err)
	}
	peer := in.peer
	if !p.register(in) {
		conn.Close()
		close(in.done)
		return errClosed
	}
	defer p.unregister(in)
	if v, ok := p.peers.Load(peer.Address); ok {
		v.(*peerEntry).noteAccepted()
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(p.ctx, func() { cancel(context.Cause(p.ctx)) })()
	err = in.serve(ctx)
	if errors.Is(err, errSilent) {
		event.Log(p.log, event.LinkSilent, slog.String("peer", peer.Address), slog.String("cause", err.Error()))
	}
	return err
}

// acceptHandshake exchanges the hello frames on a connection that a peer dialed. If it succeeds, the earlier link of the same
// process has ended.
func (p *Pool) acceptHandshake(ctx context.Context, conn Conn) (*inbound, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	hello, err := readHello(ctx, conn)
	if err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	peer := peerOf(hello)
	in := &inbound{
		cfg:        p.cfg,
		peer:       peer,
		generation: hello.Generation,
		conn:       conn,
		reader:     newReader(conn, peer, p.log),
		writer:     newWriter(conn),
		handler:    p.handler,
		sessions:   p.sessions,
		poolCtx:    p.requestsCtx,
		done:       make(chan struct{}),
		streams:    map[uint64]*stream{},
	}
	before, ok := p.sessions.begin(in)
	if !ok {
		return nil, fmt.Errorf("%w: link generation %d of %s is not above that of its last link", errProtocol, hello.Generation, hello.Address)
	}
	if before != nil {
		before.conn.Close()
		select {
		case <-before.done:
		case <-ctx.Done():
			close(in.done)
			return nil, fmt.Errorf("wait for the end of the earlier link of %s: %w", hello.Address, ctx.Err())
		}
	}
	if err := writeHello(ctx, conn, p.cfg.Self, hello.Generation); err != nil {
		close(in.done)
		return nil, fmt.Errorf("write hello to %s: %w", hello.Address, err)
	}
	return in, nil
}

func (p *Pool) register(in *inbound) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.accepted[in] = struct{}{}
	p.running.Add(1)
	if p.leaving {
		in.goAway()
	}
	return true
}

func (p *Pool) unregister(in *inbound) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.accepted, in)
	p.running.Done()
}

// GoAway tells every peer to send no more requests on its link. Requests that were accepted before go on.
func (p *Pool) GoAway() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
	for in := range p.accepted {
		in.goAway()
	}
}

// GiveUp cancels the requests of peers that are not idempotent, with the cause. Their peers are told that the outcome is unknown;
// they would ask a process that has ended until the deadline. Idempotent ones end with their link, and their peers try another node.
func (p *Pool) GiveUp(cause error) { p.giveUp(cause) }

// drainPoll is the interval at which Drain checks for active requests.
const drainPoll = 10 * time.Millisecond

// Drain tells every peer to send no more requests and waits until all responses have been written, or ctx ends. It
// returns the number of requests that are still active.
func (p *Pool) Drain(ctx context.Context) int {
	p.GoAway()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		active := p.Active()
		if active == 0 {
			return 0
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return active
		}
	}
}

// Active returns the number of requests of peers whose response has not been written, or that run without a link.
func (p *Pool) Active() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for in := range p.accepted {
		n += in.active()
	}
	return n + p.sessions.active()
}

// Links returns the number of open links that this node dialed and of those that peers dialed.
func (p *Pool) Links() (dialed, accepted int) {
	p.peers.Range(func(_, v any) bool {
		if l := v.(*peerEntry).link.Load(); l != nil && l.usable() {
			dialed++
		}
		return true
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	return dialed, len(p.accepted)
}

// Close closes all links at once and waits for their goroutines. Requests that wait for a response get one that says whether
// they can have run.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.stop(errClosed)
	p.running.Wait()
	p.peers.Range(func(_, v any) bool {
		if l := v.(*peerEntry).link.Load(); l != nil {
			<-l.done
		}
		return true
	})
}
