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
	frames    [][]byte
	state     atomic.Int32
	onWritten func() // called when all frames were written; may be nil
}

// withdraw reports whether the message was taken back before any byte of it was written.
func (o *outgoing) withdraw() bool {
	return o.state.CompareAndSwap(stateQueued, stateWithdrawn)
}

// writer writes messages in the order in which they were queued. Its writes have no context, because a context that can end
// costs the library several allocations and a timer for each frame; writeDuration shows a write that does not end.
type writer struct {
	conn      Conn
	lastWrite atomicTime  // start of the last write
	writing   atomic.Bool // it has not ended

	mu     sync.Mutex
	queue  []*outgoing
	wake   chan struct{} // capacity 1
	closed bool
}

func newWriter(conn Conn) *writer {
	return &writer{conn: conn, lastWrite: atomicTime{base: time.Now()}, wake: make(chan struct{}, 1)}
}

// enqueue queues a message and reports false if the writer is closed, in which case nothing is written.
func (w *writer) enqueue(o *outgoing) bool {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return false
	}
	w.queue = append(w.queue, o)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return true
}

// run writes until the context ends or a write fails. The connection is closed when the context ends, which ends its writes.
func (w *writer) run(ctx context.Context) error {
	defer w.close()
	for {
		batch := w.take()
		if len(batch) == 0 {
			select {
			case <-w.wake:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		for _, o := range batch {
			if !o.state.CompareAndSwap(stateQueued, stateWriting) {
				continue
			}
			if err := w.write(o); err != nil {
				return err
			}
			if o.onWritten != nil {
				o.onWritten()
			}
		}
	}
}

func (w *writer) take() []*outgoing {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.queue
	w.queue = nil
	return batch
}

func (w *writer) write(o *outgoing) error {
	w.lastWrite.setNow()
	w.writing.Store(true)
	defer w.writing.Store(false)
	for _, b := range o.frames {
		if err := w.conn.Write(context.Background(), b); err != nil {
			return err
		}
	}
	return nil
}

// writeDuration returns how long the present message has been written.
func (w *writer) writeDuration(now time.Time) time.Duration {
	if !w.writing.Load() {
		return 0
	}
	return now.Sub(w.lastWrite.load())
}

// sinceLastWrite returns how long nothing was written.
func (w *writer) sinceLastWrite(now time.Time) time.Duration { return now.Sub(w.lastWrite.load()) }

func (w *writer) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}
