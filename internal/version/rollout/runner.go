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

// Members gives access to the membership.
type Members interface {
	// Members returns the current view and its number, which changes with the view. The caller passes the number of the view
	// that it has as last. If that is the current one, the view may be nil.
	Members(last uint64) (view []MemberInfo, number uint64)
}

// MemberInfo is one member as the membership reports it.
type MemberInfo struct {
	Address   string
	Zone      string
	LastHeard time.Time
	// Alive members are not suspected. They count as heard at each call of Members that returns this view or its number.
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
	Apply     func(version uint64, body []byte) // called from one goroutine, with ascending versions
	// Settled is called with every definite result of a change that this node coordinated or followed, in a goroutine of
	// its own. It is optional.
	Settled func(r Result)
	// Record returns the rows to write in the same transaction as a definite result. It is optional. It is called with the
	// runner's lock held, and must not call the runner.
	Record func(r Result) []platform.Write
	Logger *slog.Logger // default slog.Default()
}

// Errors of commands.
var (
	// ErrNotSettled reports that a command ended before its change was settled. The caller may submit the change again,
	// with the same ID, or ask for its status.
	ErrNotSettled = errors.New("change not settled")
	// ErrChange reports a change that cannot be submitted.
	ErrChange = errors.New("invalid change")
)

const (
	tickInterval = 100 * time.Millisecond
	viewInterval = 500 * time.Millisecond
	sendTimeout  = time.Second
	sendQueue    = 256 // payloads; more are dropped, and the machine resends what is still needed
	senderCount  = 16
	// minClockJump is the least advance of the wall clock over the monotonic clock that counts as a suspension of the VM.
	minClockJump = time.Second
)

// Runner drives a Machine in real time. Its methods are safe for concurrent use.
type Runner struct {
	options    Options
	epoch      uint64
	startedAt  time.Time  // the machine's clock was at 1 s at this time, not at 0, which stands for no time in messages
	mu         sync.Mutex // guards machine, suspended, lastClock, waiters, viewNumber, confirmed, returning, ctx and queuedCalls
	machine    *Machine
	suspended  Time      // time that the monotonic clock missed while the VM was suspended
	lastClock  time.Time // reading of the last call of clock
	waiters    map[string][]chan Result
	viewNumber uint64 // number of the view that the machine has; 0 before the first
	storeEpoch platform.NewestEpoch

	deadline    atomic.Int64 // the version is confirmed until now(), which does not count suspended, returns this Time
	version     atomic.Uint64
	confirmed   bool // as last published
	sends       chan Envelope
	apply       chan Event
	returning   bool            // Run starts nothing more
	calls       sync.WaitGroup  // grows only under mu while returning is not set
	ctx         context.Context // of Run
	queuedCalls []Call          // made before Run
}

// NewRunner returns a Runner that does nothing until Run is called.
func NewRunner(options Options) *Runner {
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	r := &Runner{
		options: options, epoch: rand.Uint64() | 1, startedAt: time.Now(), waiters: map[string][]chan Result{},
		sends: make(chan Envelope, sendQueue), apply: make(chan Event, maxBodies),
	}
	r.machine = New(Config{
		Address: options.Address, Zone: options.Zone, Epoch: r.epoch, Bound: options.Bound, Check: options.Check,
		Seed: rand.Uint64(), Join: options.Join, Record: options.Record,
	}, r.now())
	return r
}

func (r *Runner) now() Time { return time.Since(r.startedAt) + time.Second }

