package mesh

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/admission"
	"github.com/wigeoncleat/wigeoncleat/internal/process/balance"
	"github.com/wigeoncleat/wigeoncleat/internal/process/quarantine"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// crashFleet is a set of nodes, each beside a target of the service "menu". A request whose path contains "deadly" ends each target
// that runs it, with all other requests there. A target is back after restartTime.
type crashFleet struct {
	t     *testing.T
	nodes []*crashNode

	mu   sync.Mutex
	ends []time.Time // of targets
	down map[int]bool
}

type crashNode struct {
	fleet *crashFleet
	index int
	proxy *Proxy
	table *quarantine.Table
	born  int64
	ended chan struct{} // closed at the end of the target process
	runs  map[string]int

	failing atomic.Bool // calls of the target fail, so that it answers with a failure at once
}

const (
	restartTime = 3 * time.Second
	// spreadTime is the time in which nodes tell each other of suspects.
	spreadTime = 20 * time.Millisecond
)

func newCrashFleet(t *testing.T, size int) *crashFleet {
	f := &crashFleet{t: t, down: map[int]bool{}}
	for i := range size {
		f.nodes = append(f.nodes, &crashNode{fleet: f, index: i, runs: map[string]int{}})
	}
	for i := range size {
		f.startNode(i)
	}
	return f
}

func (f *crashFleet) address(i int) string { return fmt.Sprintf("n%d", i) }

// startNode starts a node, or starts it again with what the others know of suspects.
func (f *crashFleet) startNode(i int) {
	n := f.nodes[i]
	set := balance.NewSet("a", policy.New().Balance)
	var list []balance.Target
	for j := range f.nodes {
		list = append(list, balance.Target{Address: f.address(j), Zone: "a", Slots: 139})
	}
	set.Update(map[string][]balance.Target{"menu": list})
	n.table = quarantine.New()
	for _, other := range f.nodes {
		if other != n && other.table != nil {
			n.table.Merge(other.table.Records(1000, nil, time.Now()), time.Now())
		}
	}
	base := newNoticeProxy(f.t, f.address(i), nil, set)
	cfg := base.cfg
	cfg.Peers, cfg.Quarantine = f, n.table
	cfg.Suspected = func(list []quarantine.Record) {
		time.AfterFunc(spreadTime, func() {
			for _, other := range f.nodes {
				if other != n && !f.isDown(other.index) {
					if _, cleared := other.table.Merge(list, time.Now()); len(cleared) > 0 {
						other.proxy.cfg.Suspected(cleared)
					}
				}
			}
		})
	}
	n.proxy = New(cfg)
	n.startTarget()
}

func (n *crashNode) instance() string { return "i-" + n.fleet.address(n.index) }

func (n *crashNode) startTarget() {
	n.fleet.mu.Lock()
	n.born++
	n.ended = make(chan struct{})
	born := n.born
	n.fleet.mu.Unlock()
	n.proxy.AttachTarget("menu", n.instance(), born, admission.New(admission.Limits{
		Slots: 130, Connections: 500, QueueLength: 139, QueueMaxWait: 200 * time.Millisecond,
		SubrequestsFirst: true, NewRequestShare: 0.1, MixedServiceTimes: true,
	}), n)
}

// endTarget ends the target process; its node learns that at once.
func (n *crashNode) endTarget() {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	select {
	case <-n.ended:
		return
	default:
	}
	close(n.ended)
	n.fleet.ends = append(n.fleet.ends, time.Now())
	born := n.born
	go func() {
		n.proxy.TargetEnded(n.instance(), born)
		n.proxy.DetachTarget()
		time.Sleep(restartTime)
		n.startTarget()
	}()
}

// Do implements Target.
func (n *crashNode) Do(ctx context.Context, req *message.Request) *message.Response {
	n.fleet.mu.Lock()
	n.runs[req.Path]++
	ended := n.ended
	n.fleet.mu.Unlock()
	if n.failing.Load() {
		return &message.Response{Outcome: message.Answered, Status: http.StatusInternalServerError, DownstreamFailed: true}
	}
	work := 50 * time.Millisecond
	if strings.Contains(req.Path, "deadly") {
		time.Sleep(time.Millisecond)
		n.endTarget()
	}
	if strings.Contains(req.Path, "slow") {
		work = 800 * time.Millisecond
	}
	select {
	case <-time.After(work):
		return &message.Response{Outcome: message.Answered, Status: http.StatusOK}
	case <-ended:
		return message.UnknownOutcome(message.ReasonConnection, message.Errorf(message.StepRun, n.instance(), "test"))
	case <-ctx.Done():
		return message.UnknownOutcome(message.ReasonDeadline, message.Errorf(message.StepRun, n.instance(), "test"))
	}
}

