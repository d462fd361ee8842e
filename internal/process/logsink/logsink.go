// Package logsink writes log lines without ever holding up who logs: lines wait in a bounded buffer, and those that find it
// full are dropped and counted.
package logsink

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// maxBuffered bounds the lines that wait to be written, in bytes.
const maxBuffered = 256 << 10

// Sink is an io.Writer in front of a slower one. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64

	mu     sync.Mutex
	wake   *sync.Cond
	buffer bytes.Buffer
	closed bool
	done   chan struct{}
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, done: make(chan struct{})}
	s.wake = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// Write takes one line. It never blocks on the output and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.buffer.Len()+len(line) > maxBuffered {
		s.dropped.Add(1)
		return len(line), nil
	}
	s.buffer.Write(line)
	s.wake.Signal()
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what is buffered and ends the sink.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.wake.Signal()
	s.mu.Unlock()
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	var batch bytes.Buffer
	for {
		s.mu.Lock()
		for s.buffer.Len() == 0 && !s.closed {
			s.wake.Wait()
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
