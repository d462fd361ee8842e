// Package logsink writes log lines without blocking the goroutines that log: lines are buffered up to a limit, and lines that
// do not fit into the buffer are dropped and counted.
package logsink

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// maxBuffered bounds the size of the lines that are buffered, in bytes.
const maxBuffered = 256 << 10

// Sink is a non-blocking io.Writer in front of one that may block. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	changed *sync.Cond // buffer or closed has changed
	buffer  bytes.Buffer
	closed  bool
	done    chan struct{}
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, done: make(chan struct{})}
	s.changed = sync.NewCond(&s.mu)
	go s.writeLoop()
	return s
}

// Write buffers one line, or drops it if the buffer is full or the sink is closed. It never blocks on the output and never
// returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.buffer.Len()+len(line) > maxBuffered {
		s.dropped.Add(1)
		return len(line), nil
	}
	s.buffer.Write(line)
	s.changed.Signal()
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or that the output failed to write.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the buffered lines and stops the sink. Lines that are written to the sink later are dropped.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.changed.Signal()
	s.mu.Unlock()
	<-s.done
}

func (s *Sink) writeLoop() {
	defer close(s.done)
	var batch bytes.Buffer
	for {
		s.mu.Lock()
		for s.buffer.Len() == 0 && !s.closed {
			s.changed.Wait()
		}
		if s.buffer.Len() == 0 {
			s.mu.Unlock()
			return
		}
		batch.Reset()
		batch, s.buffer = s.buffer, batch
		s.mu.Unlock()
		if _, err := s.out.Write(batch.Bytes()); err != nil {
			s.dropped.Add(int64(bytes.Count(batch.Bytes(), []byte{'\n'})))
		}
	}
}
