package mesh

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/admission"
	"github.com/wigeoncleat/wigeoncleat/internal/process/balance"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/shed"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// noticeFleet is a set of entry nodes that forward requests for one service to the nodes beside its targets.
type noticeFleet struct {
	entries []*Proxy
	mu      sync.Mutex
	beside  map[string]*Proxy // by address
	frozen  map[string]chan struct{}
	cut     map[string]bool
}

// Send implements PeerSender.
func (f *noticeFleet) Send(ctx context.Context, address string, req *message.Request) *message.Response {
	f.mu.Lock()
	node, frozen, cut := f.beside[address], f.frozen[address], f.cut[address]
	f.mu.Unlock()
	if cut || node == nil {
		return message.Refuse(message.ReasonConnection, message.Errorf(message.StepSend, address, "test"))
	}
	if frozen != nil {
		<-frozen
	}
	forwarded := *req // as if it was decoded at the other node
	return node.Deliver(ctx, &forwarded)
}

func (f *noticeFleet) freeze(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen[address] = make(chan struct{})
}

func (f *noticeFleet) wake(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.frozen[address])
	delete(f.frozen, address)
}

func (f *noticeFleet) setCut(address string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[address] = cut
}

// startBeside starts the node beside a target, or starts it again.
func (f *noticeFleet) startBeside(t *testing.T, address string, target *noticeTarget) {
	p := newNoticeProxy(t, address, f, balance.NewSet("a", policy.New().Balance))
	attachNoticeTarget(p, target)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beside[address] = p
}

func attachNoticeTarget(p *Proxy, target *noticeTarget) {
	p.AttachTarget("menu", target.instance, 0, admission.New(admission.Limits{
		Slots: 130, Connections: 500, QueueLength: 139, QueueMaxWait: 200 * time.Millisecond,
		SubrequestsFirst: true, NewRequestShare: 0.1, MixedServiceTimes: true,
	}), target)
}

func newNoticeProxy(t *testing.T, address string, f *noticeFleet, pickers *balance.Set) *Proxy {
	t.Helper()
	table, err := routing.New(4, testRoutes, []routing.Service{{Name: "menu"}}, routing.DefaultLimits())
	require.NoError(t, err)
	routes := &atomic.Pointer[routing.Table]{}
	routes.Store(table)
	return New(Config{
		Address: address, Service: "store", Routes: routes, Peers: f, Pickers: pickers, Shed: shed.New(),
		Instance:      func(address string) string { return "i-" + address },
		Unreachable:   func(string, error) {},
		TargetLeaving: func(string, int64) {}, AttachedTargetLeaving: func(string, int64) {},
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
		Limiter: event.NewLimiter(1),
	})
}

func newNoticeFleet(t *testing.T, entries int, targets ...*noticeTarget) *noticeFleet {
	f := &noticeFleet{beside: map[string]*Proxy{}, frozen: map[string]chan struct{}{}, cut: map[string]bool{}}
	for i := range entries {
		set := balance.NewSet("a", policy.New().Balance)
		var list []balance.Target
		for _, target := range targets {
			list = append(list, balance.Target{Address: target.address, Zone: "a", Slots: 139})
		}
		set.Update(map[string][]balance.Target{"menu": list})
		f.entries = append(f.entries, newNoticeProxy(t, "entry"+strconv.Itoa(i), f, set))
	}
	for _, target := range targets {
		f.startBeside(t, target.address, target)
	}
	return f
}