// Send implements PeerSender.
func (f *crashFleet) Send(ctx context.Context, address string, req *message.Request) *message.Response {
	time.Sleep(time.Millisecond)
	for i, n := range f.nodes {
		if f.address(i) == address && !f.isDown(i) {
			forwarded := *req
			return n.proxy.Deliver(ctx, &forwarded)
		}
	}
	return message.Refuse(message.ReasonConnection, message.Errorf(message.StepDial, address, "test"))
}

func (f *crashFleet) isDown(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down[i]
}

func (f *crashFleet) setDown(i int, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[i] = down
}

// runsOf returns how often targets have begun to run requests with the path.
func (f *crashFleet) runsOf(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, n := range f.nodes {
		sum += n.runs[path]
	}
	return sum
}

// send sends a request with the path from each node in turn, in the given interval, and returns the outcomes in the order of sending.
func (f *crashFleet) send(d, interval time.Duration, path func(i int) string) []*message.Response {
	out := make([]*message.Response, int(d/interval))
	var sent sync.WaitGroup
	for i := range out {
		if from := i % len(f.nodes); !f.isDown(from) {
			sent.Go(func() {
				out[i] = f.nodes[from].proxy.Serve(context.Background(), request(path(i), fmt.Sprintf("%s-%d", path(i), i)))
			})
		}
		time.Sleep(interval)
	}
	sent.Wait()
	return out
}

// settle is the operators' limit on the time after the third end of a target from which a request may reach targets maxLateRuns
// times at most.
const (
	settle      = 3 * time.Second
	maxLateRuns = 3
)

// Guards against a request that crashes one target after the other, at whatever node it comes again, also while the node that knows
// most is restarted or cut off; of a kind that may be retried and of one that may not.
func TestRequestThatCrashesTargetsIsHeld(t *testing.T) {
	for _, path := range []string{"/menu/deadly", "/order/deadly"} {
		for _, fault := range []string{"", "restart", "cut"} {
			t.Run(path+fault, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newCrashFleet(t, 6)
					var others []*message.Response
					var load sync.WaitGroup
					load.Go(func() {
						others = f.send(40*time.Second, 5*time.Millisecond, func(i int) string { return fmt.Sprintf("/menu/%d", i%50) })
					})
					load.Go(func() { f.send(40*time.Second, 120*time.Millisecond, func(int) string { return path }) })
					for i := range f.nodes {
						time.Sleep(5 * time.Second)
						if fault == "" {
							continue
						}
						f.setDown(i, true)
						if time.Sleep(2 * time.Second); fault == "restart" {
							f.startNode(i)
						}
						f.setDown(i, false)
					}
					load.Wait()
					require.GreaterOrEqual(t, len(f.ends), 3)
					late := 0
					for _, end := range f.ends {
						if end.Sub(f.ends[2]) > settle {
							late++
						}
					}
					require.LessOrEqual(t, late, maxLateRuns)
					last := f.nodes[0].proxy.Serve(t.Context(), request(path, "last"))
					require.Equal(t, message.NotRun, last.Outcome)
					require.Equal(t, message.ReasonQuarantined, last.Reason)
					require.Zero(t, last.RetryAfter, "the caller is not invited to come back")
					for _, r := range others[len(others)*3/4:] {
						if r != nil && fault == "" {
							require.Equal(t, message.Answered, r.Outcome, "%v", r.Err)
						}
					}
					time.Sleep(time.Minute)
				})
			})
		}
	}
}

// Guards against a request that crashes targets and is released because a target answered its trial with a failure, before the point
// at which it would have crashed.
func TestFailureIsNoProofOfInnocence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t, 6)
		deadly := func(int) string { return "/menu/deadly" }
		f.send(time.Second, 50*time.Millisecond, deadly)
		require.GreaterOrEqual(t, len(f.ends), 3)
		time.Sleep(restartTime)
		for _, n := range f.nodes {
			n.failing.Store(true)
		}
		before := len(f.ends)
		f.send(time.Second, 50*time.Millisecond, deadly)
		for _, n := range f.nodes {
			n.failing.Store(false)
		}
		f.send(8*time.Second, 50*time.Millisecond, deadly)
		require.Len(t, f.ends, before)
		time.Sleep(time.Minute)
	})
}

