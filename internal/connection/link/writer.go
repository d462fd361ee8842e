package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// States of a queued message. A message leaves stateQueued once, either to be written or to be withdrawn, so that a sender
// that gives up knows for certain whether any byte of it can have reached the peer.
const (
	stateQueued int32 = iota
	stateWriting
	stateWithdrawn
)

// outgoing is a message of one or more frames that must follow each other.
type outgoing struct {
	frames [][]byte
	state  atomic.Int32
	after  func() // called when all frames were written or the connection failed; may be nil
}

// withdraw reports whether the message was taken back before any byte of it was written.
func (o *outgoing) withdraw() bool {
	return o.state.CompareAndSwap(stateQueued, stateWithdrawn)
}

// writer writes messages in the order in which they were queued. A message that finds nothing else to be written is written
// by the goroutine that made it, which saves a change of goroutines; run writes the others.
//
// No write has a context: one that ends would close the connection. A write that does not end is seen by stalled.
type writer struct {
	conn Conn
	wake chan struct{} // capacity 1

	started atomic.Int64 // UnixNano of the start of the present write, zero if there is none

	mu     sync.Mutex
	queue  []*outgoing
	busy   bool  // a goroutine writes
	rest   bool  // the connection keeps a part of a message, which is written before the next one
	err    error // of a write outside run
	closed bool
}

func newWriter(conn Conn) *writer {
	return &writer{conn: conn, wake: make(chan struct{}, 1)}
}

// enqueue queues a message and reports false if the writer is closed, in which case nothing is written.
func (w *writer) enqueue(o *outgoing) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.add(o)
}

// add queues a message. The caller holds the mutex.
func (w *writer) add(o *outgoing) bool {
	if w.closed {
		return false
	}
	w.queue = append(w.queue, o)
	w.wakeUp()
	return true
}

func (w *writer) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// claim makes the caller the present writer if nothing else is being written; the caller then calls write or writeNow.
// Otherwise it queues the message. It reports false for ok if the writer is closed.
func (w *writer) claim(o *outgoing) (mine, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy || w.rest || len(w.queue) > 0 || w.closed {
		return false, w.add(o)
	}
	w.busy = true
	return true, true
}

// claimNow is claim for a caller that must not wait for the connection.
func (w *writer) claimNow(o *outgoing) (mine, ok bool) {
	if _, can := w.conn.(nonBlocking); !can || len(o.frames) != 1 {
		return false, w.enqueue(o)
	}
	return w.claim(o)
}

// write writes a claimed message and waits for the connection.
func (w *writer) write(o *outgoing) { w.release(false, w.deliver(o)) }

// writeNow writes a message that was claimed with claimNow, without waiting for the connection.
func (w *writer) writeNow(o *outgoing) {
	if !o.state.CompareAndSwap(stateQueued, stateWriting) {
		w.release(false, nil)
		return
	}
	w.release(w.conn.(nonBlocking).WriteNow(o.frames[0]))
}

// deliver writes the frames of a message unless it was withdrawn.
func (w *writer) deliver(o *outgoing) error {
	if !o.state.CompareAndSwap(stateQueued, stateWriting) {
		return nil
	}
	if o.after != nil {
		defer o.after()
	}
	for _, b := range o.frames {
		w.started.Store(time.Now().UnixNano())
		err := w.conn.Write(context.Background(), b)
		w.started.Store(0)
		if err != nil {
			return err
		}
	}
	return nil
}

// release ends a claim.
func (w *writer) release(rest bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy = false
	w.rest = rest
	if err != nil {
		w.err = err
	}
	if rest || err != nil || len(w.queue) > 0 {
		w.wakeUp()
	}
}

// run writes what is queued until the context ends or a write fails.
func (w *writer) run(ctx context.Context) error {
	defer w.close()
	for {
		batch, rest, err := w.take()
		if err == nil && rest {
			err = w.flush()
		}
		if err != nil {
			return err
		}
		if len(batch) == 0 && !rest {
			select {
			case <-w.wake:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		for _, o := range batch {
			if err := w.deliver(o); err != nil {
				return err
			}
		}
		w.release(false, nil)
	}
}

// take claims the writer with everything that is to be written, unless there is nothing or another goroutine writes.
func (w *writer) take() (batch []*outgoing, rest bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil || w.busy || !w.rest && len(w.queue) == 0 {
		return nil, false, w.err
	}
	batch, rest = w.queue, w.rest
	w.queue, w.busy = nil, true
	return batch, rest, nil
}

// flush writes what the connection kept of a message.
func (w *writer) flush() error {
	w.started.Store(time.Now().UnixNano())
	defer w.started.Store(0)
	return w.conn.(nonBlocking).Flush()
}

// stalled returns how long the present write has taken.
func (w *writer) stalled(now time.Time) time.Duration {
	started := w.started.Load()
	if started == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, started))
}

func (w *writer) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}
