package engine

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/once"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/memory"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// delivery says what happens to a request between two nodes.
type delivery int

const (
	delivered delivery = iota
	refused            // the connection is refused
	lost               // the request is delivered and its response is lost
)

// mesh connects the engines of a test in memory. The first letter of a node's address is the service of its target.
type mesh struct {
	t         *testing.T
	policy    atomic.Pointer[policy.Policy]
	platform  *memory.Platform
	delivery  func(to string, req *message.Request) delivery
	runTarget func(ctx context.Context, n *meshNode, req *message.Request) *message.Response
	attempts  atomic.Int64 // targets picked

	mu    sync.Mutex
	nodes map[string]*meshNode
}

// meshNode is an engine together with the fakes of its dependencies.
type meshNode struct {
	*Engine
	mesh        *mesh
	address     string
	keys        *once.Store
	unconfirmed atomic.Bool
	shed        atomic.Bool
	full        atomic.Bool // admission refuses everything
	threshold   message.Priority

	mu      sync.Mutex
	ran     []message.Request // requests that ran at the target
	learned map[string]message.Priority
}

func newMesh(t *testing.T, addresses ...string) *mesh {
	m := &mesh{t: t, platform: memory.New(), nodes: map[string]*meshNode{}}
	m.delivery = func(string, *message.Request) delivery { return delivered }
	m.runTarget = func(context.Context, *meshNode, *message.Request) *message.Response { return ok("done") }
	p := policy.New()
	p.Version = 1
	for _, name := range []string{"a", "b", "c"} {
		p.Services[name] = &policy.Service{Name: name, Slots: 10, Connections: 10, Routes: []policy.Route{
			{Name: "read", Method: "GET", Prefix: "/", Rank: 10, Idempotent: true, Timeout: 2 * time.Second},
			{Name: "order", Method: "POST", Prefix: "/", Rank: 20, Timeout: 2 * time.Second},
		}}
	}
	m.policy.Store(p)
	for _, address := range addresses {
		m.start(address, 1)
	}
	return m
}

// start adds a node, or replaces the one at the same address.
func (m *mesh) start(address string, incarnation uint64) *meshNode {
	keys, err := once.New(once.Options{Address: address, Incarnation: incarnation})
	require.NoError(m.t, err)
	n := &meshNode{mesh: m, address: address, keys: keys, learned: map[string]message.Priority{}}
	n.Engine = New(Config{
		Address: address, Service: address[:1], Policy: &m.policy,
		Confirmed: func() bool { return !n.unconfirmed.Load() }, Ready: func() bool { return true },
		Peers: n, Target: n, Admission: n, Pickers: n, Shedder: n,
		Keys: keys, Binder: once.NewBinder(keys, m.platform, once.BinderOptions{}),
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[address] = n
	return n
}

func (m *mesh) node(address string) *meshNode {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nodes[address]
}

// runs returns the number of requests that the targets of the service ran.
func (m *mesh) runs(service string) (count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, n := range m.nodes {
		if address[:1] == service {
			n.mu.Lock()
			count += len(n.ran)
			n.mu.Unlock()
		}
	}
	return count
}

// Send implements PeerSender.
func (n *meshNode) Send(ctx context.Context, address string, req *message.Request) *message.Response {
	time.Sleep(time.Millisecond)
	to, f := n.mesh.node(address), n.mesh.delivery(address, req)
	if to == nil || f == refused {
		return message.Refuse(message.ReasonConnection, message.Errorf(message.StepDial, address, "connection refused"))
	}
	down := *req
	run, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	response := make(chan *message.Response, 1)
	go func() {
		defer cancel()
		response <- to.HandlePeer(run, &down)
	}()
	select {
	case r := <-response:
		if f == lost {
			return message.UnknownOutcome(message.ReasonConnection, message.Errorf(message.StepAwait, address, "connection reset"))
		}
		return r
	case <-ctx.Done():
		cancel()
		reason := message.ReasonCancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = message.ReasonDeadline
		}
		return message.UnknownOutcome(reason, message.Errorf(message.StepAwait, address, "%v", ctx.Err()))
	}
}

// Do implements Target.
func (n *meshNode) Do(ctx context.Context, req *message.Request) *message.Response {
	n.mu.Lock()
	n.ran = append(n.ran, *req)
	n.mu.Unlock()
	return n.mesh.runTarget(ctx, n, req)
}

// Acquire, Threshold and Load implement Admission.
func (n *meshNode) Acquire(context.Context, *message.Request) (Permit, *message.Response) {
	if n.full.Load() {
		return nil, message.Refuse(message.ReasonOverload, message.Errorf(message.StepAdmit, "", "queue full"))
	}
	return n, nil
}
func (n *meshNode) Release(time.Duration, *message.Response) {}
func (n *meshNode) Threshold() message.Priority              { return n.threshold }
func (n *meshNode) Load() message.Load                       { return message.Load{Limit: 10} }

// Picker implements Pickers.
func (n *meshNode) Picker(service string) (Picker, bool) { return meshPicker{n.mesh, service}, true }

// Admit and Learn implement Shedder.
func (n *meshNode) Admit(service, _ string, _ message.Priority) (bool, string, time.Duration) {
	return !n.shed.Load(), service, time.Second
}

func (n *meshNode) Learn(_, _ string, thresholds []message.Threshold) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range thresholds {
		n.learned[t.Service] = t.Priority
	}
}

// meshPicker picks the node of a service with the lowest address that is not excluded.
type meshPicker struct {
	mesh    *mesh
	service string
}

func (p meshPicker) Pick(exclude []string) (string, func(time.Duration, *message.Response), bool) {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	first := ""
	for address := range p.mesh.nodes {
		if address[:1] == p.service && !slices.Contains(exclude, address) && (first == "" || address < first) {
			first = address
		}
	}
	if first == "" {
		return "", nil, false
	}
	p.mesh.attempts.Add(1)
	return first, func(time.Duration, *message.Response) {}, true
}

func ok(body string) *message.Response {
	return &message.Response{Outcome: message.Answered, Status: 200, Body: []byte(body)}
}

func read(service string) *message.Request {
	return &message.Request{ID: message.NewID(), Span: message.NewSpanID(), Service: service, Method: "GET", Path: "/x", Retries: 100}
}

func order(service, key string) *message.Request {
	r := read(service)
	r.Method, r.Key = "POST", key
	return r
}

// targetCall returns a call that a target makes while it runs the parent request.
func targetCall(parent *message.Request, service, method string) *message.Request {
	return &message.Request{ID: parent.ID, Span: parent.Span, Service: service, Method: method, Path: "/x"}
}
