package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/memory"
)

// mesh connects runners of one process.
type mesh struct {
	mu      sync.Mutex
	runners map[string]*Runner
	zones   map[string]string
	applied map[string][]uint64
}

func (n *mesh) Members(uint64) ([]MemberInfo, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []MemberInfo
	for address, zone := range n.zones {
		out = append(out, MemberInfo{Address: address, Zone: zone, Alive: true})
	}
	return out, 1
}

type meshTransport struct {
	mesh *mesh
	from string
}

func (p meshTransport) Send(_ context.Context, peer string, payload []byte) error {
	p.mesh.mu.Lock()
	r := p.mesh.runners[peer]
	p.mesh.mu.Unlock()
	if r == nil {
		return errors.New("no such peer")
	}
	return r.Receive(p.from, payload)
}

// faultyTable makes the platform unavailable to all nodes as soon as the proposal of a version is written.
type faultyTable struct {
	*memory.Platform
	version atomic.Uint64 // of the proposal; 0: never
}

func (o *faultyTable) Commit(ctx context.Context, writes []platform.Write) ([]platform.Version, error) {
	versions, err := o.Platform.Commit(ctx, writes)
	for _, w := range writes {
		if w.Key != headKey || err != nil {
			continue
		}
		if h, _ := decodeRow(w.Value); h.Pending != nil && h.Pending.Head.Version == o.version.Load() {
			o.SetFaults(memory.Faults{Down: true})
		}
	}
	return versions, err
}

func startMesh(t *testing.T, pf *faultyTable, size int) (*mesh, context.CancelFunc, *sync.WaitGroup) {
	t.Helper()
	n := &mesh{runners: map[string]*Runner{}, zones: map[string]string{}, applied: map[string][]uint64{}}
	for i := range size {
		n.zones[fmt.Sprint("n", i)] = fmt.Sprint("z", i%2)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for address, zone := range n.zones {
		r := NewRunner(Options{
			Address: address, Zone: zone, Transport: meshTransport{n, address}, Table: pf, Objects: pf.Objects(), Members: n,
			Apply: func(version uint64, _ []byte) {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.applied[address] = append(n.applied[address], version)
			},
			Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		n.mu.Lock()
		n.runners[address] = r
		n.mu.Unlock()
	}
	for _, r := range n.runners {
		wg.Go(func() { r.Run(ctx) })
	}
	return n, cancel, &wg
}

func (n *mesh) all(version uint64) bool {
	for _, r := range n.runners {
		if r.Version() != version || !r.Confirmed(time.Now()) {
			return false
		}
	}
	return true
}

// Guards against a runner that loses commands, leaks goroutines, or returns a result that differs from the table. The cases
// are a change with a lost answer, two competing changes, a status command, an outage in the middle of a change, and an
// interrupted submit.
func TestRunner(t *testing.T) {
	defer goleak.VerifyNone(t)
	pf := &faultyTable{Platform: memory.New()}
	n, cancel, wg := startMesh(t, pf, 6)
	defer wg.Wait()
	defer cancel()
	ctx, done := context.WithTimeout(context.Background(), 20*time.Second)
	defer done()
	s := &sim{}

	pf.SetFaults(memory.Faults{LoseAnswer: true})
	r, err := n.runners["n0"].Submit(ctx, s.change("a", "ann", 0))
	require.NoError(t, err)
	require.Equal(t, StateAccepted, r.State)
	pf.SetFaults(memory.Faults{})
	require.Eventually(t, func() bool { return n.all(1) }, 3*time.Second, 20*time.Millisecond)

	r, err = n.runners["n1"].Submit(ctx, s.change("b", "ben", 0))
	require.NoError(t, err)
	require.Equal(t, ReasonBaseChanged, r.Reason)
	require.Equal(t, "ann", r.Other.Author)
	text, err := json.Marshal(r)
	require.NoError(t, err)
	require.Contains(t, string(text), `"reason":"base-changed"`)
	again, err := n.runners["n2"].Status(ctx, "b")
	require.NoError(t, err)
	require.Equal(t, r, again)

	// The platform becomes unavailable to all nodes once the change is proposed, so the nodes roll forward.
	short, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	pf.version.Store(2)
	_, err = n.runners["n3"].Submit(short, s.change("c", "cid", 1))
	require.ErrorIs(t, err, ErrNotSettled)
	require.Eventually(t, func() bool { return n.all(2) }, 3*time.Second, 20*time.Millisecond)
	pf.SetFaults(memory.Faults{})
	r, err = n.runners["n4"].Submit(ctx, s.change("c", "cid", 1))
	require.NoError(t, err)
	require.Equal(t, StateAccepted, r.State)

	_, err = n.runners["n0"].Submit(ctx, Change{ID: "x", Author: "ann", Body: []byte("no bundle")})
	require.ErrorIs(t, err, ErrBundle)
	n.mu.Lock()
	defer n.mu.Unlock()
	require.Equal(t, []uint64{1, 2}, n.applied["n5"])
	_, err = pf.Get(ctx, changePrefix+"x")
	require.ErrorIs(t, err, platform.ErrNotFound)
}

// Guards against work that starts after Run has returned: Run waits for a group that grows meanwhile.
func TestNothingStartsAfterRunHasReturned(t *testing.T) {
	var settled atomic.Int32
	r := NewRunner(Options{Address: "a", Settled: func(Result) { settled.Add(1) }, Logger: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r.Run(ctx)
	r.step(func(Time) { r.notifySettled(Result{ID: "c", State: StateAccepted}) })
	r.calls.Wait()
	require.Zero(t, settled.Load())
}
