package membership

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

// Transport sends messages to other nodes. Send may dial; it returns when the message was handed to the connection or
// ctx has ended. Messages may be lost. Send must be safe for concurrent use.
type Transport interface {
	Send(ctx context.Context, peer string, payload []byte) error
}

// Options of a runner. Self, Transport and Seed are required.
type Options struct {
	Config        Config
	Self          Member   // addresses, instance, availability zone and region
	Seed          uint64   // of the random number generators
	Seeds         []string // addresses of nodes through which the node can join
	Transport     Transport
	Announcements *Announcements // of the local target; nil if there is none
	Table         platform.Table // if nil, the node joins through Seeds only
	Logger        *slog.Logger   // default slog.Default()

	// TickInterval is the time between two ticks of the machine. Default 50 ms.
	TickInterval time.Duration
	// SendTimeout bounds one call of Transport.Send. Default 2 s.
	SendTimeout time.Duration
	// RegisterInterval is the mean time between two registrations in the table; each is up to 20 % earlier or later.
	// Default 5 min, which makes about 8 writes a second with 2,300 members.
	RegisterInterval time.Duration
	// LookupInterval is the mean time between two lookups of registrations while no peer is reachable. Default 15 s.
	LookupInterval time.Duration
	// TableTimeout bounds one call of the table. Default 5 s.
	TableTimeout time.Duration
}

func (o Options) withDefaults() Options {
	orDefault(&o.TickInterval, 50*time.Millisecond)
	orDefault(&o.SendTimeout, 2*time.Second)
	orDefault(&o.RegisterInterval, 5*time.Minute)
	orDefault(&o.LookupInterval, 15*time.Second)
	orDefault(&o.TableTimeout, 5*time.Second)
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Announcements == nil {
		o.Announcements = &Announcements{}
	}
	return o
}

// Runner drives the machine of one node in real time. All methods are safe for concurrent use. Snapshot takes no lock.
type Runner struct {
	opt      Options
	snapshot atomic.Pointer[Snapshot]
	draining atomic.Bool
	wake     chan struct{} // has capacity 1; tells Run that there are events to publish

	mu      sync.Mutex // guards machine and events
	machine *Machine
	events  []Event

	senders   senders
	subMu     sync.Mutex
	subs      map[int]func(*Snapshot, []Event)
	nextSub   int
	published time.Time // used by Run only
	lapsed    bool      // the announcement had lapsed at the last tick; used by Run only
}

// NewRunner returns a runner that has not started.
func NewRunner(opt Options) *Runner {
	opt = opt.withDefaults()
	r := &Runner{
		opt: opt, machine: New(opt.Config, opt.Self, opt.Seed, time.Now()), wake: make(chan struct{}, 1),
		subs: map[int]func(*Snapshot, []Event){},
	}
	r.senders.init(opt.Transport, opt.SendTimeout)
	r.snapshot.Store(r.machine.Snapshot())
	return r
}

// Snapshot returns the last published view. A change appears in it after about minPublishInterval and a tick at most.
func (r *Runner) Snapshot() *Snapshot { return r.snapshot.Load() }

// Dropped returns the number of messages that were dropped because the peer's queue was full, an earlier message to the
// peer failed, or Run ended while they were queued. Messages that arise while Run does not run are dropped uncounted.
func (r *Runner) Dropped() int64 { return r.senders.dropped.Load() }

// Subscribe calls f with every new snapshot that has events, and with the events. The calls are made sequentially
// in the goroutine of Run, so f must not block. The returned function ends the subscription.
func (r *Runner) Subscribe(f func(*Snapshot, []Event)) (cancel func()) {
	r.subMu.Lock()
	defer r.subMu.Unlock()
	id := r.nextSub
	r.nextSub++
	r.subs[id] = f
	return func() {
		r.subMu.Lock()
		defer r.subMu.Unlock()
		delete(r.subs, id)
	}
}

// Receive handles a payload that the peer at the given address sent. The payload is not retained.
func (r *Runner) Receive(from string, payload []byte) {
	msg, err := Decode(payload)
	if err != nil {
		event.Log(r.opt.Logger, event.GossipInvalid, slog.String("peer", from), slog.String("error", err.Error()))
		return
	}
	r.withMachine(func(now time.Time) { r.machine.Receive(now, from, msg) })
}