// load sends requests from all entry nodes together, so many per second, until the time is over.
func (f *noticeFleet) load(perSecond int, d time.Duration) {
	var sent sync.WaitGroup
	for n := range int(d.Seconds() * float64(perSecond)) {
		entry := f.entries[n%len(f.entries)]
		sent.Go(func() { entry.Serve(context.Background(), request("/menu/1", fmt.Sprintf("%p-%d", &sent, n))) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	sent.Wait()
}

// noticeTarget is a target that says something of itself in its responses.
type noticeTarget struct {
	address, instance string
	work              time.Duration

	notice message.Notice

	mu       sync.Mutex
	arrivals []time.Time
}

func newNoticeTarget(address string, work time.Duration, n message.Notice) *noticeTarget {
	return &noticeTarget{address: address, instance: "i-" + address, work: work, notice: n}
}

// Do implements Target.
func (g *noticeTarget) Do(ctx context.Context, _ *message.Request) *message.Response {
	g.mu.Lock()
	g.arrivals = append(g.arrivals, time.Now())
	g.mu.Unlock()
	select {
	case <-time.After(g.work):
	case <-ctx.Done():
		return message.UnknownOutcome(message.ReasonDeadline, message.Errorf(message.StepRun, g.instance, "test"))
	}
	n := g.notice
	return &message.Response{Outcome: message.Answered, Status: http.StatusOK, Notice: &n}
}

// Bounds of the operators on the requests to a target that names a limit: in any limitWindow that begins settleTime after it first
// named the limit, it gets at most limitFactor times what the limit allows, and limitSlack requests.
const (
	settleTime  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// requireWithinLimit checks the operators' bounds for requests that arrived from a time on.
func (g *noticeTarget) requireWithinLimit(t *testing.T, perSecond float64, from time.Time) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	first := 0
	for last, at := range g.arrivals {
		for g.arrivals[first].Before(from) || at.Sub(g.arrivals[first]) > limitWindow {
			if first++; first > last {
				break
			}
		}
		require.LessOrEqual(t, float64(last-first+1), limitFactor*perSecond*limitWindow.Seconds()+limitSlack,
			"requests in the window that ends %v after the limit applied", at.Sub(from))
	}
}

// Guards against a target that names the requests per second that it takes and gets many times as many.
func TestTargetGetsNoMoreRequestsThanItNames(t *testing.T) {
	for _, perSecond := range []float64{0, 0.4, 5, 20, 43.8} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := newNoticeTarget("n0", 100*time.Millisecond, message.Notice{RateLimited: true, RateLimit: perSecond})
				start := time.Now()
				newNoticeFleet(t, 4, target).load(400, 15*time.Second)
				target.requireWithinLimit(t, perSecond, start.Add(settleTime))
			})
		})
	}
}

// Guards against a limit that is lost with the state of the node beside the target, while the target and all other nodes go on:
// the first responses after the fault come too late to bound the requests that the other nodes send until then.
func TestRateLimitOutlivesFaultsOfTheNodeBesideTheTarget(t *testing.T) {
	const perSecond = 5
	faults := map[string]func(*testing.T, *noticeFleet, *noticeTarget){
		"restart": func(t *testing.T, f *noticeFleet, g *noticeTarget) {
			f.setCut(g.address, true)
			time.Sleep(time.Second)
			f.startBeside(t, g.address, g)
			f.setCut(g.address, false)
		},
		"kill": func(t *testing.T, f *noticeFleet, g *noticeTarget) { f.startBeside(t, g.address, g) },
		"freeze": func(_ *testing.T, f *noticeFleet, g *noticeTarget) {
			f.freeze(g.address)
			time.Sleep(3 * time.Second)
			f.wake(g.address)
		},
		"cut": func(_ *testing.T, f *noticeFleet, g *noticeTarget) {
			f.setCut(g.address, true)
			time.Sleep(3 * time.Second)
			f.setCut(g.address, false)
		},
		"target attached again": func(_ *testing.T, f *noticeFleet, g *noticeTarget) {
			f.beside[g.address].DetachTarget()
			attachNoticeTarget(f.beside[g.address], g)
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := newNoticeTarget("n0", time.Second, message.Notice{RateLimited: true, RateLimit: perSecond})
				start := time.Now()
				f := newNoticeFleet(t, 4, target)
				var load sync.WaitGroup
				load.Go(func() { f.load(300, 25*time.Second) })
				for range 3 {
					time.Sleep(6 * time.Second)
					fault(t, f, target)
				}
				load.Wait()
				target.requireWithinLimit(t, perSecond, start.Add(settleTime))
			})
		})
	}
}

// Guards against requests that are shed or refused because some targets have taken as many requests as they name, while another
// target has free slots; and against entry nodes that send what all targets refuse.
func TestLimitedTargetsSpeakForThemselves(t *testing.T) {
	refusal := func() *message.Response {
		r := refusedBy(message.ReasonOverload)
		r.Notice = &message.Notice{RateLimited: true, RateLimit: 3}
		r.Thresholds = []message.Threshold{{Service: "menu", Priority: topRank << 8}}
		return r
	}
	n := newNode(t, maxOffers)
	for i := range 5 {
		for range maxOffers - 1 {
			n.answers = append(n.answers, refusal())
		}
		n.answers = append(n.answers, &message.Response{Outcome: message.Answered, Status: http.StatusOK})
		require.Equal(t, message.Answered, n.proxy.Serve(t.Context(), request("/menu/1", strconv.Itoa(i))).Outcome)
		require.Len(t, n.sent, (i+1)*maxOffers)
	}
	for range maxOffers {
		n.answers = append(n.answers, refusal())
	}
	require.Equal(t, message.StepAdmit, n.proxy.Serve(t.Context(), request("/menu/1", "a")).Err.Step)
	require.Equal(t, message.StepShed, n.proxy.Serve(t.Context(), request("/menu/1", "b")).Err.Step)
}
