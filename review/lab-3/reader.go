package main

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// reader stops a node gracefully while a caller that pipelines reads its answer late.
func reader(l *lab, trouble bool) (bool, error) {
	if err := l.begin(configuration(4, []any{route("desk", "/desk/", "idempotent", "desk", 5)}, "desk")); err != nil {
		return false, err
	}
	desk, err := l.addNode(1, "desk", "z1")
	if err != nil {
		return false, err
	}
	b := &backend{slots: 36, work: func(r *http.Request) time.Duration { return 300 * time.Millisecond }, size: func(r *http.Request) int {
		if strings.HasPrefix(r.URL.Path, "/desk/big") {
			return 30000
		}
		return 100
	}}
	if err := desk.startBackend(b); err != nil {
		return false, err
	}
	if err := desk.start(); err != nil {
		return false, err
	}
	if err := l.awaitServed(desk, "/desk/warm"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // longer than the window after a start
	// A small buffer stands for a link with small windows: what the caller does not read stays at the node.
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	nc, err := d.Dial("tcp", at(desk.ip, portCallers))
	if err != nil {
		return false, err
	}
	c := &caller{l: l, nc: nc}
	defer nc.Close()
	if err := c.send(head(http.MethodGet, "/desk/big/1", "first", 5*time.Second, "")); err != nil {
		return false, err
	}
	l.note("caller: sent first")
	time.Sleep(100 * time.Millisecond)
	if trouble {
		desk.signal(syscall.SIGTERM)
	}
	time.Sleep(1200 * time.Millisecond)
	if err := c.send(head(http.MethodGet, "/desk/big/2", "second", 5*time.Second, "")); err != nil {
		l.note("caller: second not sent: %v", err)
	}
	l.note("caller: sent second, begins to read")
	time.Sleep(100 * time.Millisecond)
	c.br = bufio.NewReader(nc)
	a := c.receive("first")
	if a.status == http.StatusOK && !a.close {
		c.receive("second")
	}
	return a.status == 0 && b.of(b.ended, "first") == 1, nil
}
