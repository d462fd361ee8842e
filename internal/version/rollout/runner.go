package rollout

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

// Transport sends a payload to the node at peer. It may lose, delay and reorder payloads.
type Transport interface {
	Send(ctx context.Context, peer string, payload []byte) error
}

// Members is the view of the membership.
type Members interface {
	// Members returns the present view and its number. While the number is last, the view holds and may be left out.
	Members(last uint64) (view []MemberInfo, number uint64)
}

// MemberInfo is one member in real time.
type MemberInfo struct {
	Address   string
	Zone      string
	LastHeard time.Time
	// Alive members are not suspected. They count as heard for as long as the view holds.
	Alive bool
	Left  bool // left gracefully, or its address was replaced
}

// Options are the dependencies and settings of a Runner.
type Options struct {
	Address   string
	Zone      string
	Join      []string
	Bound     time.Duration // default DefaultBound
	Transport Transport
	Table     platform.Table
	Objects   platform.Objects
	Members   Members
	Check     func(body []byte) error           // must depend on the body alone
	Apply     func(version uint64, body []byte) // called in order of ascending versions, from one goroutine
	Settled   func(r Result)                    // optional: every definite result that this node learns as coordinator
	// Record returns rows to write together with a definite result, in the same transaction; optional. It is called with the
	// runner's lock held and must not call the runner.
	Record func(r Result) []platform.Write
	Logger *slog.Logger // default slog.Default()
}

// Errors of commands.
var (
	// ErrNotSettled reports that a command ended before its change was settled. Resume the submit or ask for the status.
	ErrNotSettled = errors.New("change not settled")
	// ErrChange reports a change that cannot be submitted.
	ErrChange = errors.New("invalid change")
)

const (
	tickEvery   = 100 * time.Millisecond
	viewEvery   = 500 * time.Millisecond
	sendTimeout = time.Second
	sendQueue   = 256 // payloads; more are dropped, and the machine sends again
	senders     = 16
	// clockJump is the advance of the wall clock over the monotonic clock that shows that the VM was suspended.
	clockJump = time.Second
)

// Runner drives a Machine in real time. Its methods are safe for concurrent use.
type Runner struct {
	o       Options
	epoch   uint64
	base    time.Time
	mu      sync.Mutex // guards m, waiters, view and skipped
	m       *Machine
	skipped Time // time that the monotonic clock missed while the VM was suspended
	lastTS  time.Time
	waiters map[string][]chan Result
	view    uint64 // number of the view that m has; 0 before the first

	deadline  atomic.Int64 // Time until which the version is confirmed
	version   atomic.Uint64
	confirmed bool
	sends     chan Envelope
	apply     chan Event
	calls     sync.WaitGroup
	ctx       context.Context // of Run
	early     []Call          // made before Run
}

// NewRunner returns a Runner that does nothing until Run is called.
func NewRunner(o Options) *Runner {
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	r := &Runner{
		o: o, epoch: rand.Uint64() | 1, base: time.Now(), waiters: map[string][]chan Result{},
		sends: make(chan Envelope, sendQueue), apply: make(chan Event, maxRunBodies),
	}
	r.m = New(Config{
		Address: o.Address, Zone: o.Zone, Epoch: r.epoch, Bound: o.Bound, Check: o.Check, Seed: rand.Uint64(), Join: o.Join,
		Record: o.Record,
	}, r.now())
	return r
}

func (r *Runner) now() Time { return time.Since(r.base) + time.Second }

// Run drives the machine until the context ends, and returns after every goroutine that it started has ended.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	r.mu.Lock()
	r.ctx = ctx
	for _, c := range r.early {
		r.start(c)
	}
	r.early = nil
	r.mu.Unlock()
	for range senders {
		wg.Go(func() { r.sendLoop(ctx) })
	}
	wg.Go(func() { r.applyLoop(ctx) })
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	var viewed time.Time
	for ctx.Err() == nil {
		r.step(func(now Time) {
			if time.Since(viewed) >= viewEvery {
				viewed = time.Now()
				r.look(now)
			}
			r.m.Tick(now)
		})
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	r.calls.Wait()
	wg.Wait()
}