// Run drives the machine until the context ends. It returns when all goroutines that it started have ended.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	r.mu.Lock()
	r.ctx = ctx
	for _, c := range r.queuedCalls {
		r.startCall(c)
	}
	r.queuedCalls = nil
	r.mu.Unlock()
	for range senderCount {
		wg.Go(func() { r.sendLoop(ctx) })
	}
	wg.Go(func() { r.applyLoop(ctx) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var viewed time.Time
	for ctx.Err() == nil {
		r.step(func(now Time) {
			if time.Since(viewed) >= viewInterval {
				viewed = time.Now()
				r.updateMembers(now)
			}
			r.machine.Tick(now)
		})
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	r.mu.Lock()
	r.returning = true
	r.mu.Unlock()
	r.calls.Wait()
	wg.Wait()
}

// updateMembers passes the current view of the members to the machine. Only Run calls it, with the lock held.
func (r *Runner) updateMembers(now Time) {
	if r.options.Members == nil {
		return
	}
	infos, number := r.options.Members.Members(r.viewNumber)
	if number == r.viewNumber {
		r.machine.Refresh(now)
		return
	}
	r.viewNumber = number
	out := make([]Member, len(infos))
	for i, v := range infos {
		out[i] = Member{Address: v.Address, Zone: v.Zone, LastHeard: now - time.Since(v.LastHeard), Alive: v.Alive, Left: v.Left}
	}
	r.machine.SetMembers(now, out)
}

// step calls f, and then carries out what the machine put out.
func (r *Runner) step(f func(now Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.clock())
	r.observeEpoch()
	out := r.machine.Output()
	for _, s := range out.Sends {
		select {
		case r.sends <- s:
		default: // the machine resends what is still needed
		}
	}
	for _, c := range out.Calls {
		r.startCall(c)
	}
	for _, e := range out.Events {
		r.handleEvent(e)
	}
	r.publish()
}

// observeEpoch tells the table what other nodes know of restores of the platform, and logs those that are new. The caller holds the
// lock.
func (r *Runner) observeEpoch() {
	if r.options.Table == nil {
		return
	}
	if restores := r.machine.StoreEpoch(); restores > 0 {
		r.options.Table.Observe(platform.Epoch(restores + 1)) // epochs count from one
	}
	epoch := r.options.Table.Epoch()
	if before, restored := r.storeEpoch.Observe(epoch); restored {
		event.Log(r.options.Logger, event.StoreRestored, slog.Uint64("before", uint64(before)), slog.Uint64("epoch", uint64(epoch)))
	}
}

// clock returns the time of the machine. The monotonic clock stops while a VM is suspended, but the wall clock does not. So a
// jump of the wall clock counts as time that passed, and old evidence does not look fresh.
func (r *Runner) clock() Time {
	now := time.Now()
	if !r.lastClock.IsZero() {
		mono := now.Sub(r.lastClock)
		wall := now.Round(0).Sub(r.lastClock.Round(0))
		if wall-mono > minClockJump {
			r.suspended += wall - mono
		}
	}
	r.lastClock = now
	return r.now() + r.suspended
}

// publish stores the deadline of the confirmation, which is read without the lock, and logs when the confirmation changes.
func (r *Runner) publish() {
	now := r.now() + r.suspended
	// Until a new version is applied, the deadline stays that of the old version, to which its evidence belongs.
	if r.version.Load() == r.machine.Version() {
		if at, ok := r.machine.evidence(now); ok {
			r.deadline.Store(int64(at + r.machine.cfg.Bound - r.suspended))
		}
	}
	confirmed := int64(now-r.suspended) <= r.deadline.Load()
	if confirmed == r.confirmed {
		return
	}
	r.confirmed = confirmed
	e := event.ConfigUnconfirmed
	if confirmed {
		e = event.ConfigConfirmed
	}
	event.Log(r.options.Logger, e, slog.Uint64("version", r.machine.Version()))
}

// Version returns the version that was applied last; 0 before the first.
func (r *Runner) Version() uint64 { return r.version.Load() }

// Confirmed reports whether this node may take new work at the given time. It takes no lock.
func (r *Runner) Confirmed(now time.Time) bool {
	return int64(now.Sub(r.startedAt)+time.Second) <= r.deadline.Load()
}

// Receive handles a payload from a peer. It fails with ErrMessage if the payload is malformed.
func (r *Runner) Receive(peer string, payload []byte) error {
	var err error
	r.step(func(now Time) { err = r.machine.Receive(now, peer, payload) })
	if err != nil {
		return fmt.Errorf("message from %s: %w", peer, err)
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
			// The machine resends what is still needed, so the error matters only to the transport.
			_ = r.options.Transport.Send(c, s.To, s.Payload)
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
			if r.options.Apply != nil {
				r.options.Apply(e.Version, e.Body)
			}
			r.version.Store(e.Version)
			r.step(func(Time) {}) // publishes the confirmation of this version
			event.Log(r.options.Logger, event.ConfigApplied, slog.Uint64("version", e.Version), slog.String("change", e.Head.ID))
		}
	}
}

// startCall starts a platform call, or queues it until Run is called. The caller holds the lock.
func (r *Runner) startCall(c Call) {
	if r.ctx == nil {
		r.queuedCalls = append(r.queuedCalls, c)
		return
	}
	if r.returning {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	r.calls.Go(func() {
		defer cancel()
		reply := r.perform(ctx, c)
		r.step(func(now Time) { r.machine.Complete(now, c.Token, reply) })
	})
}

func (r *Runner) perform(ctx context.Context, c Call) (reply Reply) {
	switch c.Op {
	case OpGet:
		reply.Row, reply.Err = r.options.Table.Get(ctx, c.Key)
	case OpCommit:
		reply.Versions, reply.Err = r.options.Table.Commit(ctx, c.Writes)
	case OpPutObject:
		_, reply.Err = r.options.Objects.Put(ctx, c.Body)
	case OpGetObject:
		reply.Body, reply.Err = r.options.Objects.Get(ctx, c.Key)
	}
	reply.StoreEpoch = storeEpoch(r.options.Table.Epoch())
	return reply
}

// handleEvent handles an event of the machine. The caller holds the lock.
func (r *Runner) handleEvent(e Event) {
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
			case <-r.apply: // drops an older version that was not applied yet
			default:
			}
		}
	case EventSettled:
		r.notifySettled(e.Result)
	case EventRolledForward:
		event.Log(r.options.Logger, event.ConfigRolledForward, slog.Uint64("version", e.Version), change)
	case EventSuperseded:
		event.Log(r.options.Logger, event.ChangeSuperseded, change)
	case EventTakenOver:
		event.Log(r.options.Logger, event.ChangeTakenOver, change)
	case EventUnusable:
		event.Log(r.options.Logger, event.ConfigUnusable, slog.Uint64("version", e.Version), change, slog.Any("error", e.Err))
	case EventHeadRestored:
		event.Log(r.options.Logger, event.ConfigHeadRestored, slog.Uint64("version", e.Version), change)
	case EventConflict:
		event.Log(r.options.Logger, event.ConfigConflict, slog.Uint64("version", e.Version), change)
	}
}