// withMachine calls f with the lock on the machine held, and then sends the messages that the machine has produced.
func (r *Runner) withMachine(f func(now time.Time)) {
	r.mu.Lock()
	f(time.Now())
	out, events := r.machine.Take()
	r.events = append(r.events, events...)
	r.mu.Unlock()
	for _, e := range out {
		r.senders.send(e)
	}
	if len(events) > 0 {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// Run drives the machine until ctx ends. It returns after its goroutines have ended.
func (r *Runner) Run(ctx context.Context) {
	inner, cancel := context.WithCancel(ctx)
	defer r.senders.stop()
	defer cancel()
	r.senders.start(inner)
	r.withMachine(func(now time.Time) { r.machine.Join(now, r.opt.Seeds) })
	var wg sync.WaitGroup
	defer wg.Wait()
	if r.opt.Table != nil {
		wg.Go(func() { r.registerAndLookUp(inner) })
	}
	ticker := time.NewTicker(r.opt.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			target := r.target()
			r.withMachine(func(now time.Time) {
				r.machine.Tick(now)
				r.machine.Announce(now, target)
			})
		case <-r.wake:
		}
		r.publish()
	}
}

// target returns what this node's record is to state about the local target: its last announcement, or Draining as the
// state after Drain was called.
func (r *Runner) target() Target {
	t, lapsed := r.opt.Announcements.Current(time.Now())
	if lapsed && !r.lapsed {
		event.Log(r.opt.Logger, event.TargetLeaseExpired, slog.String("service", t.Service))
	}
	r.lapsed = lapsed
	if r.draining.Load() {
		t.State = Draining
	}
	return t
}

// Drain sets the node's state to Draining, whatever the target announces.
func (r *Runner) Drain() {
	r.draining.Store(true)
	target, _ := r.opt.Announcements.Current(time.Now())
	target.State = Draining
	r.withMachine(func(now time.Time) { r.machine.Announce(now, target) })
}

// Leave announces that the node leaves, and waits until all queued messages were handed to the transport or ctx ends.
// Run must still be running.
func (r *Runner) Leave(ctx context.Context) error {
	r.withMachine(r.leave)
	if err := r.senders.waitIdle(ctx); err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	return nil
}

func (r *Runner) leave(now time.Time) { r.machine.Leave(now) }

// minPublishInterval is the shortest time between two snapshots. When a partition heals, thousands of changes arrive
// within seconds, and building a snapshot of 2,300 members takes about 3 ms.
const minPublishInterval = 100 * time.Millisecond

// publish publishes a snapshot with the changes since the last one and notifies the subscribers.
func (r *Runner) publish() {
	now := time.Now()
	r.mu.Lock()
	events := r.events
	wait := minPublishInterval
	if len(events) == 0 {
		wait = snapshotInterval
	}
	if now.Sub(r.published) < wait {
		r.mu.Unlock()
		return // a later tick publishes the remaining events
	}
	r.events = nil
	s := r.machine.Snapshot()
	r.mu.Unlock()
	r.published = now
	r.snapshot.Store(s)
	if len(events) == 0 {
		return
	}
	for i := range events {
		r.logEvent(&events[i])
	}
	r.subMu.Lock()
	subs := make([]func(*Snapshot, []Event), 0, len(r.subs))
	for _, f := range r.subs {
		subs = append(subs, f)
	}
	r.subMu.Unlock()
	for _, f := range subs {
		f(s, events)
	}
}

var memberEvents = map[EventKind]event.Event{
	MemberJoined: event.MemberJoined, MemberReplaced: event.MemberReplaced, MemberSuspected: event.MemberSuspected,
	MemberDied: event.MemberDied, MemberLeft: event.MemberLeft, SelfRefuted: event.SelfRefuted,
}

var selfEvents = map[Status]event.Event{
	StatusActive: event.SelfActive, StatusIsolated: event.SelfIsolated, StatusChecking: event.SelfChecking,
	StatusReplaced: event.SelfReplaced, StatusLeft: event.SelfLeft,
}

func (r *Runner) logEvent(e *Event) {
	kind, ok := memberEvents[e.Kind]
	if e.Kind == SelfChanged {
		kind, ok = selfEvents[e.Self]
	}
	if !ok {
		return
	}
	event.Log(r.opt.Logger, kind, slog.String("member", e.Member.Address), slog.Uint64("incarnation", e.Member.Incarnation),
		slog.String("state", e.Member.State.String()), slog.String("zone", e.Member.Zone),
		slog.String("service", e.Member.Service))
}
