package entry

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// A caller that closes its connection and one that only ends its sending look the same to a reader: the stream ends. A write tells them
// apart, as a closed connection answers it with a reset. All responses begin with the same bytes (statusLineStart), which are therefore
// sent ahead, one at a time, as probes: a caller that still waits finds nothing unusual in its response.

// firstProbeDelay is the time between the first two probes, which then doubles. A reset needs a round trip to arrive, and only the write
// after that fails.
const firstProbeDelay = 20 * time.Millisecond

// allAnswered returns a channel that is closed when all requests that were read are answered, or nil if there are none.
func (c *conn) allAnswered() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastDone
}

// awaitAnswered waits until all requests that were read are answered, and discards what the caller sends meanwhile. If the caller leaves,
// it returns errCallerLeft at once.
func (c *conn) awaitAnswered() error {
	c.in.remaining = -1
	_, err := c.awaitAnsweredOr(func() bool {
		_, _ = c.br.Discard(c.br.Buffered()) // does not fail, as it reads nothing
		return false
	})
	return err
}

// awaitInput waits until all requests that were read are answered, which it reports, or until the caller sends something. If the caller
// leaves, it returns errCallerLeft at once.
func (c *conn) awaitInput() (answered bool, err error) {
	return c.awaitAnsweredOr(func() bool { return true })
}

// awaitAnsweredOr waits until all requests that were read are answered, which it reports, or until the function, which it calls whenever
// there is input, returns true. It changes the read deadline.
func (c *conn) awaitAnsweredOr(input func() bool) (answered bool, err error) {
	done := c.allAnswered()
	if done == nil {
		return true, nil
	}
	defer c.interruptRead(done)()
	for !c.clearReadDeadline(done) {
		_, err := c.br.Peek(1)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
		case err != nil:
			return true, c.readFailed()
		case input():
			return false, nil
		}
	}
	return true, nil
}

// awaitAnsweredUnread waits until all requests that were read are answered, and leaves what the caller sends meanwhile with the kernel. If
// the caller leaves, it returns errCallerLeft at once.
func (c *conn) awaitAnsweredUnread() error {
	done := c.allAnswered()
	if done == nil {
		return nil
	}
	raw, ok := rawConn(c.nc)
	if !ok {
		select {
		case <-done:
			return nil
		case <-c.ctx.Done():
			return errCallerLeft
		}
	}
	defer c.interruptRead(done)()
	for !c.clearReadDeadline(done) {
		switch err := raw.Read(streamEnded); {
		case err == nil:
			return c.probeUntil(done)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return errCallerLeft
		}
	}
	return nil
}

func rawConn(nc net.Conn) (syscall.RawConn, bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := sc.SyscallConn()
	return raw, err == nil
}

// interruptRead lets the current read fail when done is closed, until the returned function is called.
func (c *conn) interruptRead(done <-chan struct{}) (stop func()) {
	stopped, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-done:
			c.mu.Lock()
			defer c.mu.Unlock()
			_ = c.nc.SetReadDeadline(time.Now())
		case <-stopped:
		}
	}()
	return func() {
		close(stopped)
		<-ended
	}
}

// clearReadDeadline lets reads wait without a limit, unless done is closed, which it reports.
func (c *conn) clearReadDeadline(done <-chan struct{}) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-done:
		return true
	default:
		_ = c.nc.SetReadDeadline(time.Time{})
		return false
	}
}

// readFailed is called when the connection cannot be read any more. If its caller has only ended its sending, it waits until all requests
// that were read are answered. If the caller has left, or leaves meanwhile, it returns errCallerLeft.
func (c *conn) readFailed() error {
	if !errors.Is(c.in.failure, io.EOF) {
		return errCallerLeft
	}
	done := c.allAnswered()
	if done == nil {
		return nil
	}
	return c.probeUntil(done)
}

// probeUntil probes a connection whose caller sends nothing more until done is closed. If the caller has left, it returns errCallerLeft.
func (c *conn) probeUntil(done <-chan struct{}) error {
	for delay := firstProbeDelay; ; delay *= 2 {
		if c.probe() != nil {
			return errCallerLeft
		}
		timer := time.NewTimer(delay)
		select {
		case <-done:
			timer.Stop()
			return nil
		case <-c.ctx.Done():
			timer.Stop()
			return errCallerLeft
		case <-timer.C:
		}
	}
}

// probe sends the next byte of statusLineStart ahead of the next response. It fails if the caller has left and an earlier write was
// answered with a reset. While a response is being written, that fails instead.
func (c *conn) probe() error {
	if !c.writing.TryLock() {
		return nil
	}
	defer c.writing.Unlock()
	c.mu.Lock()
	due := c.waiting > 0
	c.mu.Unlock()
	if !due || c.sentAhead == len(statusLineStart) {
		return nil
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(firstProbeDelay)) // the buffer of the connection has room if no response is being written
	n, err := io.WriteString(c.nc, statusLineStart[c.sentAhead:c.sentAhead+1])
	c.sentAhead += n
	if isTimeout(err) {
		return nil
	}
	return err
}