func (r *Runner) notifySettled(res Result) {
	for _, w := range r.waiters[res.ID] {
		w <- res // does not block: the channel has room for the one result
	}
	delete(r.waiters, res.ID)
	if !res.Definite() {
		return
	}
	e := event.ChangeRefused
	if res.State == StateAccepted {
		e = event.ChangeAccepted
	}
	event.Log(r.options.Logger, e, slog.String("change", res.ID), slog.String("author", res.Author),
		slog.Uint64("version", res.Version), slog.String("reason", string(res.Reason)))
	if r.options.Settled != nil && !r.returning {
		r.calls.Go(func() { r.options.Settled(res) })
	}
}

// Submit proposes a change, or resumes it if its ID is known, and waits for its definite result. If the context ends
// first, it returns what is known and ErrNotSettled. The node continues with a change that was proposed.
func (r *Runner) Submit(ctx context.Context, c Change) (Result, error) {
	if c.ID == "" || c.Author == "" {
		return Result{}, fmt.Errorf("%w: ID and author are required", ErrChange)
	}
	if _, err := DecodeBundle(c.Body); err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrChange, err)
	}
	if r.options.Check != nil {
		if err := r.options.Check(c.Body); err != nil {
			return Result{}, fmt.Errorf("%w: %w", ErrChange, err)
		}
	}
	return r.wait(ctx, c.ID, func(now Time) { r.machine.Submit(now, c) })
}

// Status waits until a change that was submitted before is settled. It takes over the change if its coordinator does not
// settle it, and refuses a change that was never proposed.
func (r *Runner) Status(ctx context.Context, id string) (Result, error) {
	if id == "" {
		return Result{}, fmt.Errorf("%w: ID is required", ErrChange)
	}
	return r.wait(ctx, id, func(now Time) { r.machine.Status(now, id) })
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
		res = r.machine.Progress(id)
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
