package link

import (
	"context"
	"flag"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var capacityLinks = flag.Int("links", 0, "measure the memory of this number of links")

// TestLinkMemory prints the memory of one link over WebSocket on loopback, both ends together. It runs on demand only; its
// figures are in docs/CAPACITY.md.
func TestLinkMemory(t *testing.T) {
	if *capacityLinks == 0 {
		t.Log("run with -links N")
		return
	}
	log := slog.New(slog.DiscardHandler)
	handler := &testHandler{fn: echo}
	var pools []*Pool
	addresses := make([]string, *capacityLinks)
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addresses[i] = l.Addr().String()
		p := NewPool(Config{Self: Peer{Address: addresses[i]}}, nil, handler, log)
		pools = append(pools, p)
		srv := &http.Server{Handler: p}
		go func() { _ = srv.Serve(l) }()
		t.Cleanup(func() { _ = srv.Close() })
	}
	before := memoryInUse()
	dialer := NewPool(Config{Self: Peer{Address: "dialer"}, DialTimeout: 10 * time.Second}, WebSocketDialer(), handler, log)
	for _, a := range addresses {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		r := dialer.Send(ctx, a, newRequest([]byte("x"), 10*time.Second))
		cancel()
		require.Equal(t, "answered", r.Outcome.String(), "%v", r.Err)
	}
	after := memoryInUse()
	t.Logf("%d links: %d bytes a link, both ends", *capacityLinks, (after-before)/uint64(*capacityLinks))
	dialer.Close()
	for _, p := range pools {
		p.Close()
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
