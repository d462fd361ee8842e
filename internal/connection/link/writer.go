package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// States of a queued message. A message leaves stateQueued once, either to be written or to be withdrawn, so that a sender
// that stops waiting knows for certain whether any byte of it can have reached the peer.
const (
	stateQueued int32 = iota
	stateWriting
	stateWithdrawn
)

// outgoing is a message of one or more frames that are written without other frames between them.
type outgoing struct {
	frames    [][]byte
	state     atomic.Int32
	onWritten func() // called after all frames are written; may be nil
}

// withdraw removes the message if no byte of it was written yet, and reports whether it did.
func (o *outgoing) withdraw() bool {
	return o.state.CompareAndSwap(stateQueued, stateWithdrawn)
}

// writer writes messages in the order in which they were queued. Its writes have no cancellable context, which would cost the
// WebSocket library several allocations and a timer for each frame; writeDuration reveals a blocked write instead.
type writer struct {
	conn      Conn
	lastWrite atomicTime  // start of the last message's write; initially the creation of the writer
	writing   atomic.Bool // that write has not ended

	mu     sync.Mutex
	queue  []*outgoing
	wake   chan struct{} // capacity 1
	closed bool
}

func newWriter(conn Conn) *writer {
	return &writer{conn: conn, lastWrite: atomicTime{base: time.Now()}, wake: make(chan struct{}, 1)}
}

// enqueue queues a message. It reports false if the writer is closed; nothing is written then.
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

// run writes until ctx ends or a write fails. The owner closes the connection when ctx ends, which ends a blocked write.
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

// writeDuration returns how long the write of the current message has taken so far, zero if there is none.
func (w *writer) writeDuration(now time.Time) time.Duration {
	if !w.writing.Load() {
		return 0
	}
	return now.Sub(w.lastWrite.load())
}

// sinceLastWrite returns the time since the last message's write began, or since the writer was created.
func (w *writer) sinceLastWrite(now time.Time) time.Duration { return now.Sub(w.lastWrite.load()) }

func (w *writer) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}