// look gives the machine the present view of the members. It is called by Run only, with the lock held.
func (r *Runner) look(now Time) {
	if r.o.Members == nil {
		return
	}
	infos, number := r.o.Members.Members(r.view)
	if number == r.view {
		r.m.Refresh(now)
		return
	}
	r.view = number
	out := make([]Member, len(infos))
	for i, v := range infos {
		out[i] = Member{Address: v.Address, Zone: v.Zone, LastHeard: now - time.Since(v.LastHeard), Alive: v.Alive, Left: v.Left}
	}
	r.m.SetMembers(now, out)
}

// step runs f on the machine and carries out what it produced.
func (r *Runner) step(f func(now Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.clock())
	out := r.m.Output()
	for _, s := range out.Sends {
		select {
		case r.sends <- s:
		default: // the machine sends again
		}
	}
	for _, c := range out.Calls {
		r.start(c)
	}
	for _, e := range out.Events {
		r.handle(e)
	}
	r.publish()
}

// clock returns the time of the machine. The monotonic clock stands still while a VM is suspended, the wall clock does
// not: a jump of the wall clock counts as time that passed, so that old evidence does not look fresh.
func (r *Runner) clock() Time {
	now := time.Now()
	if !r.lastTS.IsZero() {
		mono := now.Sub(r.lastTS)
		wall := now.Round(0).Sub(r.lastTS.Round(0))
		if wall-mono > clockJump {
			r.skipped += wall - mono
		}
	}
	r.lastTS = now
	return r.now() + r.skipped
}

// publish makes version and confirmation readable without the lock.
func (r *Runner) publish() {
	now := r.now() + r.skipped
	// Until a new version is applied, the deadline of the old one stands: it came from evidence for the old one.
	if r.version.Load() == r.m.Version() {
		if at, ok := r.m.evidence(now); ok {
			r.deadline.Store(int64(at + r.m.cfg.Bound - r.skipped))
		}
	}
	confirmed := int64(now-r.skipped) <= r.deadline.Load()
	if confirmed == r.confirmed {
		return
	}
	r.confirmed = confirmed
	e := event.ConfigUnconfirmed
	if confirmed {
		e = event.ConfigConfirmed
	}
	event.Log(r.o.Logger, e, slog.Uint64("version", r.m.Version()))
}

// Version returns the version that this node runs; 0 before the first.
func (r *Runner) Version() uint64 { return r.version.Load() }

// Confirmed reports whether this node may take new work at the given time. It takes no lock.
func (r *Runner) Confirmed(now time.Time) bool {
	return int64(now.Sub(r.base)+time.Second) <= r.deadline.Load()
}

// Receive takes a payload from a peer.
func (r *Runner) Receive(peer string, payload []byte) error {
	var err error
	r.step(func(now Time) { err = r.m.Receive(now, peer, payload) })
	if err != nil {
		return fmt.Errorf("from %s: %w", peer, err)
	}
	return nil
}

func (r *Runner) sendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-r.sends:
			c, cancel := context.WithTimeout(ctx, sendTimeout)
			// A lost payload is sent again by the machine, so the error only matters to the transport.
			_ = r.o.Transport.Send(c, s.To, s.Payload)
			cancel()
		}
	}
}

func (r *Runner) applyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-r.apply:
			if r.o.Apply != nil {
				r.o.Apply(e.Version, e.Body)
			}
			r.version.Store(e.Version)
			r.step(func(Time) {}) // publishes the confirmation
			event.Log(r.o.Logger, event.ConfigApplied, slog.Uint64("version", e.Version), slog.String("change", e.Head.ID))
		}
	}
}

// start makes a platform call. It is called with the lock held.
func (r *Runner) start(c Call) {
	if r.ctx == nil {
		r.early = append(r.early, c)
		return
	}
	if r.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	r.calls.Go(func() {
		defer cancel()
		reply := r.perform(ctx, c)
		r.step(func(now Time) { r.m.Complete(now, c.Token, reply) })
	})
}

