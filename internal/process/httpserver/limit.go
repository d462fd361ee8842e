package httpserver

import (
	"net"
	"net/http"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

const (
	// headerTimeout, requestTimeout and writeTimeout bound the header, the whole request and the response. The requests of these interfaces
	// are small and are answered within a second or two.
	headerTimeout  = 3 * time.Second
	requestTimeout = 10 * time.Second
	writeTimeout   = 20 * time.Second
	// idleTimeout is well above the interval of a target's reports and of a scrape.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes is the operator's usual limit on headers.
	maxHeaderBytes = 16 << 10
)

// LimitTimes bounds the time that a client may take for a request. Connections that a handler takes over are not bounded.
func LimitTimes(srv *khttp.Server) {
	srv.ReadHeaderTimeout, srv.ReadTimeout, srv.WriteTimeout, srv.IdleTimeout = headerTimeout, requestTimeout, writeTimeout, idleTimeout
	srv.MaxHeaderBytes = maxHeaderBytes
}

// connections are the open connections of a server.
type connections struct {
	limit int

	mu    sync.Mutex
	since map[net.Conn]time.Time // when its state last changed
}

// LimitConnections bounds the open connections. A new one above the limit takes the place of the one whose state has not changed for
// longest, so that slow clients cannot lock out others.
func LimitConnections(srv *khttp.Server, limit int) {
	c := &connections{limit: limit, since: map[net.Conn]time.Time{}}
	srv.ConnState = c.changed
}

func (c *connections) changed(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.since, nc)
	default:
		c.since[nc] = time.Now()
		if state == http.StateNew && len(c.since) > c.limit {
			c.closeOldest(nc)
		}
	}
}

// closeOldest closes the connection that has been in its state for longest, other than the new one. Connections in use change their state
// with each request. The caller holds the mutex.
func (c *connections) closeOldest(fresh net.Conn) {
	var oldest net.Conn
	for nc, since := range c.since {
		if nc != fresh && (oldest == nil || since.Before(c.since[oldest])) {
			oldest = nc
		}
	}
	if oldest != nil {
		delete(c.since, oldest)
		_ = oldest.Close()
	}
}
