package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/settings"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

const (
	chainHops        = 3
	chainSlots       = 8
	chainHandlerTime = 4 * time.Millisecond // processing time of a target for each request
	// handlerTimeHeader is the response header with the time that the target's handler took, in nanoseconds.
	handlerTimeHeader = "X-Spent"
)

// chain is a sequence of services, each of whose targets calls the next service.
type chain struct {
	client *http.Client
	next   [chainHops]string // URL of each hop, as its caller reaches it

	mu    sync.Mutex
	added []time.Duration // for each call: time until the complete response minus the time of the target's handler
}

// call calls the service of a hop and records the added time.
func (c *chain) call(hop int, trace string) error {
	r, err := http.NewRequest(http.MethodGet, c.next[hop], nil)
	if err != nil {
		return err
	}
	if trace != "" {
		r.Header.Set("Traceparent", trace)
	}
	start := time.Now()
	resp, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	took := time.Since(start)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("hop %d: %d %s %v", hop, resp.StatusCode, body, err)
	}
	spent, err := strconv.ParseInt(resp.Header.Get(handlerTimeHeader), 10, 64)
	c.mu.Lock()
	c.added = append(c.added, took-time.Duration(spent))
	c.mu.Unlock()
	return err
}

// target starts the target of a hop and returns its address. If slots is not nil, a request first waits for a slot, and that
// wait does not count as handler time.
func (c *chain) target(b *testing.B, hop int, slots chan struct{}) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if slots != nil {
			slots <- struct{}{}
			defer func() { <-slots }()
		}
		start := time.Now()
		time.Sleep(chainHandlerTime)
		if hop+1 < chainHops {
			if err := c.call(hop+1, r.Header.Get("Traceparent")); err != nil {
				http.Error(w, err.Error(), http.StatusBadGateway)
				return
			}
		}
		w.Header().Set(handlerTimeHeader, strconv.FormatInt(int64(time.Since(start)), 10))
		_, _ = io.WriteString(w, strings.Repeat("x", 1000))
	})}
	go func() { _ = srv.Serve(l) }()
	b.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// node starts the node of a hop's target and returns its listeners.
func (c *chain) node(b *testing.B, hop int, target string, seeds []string) Listeners {
	addresses := settings.Node{CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", TargetInterfaceAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0"}
	listeners, err := Listen(&settings.Settings{Node: addresses})
	require.NoError(b, err)
	service := "s" + strconv.Itoa(hop)
	n, err := New(Options{Log: slog.New(slog.DiscardHandler), Settings: &settings.Settings{
		Node:   settings.Node{Site: "trial", AvailabilityZone: "a", PeerAddress: listeners.Peer.Addr().String()},
		Target: settings.Target{Service: service, Address: target, LeaseMin: time.Second, LeaseMax: 5 * time.Minute},
		Seeds:  seeds,
		Link:   settings.Link{HeartbeatInterval: 250 * time.Millisecond, HeartbeatTimeout: 5 * time.Second, IdleTimeout: time.Minute},
		Drain:  settings.Drain{Limit: time.Second},
	}})
	require.NoError(b, err)
	p := policy.New()
	for hop := range chainHops {
		name := "s" + strconv.Itoa(hop)
		p.Services[name] = &policy.Service{Name: name, Slots: chainSlots, Connections: 100, Routes: []policy.Route{
			{Name: "read", Prefix: "/", Rank: 1, Idempotent: true, Timeout: 5 * time.Second},
		}}
	}
	n.Apply(p.WithVersion(filePolicyVersion))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx, listeners, ctx) }()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	resp, err := http.Post("http://"+listeners.Target.Addr().String()+announcePath, "application/json",
		strings.NewReader(fmt.Sprintf(`{"service":%q,"slots":%d,"state":"ready","lease":300000}`, service, chainSlots)))
	require.NoError(b, err)
	require.NoError(b, resp.Body.Close())
	return listeners
}

// load sends n requests at a constant rate per second and returns the errors.
func (c *chain) load(n int, rate float64) (failed []error) {
	var wg sync.WaitGroup
	start := time.Now()
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		wg.Go(func() {
			if err := c.call(0, ""); err != nil {
				c.mu.Lock()
				failed = append(failed, err)
				c.mu.Unlock()
			}
		})
	}
	wg.Wait()
	return failed
}

// BenchmarkChain measures the time that the system adds to a call and the allocations of a request that consists of three
// calls, at half of the load that the first target can handle. The variant "direct" calls the targets without nodes and so
// measures HTTP alone. The variant "slots" does the same with targets that queue requests for their slots, as admission does
// in a node. docs/performance.md has the figures.
func BenchmarkChain(b *testing.B) {
	for _, variant := range []string{"direct", "slots", "nodes"} {
		b.Run(variant, func(b *testing.B) {
			c := &chain{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}}
			defer c.client.CloseIdleConnections()
			var seeds []string
			targetListeners := make([]string, chainHops)
			for hop := range chainHops {
				var slots chan struct{}
				if variant == "slots" {
					slots = make(chan struct{}, chainSlots)
				}
				target := c.target(b, hop, slots)
				c.next[hop] = "http://" + target + "/x"
				if variant != "nodes" {
					continue
				}
				listeners := c.node(b, hop, target, seeds)
				seeds = append(seeds, listeners.Peer.Addr().String())
				targetListeners[hop] = listeners.Target.Addr().String()
				if hop == 0 {
					c.next[0] = "http://" + listeners.Caller.Addr().String() + "/s0/x"
				} else {
					c.next[hop] = fmt.Sprintf("http://%s/s%d/x", targetListeners[hop-1], hop)
				}
			}
			for deadline := time.Now().Add(time.Minute); c.call(0, "") != nil; { // until the nodes know each other
				require.True(b, time.Now().Before(deadline))
				time.Sleep(50 * time.Millisecond)
			}
			const rate = chainSlots / (chainHops * float64(chainHandlerTime) / float64(time.Second)) / 2
			c.load(int(6*rate), rate) // until the ramp of the targets, which have just become ready, is over
			c.added = c.added[:0]
			b.ReportAllocs()
			b.ResetTimer()
			failed := c.load(b.N, rate)
			b.StopTimer()
			if len(failed) > 0 {
				b.Logf("%d of %d requests failed, the first: %v", len(failed), b.N, failed[0])
			}
			if len(c.added) == 0 && b.N == 1 {
				return // the framework first runs a single request, which was shed; the measured run follows
			}
			require.NotEmpty(b, c.added, "no request was answered")
			slices.Sort(c.added)
			for _, q := range []int{50, 99} {
				b.ReportMetric(float64(c.added[(len(c.added)-1)*q/100].Microseconds()), fmt.Sprintf("added-µs/call-p%d", q))
			}
			b.ReportMetric(float64(len(failed)), "failed")
		})
	}
}
