package link

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"

	"github.com/coder/websocket"
)

// nonBlocking is a Conn that can write without waiting for the peer to make room.
type nonBlocking interface {
	// WriteNow writes as much of the message as the operating system takes at once. If it reports a rest, Flush must be
	// called before the next write.
	WriteNow(b []byte) (rest bool, err error)
	// Flush writes the rest and waits for it.
	Flush() error
}

// dialedSocket is the connection of a link that this node dialed.
type dialedSocket struct {
	webSocket
	s *socket
}

// WriteNow implements nonBlocking.
func (d dialedSocket) WriteNow(b []byte) (rest bool, err error) {
	d.s.setNow(true)
	err = d.c.Write(context.Background(), websocket.MessageBinary, b)
	return d.s.setNow(false), err
}

// Flush implements nonBlocking.
func (d dialedSocket) Flush() error { return d.s.flush() }

// socket is a TCP connection that can be kept from waiting in writes. It then keeps what the operating system does not take
// at once and writes it before anything else.
type socket struct {
	net.Conn
	raw syscall.RawConn

	mu   sync.Mutex // held while writing
	now  bool       // writes do not wait
	rest []byte     // reported as written, and not written yet
}

// dialSocket opens a socket.
func dialSocket(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("raw connection: %w", err)
	}
	return &socket{Conn: conn, raw: raw}, nil
}

// setNow switches whether writes wait and reports whether there is a rest.
func (s *socket) setNow(now bool) (rest bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	return len(s.rest) > 0
}

// Write implements net.Conn.
func (s *socket) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.now {
		if err := s.writeRest(); err != nil {
			return 0, err
		}
		return s.Conn.Write(b)
	}
	n := 0
	if len(s.rest) == 0 {
		var err error
		if n, err = s.try(b); err != nil {
			return 0, err
		}
	}
	s.rest = append(s.rest, b[n:]...)
	return len(b), nil
}

// try makes one attempt to write and returns how many bytes were taken.
func (s *socket) try(b []byte) (int, error) {
	var n int
	var failed error
	err := s.raw.Write(func(fd uintptr) bool {
		n, failed = syscall.Write(int(fd), b)
		return true // also when nothing was taken: false would wait
	})
	switch {
	case err != nil:
		return 0, err
	case failed == syscall.EAGAIN || failed == syscall.EINTR:
		return 0, nil
	case failed != nil:
		return 0, fmt.Errorf("write: %w", failed)
	}
	return n, nil
}

func (s *socket) flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeRest()
}

// writeRest writes the rest and waits for it. The caller holds the mutex.
func (s *socket) writeRest() error {
	if len(s.rest) == 0 {
		return nil
	}
	_, err := s.Conn.Write(s.rest)
	s.rest = nil
	return err
}
