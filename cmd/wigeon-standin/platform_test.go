package main

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/platformserver"
)

// freeAddress returns a loopback address with a port that was free at the time.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// Guards against a fake platform whose faults cannot be changed over HTTP, that ends requests by a timeout of its own, or that
// does not stop while a request hangs.
func TestPlatformFaultsAndStop(t *testing.T) {
	address := freeAddress(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- servePlatform(ctx, address) }()
	table, err := platform.NewHTTPTable("http://"+address, 5*time.Second)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, err := table.Put(ctx, "a//b/../c", []byte("v"), platform.Condition{})
		return err == nil
	}, 2*time.Second, 10*time.Millisecond)

	putFaults := func(body string) int {
		req, err := http.NewRequest(http.MethodPut, "http://"+address+platformserver.PathFaults, bytes.NewBufferString(body))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	for _, bad := range []string{"", `{"hnag": true}`, `{"delay": "5"}`, `{"status": 200}`} {
		require.Equal(t, http.StatusBadRequest, putFaults(bad), bad)
	}
	require.Equal(t, http.StatusOK, putFaults(`{"hang": true}`))
	hung := make(chan error, 1)
	go func() {
		_, err := table.Get(context.Background(), "a//b/../c")
		hung <- err
	}()
	select {
	case err := <-hung:
		require.Fail(t, "the request did not hang", "%v", err)
	case <-time.After(1200 * time.Millisecond): // longer than the default timeout of the HTTP server library
	}
	cancel()
	require.ErrorIs(t, <-hung, platform.ErrUnavailable)
	require.NoError(t, <-stopped)
}

// Guards against a fake platform that reports success although its address is in use.
func TestPlatformAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	require.Error(t, servePlatform(t.Context(), l.Addr().String()))
}
