package httpserver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against clients that never complete a request and lock out all others.
func TestSlowClientsDoNotLockOutOthers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := New(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	LimitTimes(srv)
	LimitConnections(srv, 4)
	go func() { _ = srv.Start(context.Background()) }()
	defer srv.Close()
	var slow []net.Conn
	for range 20 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n")
		slow = append(slow, c)
	}
	resp, err := http.Get("http://" + l.Addr().String())
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	open := 0
	for _, c := range slow {
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		var timeout net.Error
		if _, err := c.Read(make([]byte, 1)); err != nil && errors.As(err, &timeout) && timeout.Timeout() {
			open++
		}
	}
	require.LessOrEqual(t, open, 4)
}
