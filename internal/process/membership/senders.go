package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueued is the maximum number of messages queued for one peer. The whole view of 2,300 members takes 12.
const maxQueued = 64

// senders sends messages to each peer in order, and independently of other peers, so that one that hangs does not delay
// them. A peer has a goroutine only while messages to it are queued.
type senders struct {
	transport Transport
	timeout   time.Duration
	dropped   atomic.Int64

	mu      sync.Mutex
	ctx     context.Context // nil until start
	queues  map[string][]*Message
	drained chan struct{} // closed when all queues are empty; nil unless waitIdle is waiting
	wg      sync.WaitGroup
}

func (s *senders) init(t Transport, timeout time.Duration) {
	s.transport, s.timeout, s.queues = t, timeout, map[string][]*Message{}
}

func (s *senders) start(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
}

// stop rejects further messages and waits for the goroutines to end. The context given to start must have ended.
func (s *senders) stop() {
	s.mu.Lock()
	s.ctx = nil
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *senders) send(e Envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil {
		return
	}
	queue, busy := s.queues[e.To]
	if len(queue) >= maxQueued {
		s.dropped.Add(1)
		return
	}
	s.queues[e.To] = append(queue, e.Message)
	if !busy {
		s.wg.Add(1)
		go s.sendQueued(s.ctx, e.To)
	}
}

// sendQueued sends the messages queued for one peer. After a failure the rest is dropped, because it would fail as well
// and would be stale by the time the peer is reachable again.
func (s *senders) sendQueued(ctx context.Context, peer string) {
	defer s.wg.Done()
	failed := false
	for {
		s.mu.Lock()
		queue := s.queues[peer]
		if len(queue) == 0 || failed || ctx.Err() != nil {
			s.dropped.Add(int64(len(queue)))
			delete(s.queues, peer)
			if len(s.queues) == 0 && s.drained != nil {
				close(s.drained)
				s.drained = nil
			}
			s.mu.Unlock()
			return
		}
		msg := queue[0]
		s.queues[peer] = queue[1:]
		s.mu.Unlock()
		failed = s.sendOne(ctx, peer, msg) != nil
	}
}

func (s *senders) sendOne(ctx context.Context, peer string, msg *Message) error {
	payload, err := msg.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.transport.Send(ctx, peer, payload)
}

// waitIdle waits until no message is queued or being sent.
func (s *senders) waitIdle(ctx context.Context) error {
	s.mu.Lock()
	if len(s.queues) == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.drained == nil {
		s.drained = make(chan struct{})
	}
	drained := s.drained
	s.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
