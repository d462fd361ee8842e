package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
)

// States of a queued message. A message leaves stateQueued once, either to be written or to be withdrawn, so that a sender
// that stops waiting knows for certain whether any byte of it can have reached the peer.
const (
	stateQueued int32 = iota
	stateWriting
	stateWithdrawn
)

// outgoing is a message of one or more frames. Other messages may be written between the parts of its body.
type outgoing struct {
	frame     []byte // first frame; nil if the message consists of parts of a body only
	body      []byte // from offset on it is written in parts, each encoded when its turn comes
	offset    int
	stream    uint64 // of the body
	state     atomic.Int32
	dropped   atomic.Bool // the rest of the body is not wanted any more
	onWritten func()      // called after all frames are written, or dropped; may be nil
}

// drop ends the writing of the body after the part that is being written.
func (o *outgoing) drop() { o.dropped.Store(true) }

// withdraw removes the message if no byte of it was written yet, and reports whether it did.
func (o *outgoing) withdraw() bool {
	return o.state.CompareAndSwap(stateQueued, stateWithdrawn)
}

// writer writes messages in the order in which they were queued, and the parts of bodies in turn, one after each round of other
// messages: a large body delays small messages by one part. Its writes have no cancellable context, which would cost the
// WebSocket library several allocations and a timer for each frame; writeDuration reveals a blocked write instead.
type writer struct {
	conn      Conn
	lastWrite atomicTime  // start of the last frame's write; initially the creation of the writer
	writing   atomic.Bool // that write has not ended

	mu     sync.Mutex
	queue  []*outgoing
	bodies []*outgoing   // with parts left; only accessed by run
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
		if len(batch) == 0 && len(w.bodies) == 0 {
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
			if o.frame != nil {
				if err := w.write(o.frame); err != nil {
					return err
				}
				o.frame = nil
			}
			w.endOrContinue(o)
		}
		if err := w.writePart(); err != nil {
			return err
		}
		if len(w.bodies) > 0 && ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// writePart writes the next part of the body whose turn it is.
func (w *writer) writePart() error {
	if len(w.bodies) == 0 {
		return nil
	}
	o := w.bodies[0]
	w.bodies = append(w.bodies[:0], w.bodies[1:]...)
	if !o.dropped.Load() {
		b, next, err := wire.EncodePart(o.stream, o.body, o.offset)
		if err != nil {
			return err
		}
		if err := w.write(b); err != nil {
			return err
		}
		o.offset = next
	}
	w.endOrContinue(o)
	return nil
}

// endOrContinue puts a message with parts left behind the other bodies, or ends it.
func (w *writer) endOrContinue(o *outgoing) {
	if o.offset < len(o.body) && !o.dropped.Load() {
		w.bodies = append(w.bodies, o)
		return
	}
	o.body = nil
	if o.onWritten != nil {
		o.onWritten()
	}
}

func (w *writer) take() []*outgoing {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.queue
	w.queue = nil
	return batch
}

func (w *writer) write(frame []byte) error {
	w.lastWrite.setNow()
	w.writing.Store(true)
	defer w.writing.Store(false)
	return w.conn.Write(context.Background(), frame)
}

// writeDuration returns how long the write of the current frame has taken so far, zero if there is none.
func (w *writer) writeDuration(now time.Time) time.Duration {
	if !w.writing.Load() {
		return 0
	}
	return now.Sub(w.lastWrite.load())
}

// sinceLastWrite returns the time since the last frame's write began, or since the writer was created.
func (w *writer) sinceLastWrite(now time.Time) time.Duration { return now.Sub(w.lastWrite.load()) }

func (w *writer) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}
