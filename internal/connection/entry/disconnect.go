package entry

import (
	"errors"
	"os"
	"time"
)

// newest returns a channel that is closed when all requests that were read are answered, or nil if there are none.
func (c *conn) newest() <-chan struct{} {
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
	done := c.newest()
	if done == nil {
		return true, nil
	}
	defer c.interruptRead(done)()
	for !c.clearReadDeadline(done) {
		_, err := c.br.Peek(1)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
		case err != nil:
			return true, errCallerLeft
		case input():
			return false, nil
		}
	}
	return true, nil
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