func (r *Runner) perform(ctx context.Context, c Call) (reply Reply) {
	switch c.Op {
	case OpGet:
		reply.Row, reply.Err = r.o.Table.Get(ctx, c.Key)
	case OpCommit:
		reply.Versions, reply.Err = r.o.Table.Commit(ctx, c.Writes)
	case OpPutObject:
		_, reply.Err = r.o.Objects.Put(ctx, c.Body)
	case OpGetObject:
		reply.Body, reply.Err = r.o.Objects.Get(ctx, c.Key)
	}
	return reply
}

// handle acts on an event. It is called with the lock held.
func (r *Runner) handle(e Event) {
	change := slog.String("change", e.Head.ID)
	switch e.Kind {
	case EventApply:
		for {
			select {
			case r.apply <- e:
				return
			default:
			}
			select {
			case <-r.apply: // an older version that was not applied yet
			default:
			}
		}
	case EventSettled:
		r.settled(e.Result)
	case EventForwarded:
		event.Log(r.o.Logger, event.ConfigRolledForward, slog.Uint64("version", e.Version), change)
	case EventSuperseded:
		event.Log(r.o.Logger, event.ChangeSuperseded, change)
	case EventTakenOver:
		event.Log(r.o.Logger, event.ChangeTakenOver, change)
	case EventUnusable:
		event.Log(r.o.Logger, event.ConfigUnusable, slog.Uint64("version", e.Version), change, slog.Any("error", e.Err))
	case EventConflict:
		event.Log(r.o.Logger, event.ConfigConflict, slog.Uint64("version", e.Version), change)
	}
}

func (r *Runner) settled(res Result) {
	for _, w := range r.waiters[res.ID] {
		w <- res // buffered
	}
	delete(r.waiters, res.ID)
	if !res.Definite() {
		return
	}
	e := event.ChangeRefused
	if res.State == StateAccepted {
		e = event.ChangeAccepted
	}
	event.Log(r.o.Logger, e, slog.String("change", res.ID), slog.String("author", res.Author),
		slog.Uint64("version", res.Version), slog.String("reason", string(res.Reason)))
	if r.o.Settled != nil {
		r.calls.Go(func() { r.o.Settled(res) })
	}
}

// Submit proposes a change, or resumes it if its ID is known, and waits for its definite result. If the context ends
// first, it returns what is known with ErrNotSettled; the node goes on with a change that was proposed.
func (r *Runner) Submit(ctx context.Context, c Change) (Result, error) {
	if c.ID == "" || c.Author == "" {
		return Result{}, fmt.Errorf("%w: ID and author are required", ErrChange)
	}
	if _, err := DecodeBundle(c.Body); err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrChange, err)
	}
	if r.o.Check != nil {
		if err := r.o.Check(c.Body); err != nil {
			return Result{}, fmt.Errorf("%w: %w", ErrChange, err)
		}
	}
	return r.wait(ctx, c.ID, func(now Time) { r.m.Submit(now, c) })
}

// Status settles a change that was submitted before: it waits for the coordinator, takes over from one that is gone, and
// refuses a change that was never proposed.
func (r *Runner) Status(ctx context.Context, id string) (Result, error) {
	if id == "" {
		return Result{}, fmt.Errorf("%w: ID is required", ErrChange)
	}
	return r.wait(ctx, id, func(now Time) { r.m.Status(now, id) })
}

func (r *Runner) wait(ctx context.Context, id string, begin func(now Time)) (Result, error) {
	w := make(chan Result, 1)
	r.mu.Lock()
	r.waiters[id] = append(r.waiters[id], w)
	r.mu.Unlock()
	r.step(begin)
	var res Result
	select {
	case res = <-w:
	case <-ctx.Done():
		r.mu.Lock()
		res = r.m.Progress(id)
		r.waiters[id] = slices.DeleteFunc(r.waiters[id], func(x chan Result) bool { return x == w })
		if len(r.waiters[id]) == 0 {
			delete(r.waiters, id)
		}
		r.mu.Unlock()
	}
	if !res.Definite() {
		return res, fmt.Errorf("change %s: %w", id, ErrNotSettled)
	}
	return res, nil
}