// Guards against several requests that crash targets at once, which hide behind one another.
func TestSeveralRequestsThatCrashTargetsAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const kinds = 4
		f := newCrashFleet(t, 6)
		path := func(i int) string { return fmt.Sprintf("/menu/deadly%d", i%kinds) }
		f.send(60*time.Second, 70*time.Millisecond, path)
		before := make([]int, kinds)
		for i := range kinds {
			before[i] = f.runsOf(path(i))
		}
		f.send(60*time.Second, 70*time.Millisecond, path)
		for i := range kinds {
			require.LessOrEqual(t, f.runsOf(path(i))-before[i], 1, "trials within a minute")
		}
		time.Sleep(time.Minute)
	})
}

// Guards against requests that are refused for long because they were in progress whenever a target ended for another reason.
func TestRequestsInProgressAtOtherEndsAreNotHeldForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t, 6)
		var responses []*message.Response
		var load sync.WaitGroup
		load.Go(func() {
			responses = f.send(40*time.Second, 10*time.Millisecond, func(int) string { return "/menu/slow" })
		})
		for i := range 10 {
			time.Sleep(3 * time.Second)
			for j := range 3 { // with the same request in progress at all of them
				f.nodes[(i+j)%len(f.nodes)].endTarget()
			}
		}
		load.Wait()
		held := 0
		for _, r := range responses {
			if r.Reason == message.ReasonQuarantined {
				held++
			}
		}
		require.Less(t, held, len(responses)/20)
		time.Sleep(time.Minute)
	})
}

// Guards against a request that ends a target and is forgotten because its node detaches and attaches the target again before it learns of
// the end, as it does when connections fail.
func TestRequestsCutOffOutliveADetach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t, 1)
		n := f.nodes[0]
		limits := admission.Limits{Slots: 10, Connections: 10, QueueLength: 10, QueueMaxWait: time.Second}
		req := delivered("a", 0, 1<<8)
		req.Path, req.Instance, req.Deadline = "/menu/slow", n.instance(), time.Now().Add(5*time.Second)
		done := make(chan *message.Response)
		go func() { done <- n.proxy.Deliver(t.Context(), req) }()
		time.Sleep(10 * time.Millisecond)
		close(n.ended)
		require.Equal(t, message.Unknown, (<-done).Outcome)
		n.proxy.DetachTarget()
		n.proxy.AttachTarget("menu", n.instance(), n.born, admission.New(limits), n)
		n.proxy.TargetEnded(n.instance(), n.born)
		require.Len(t, n.table.Records(10, nil, time.Now()), 1)
		time.Sleep(time.Minute)
	})
}

// Guards against a request that every node refuses for long after one crash of all targets that ran it, and against callers of it that
// are told not to come back.
func TestCrashOfAllTargetsDoesNotProveARequestGuilty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t, 6)
		for i, n := range f.nodes {
			req := request("/menu/slow", fmt.Sprintf("a%d", i))
			req.Service, req.Instance, req.Deadline = "menu", n.instance(), time.Now().Add(5*time.Second)
			go n.proxy.Deliver(t.Context(), req)
		}
		time.Sleep(10 * time.Millisecond)
		for _, n := range f.nodes {
			n.endTarget()
		}
		time.Sleep(time.Second)
		slow := func(int) string { return "/menu/slow" }
		refused := f.send(100*time.Millisecond, 100*time.Millisecond, slow)[0]
		require.Equal(t, message.ReasonQuarantined, refused.Reason)
		require.Equal(t, message.NotRun, refused.Outcome)
		require.NotZero(t, refused.RetryAfter)
		time.Sleep(restartTime)
		trial := f.send(100*time.Millisecond, 100*time.Millisecond, slow)[0]
		require.Equal(t, message.Answered, trial.Outcome, "%v", trial.Err)
		time.Sleep(2 * spreadTime)
		for _, r := range f.send(3*time.Second, 100*time.Millisecond, slow) {
			require.Equal(t, message.Answered, r.Outcome, "%v", r.Err)
		}
		time.Sleep(time.Minute)
	})
}
