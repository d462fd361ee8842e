package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	deadlyPath   = "/cat/deadly"
	deadlyPeriod = 4 * time.Second
	deadlyCount  = 11
	backAfter    = 2 * time.Second // a back end that was crashed is back
	stableWindow = 3 * time.Second // stable_window_s of the settings
	maxRetries   = 3               // of the rule
)

// deadlySite is a site whose back ends crash when they begin to run deadlyPath.
type deadlySite struct {
	l     *lab
	nodes []*node

	mu      sync.Mutex
	runs    []time.Time         // of deadlyPath
	started map[*node]time.Time // of the node's process
}

func (s *deadlySite) startBackend(n *node) error {
	b := &backend{slots: 36, work: func(*http.Request) time.Duration { return 20 * time.Millisecond }}
	b.run = func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path != deadlyPath {
			return true
		}
		s.mu.Lock()
		s.runs = append(s.runs, time.Now())
		s.l.note("backend at %s crashes: run %d of %s", n.ip, len(s.runs), deadlyPath)
		s.mu.Unlock()
		b.crash()
		go func() {
			time.Sleep(backAfter)
			if err := s.startBackend(n); err != nil {
				s.l.note("backend at %s is not back: %v", n.ip, err)
				return
			}
			s.l.note("backend at %s is back", n.ip)
		}()
		return false
	}
	return n.startBackend(b)
}

func (s *deadlySite) startNode(n *node) error {
	s.mu.Lock()
	s.started[n] = time.Now()
	s.mu.Unlock()
	return n.start()
}

// inTouch reports whether all nodes have run for the stable window at a time.
func (s *deadlySite) inTouch(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		if at.Sub(s.started[n]) < stableWindow {
			return false
		}
	}
	return true
}

// deadly sends a request that crashes the back ends which run it, again and again. In between all nodes are killed at the same moment
// and start again.
func deadly(l *lab, trouble bool) (bool, error) {
	if err := l.begin(configuration(4, []any{route("cat", "/cat/", "idempotent", "cat", 5)}, "cat")); err != nil {
		return false, err
	}
	s := &deadlySite{l: l, started: map[*node]time.Time{}}
	for i := range 3 {
		n, err := l.addNode(1+i, "cat", fmt.Sprintf("z%d", 1+i%2))
		if err != nil {
			return false, err
		}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		if err := s.startBackend(n); err != nil {
			return false, err
		}
		if err := s.startNode(n); err != nil {
			return false, err
		}
	}
	for _, n := range s.nodes {
		if err := l.awaitServed(n, "/cat/warm"); err != nil {
			return false, err
		}
	}
	time.Sleep(stableWindow + time.Second)
	lostOrdinary := s.sendOrdinary()
	killAt := time.Now().Add(2*deadlyPeriod + deadlyPeriod/2)
	var sent []time.Time
	var all sync.WaitGroup
	for i := range deadlyCount {
		sent = append(sent, time.Now())
		n := s.nodes[i%len(s.nodes)]
		l.note("caller: sends the deadly request to node %s, in touch: %v", n.ip, s.inTouch(time.Now()))
		all.Go(func() { l.get(n, deadlyPath, fmt.Sprintf("deadly%d", i), 3*time.Second) })
		next := sent[i].Add(deadlyPeriod)
		if trouble && killAt.Before(next) && killAt.After(sent[i]) {
			time.Sleep(time.Until(killAt))
			if err := s.killAll(); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(next))
	}
	all.Wait()
	lost := lostOrdinary()
	s.mu.Lock()
	runs := s.runs
	s.mu.Unlock()
	if len(runs) < 3 {
		return false, fmt.Errorf("the deadly request has run %d times only", len(runs))
	}
	retries := 0
	for _, at := range runs[3:] {
		if at.Sub(runs[2]) > stableWindow && s.wasInTouch(at, trouble, killAt) {
			retries++
		}
	}
	l.note("%d runs; %d of them are retries by machines in touch later than %v after the third crash; %d allowed", len(runs), retries, stableWindow, maxRetries)
	l.note("%d ordinary requests got no answer of a back end", lost)
	return retries > maxRetries, nil
}

// wasInTouch reports whether the nodes were in touch at a time. The starts after the kill are those that count for what followed it.
func (s *deadlySite) wasInTouch(at time.Time, killed bool, killAt time.Time) bool {
	if killed && at.After(killAt) {
		return s.inTouch(at)
	}
	return true
}

func (s *deadlySite) killAll() error {
	for _, n := range s.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range s.nodes {
		<-n.exited
	}
	time.Sleep(time.Second)
	for _, n := range s.nodes {
		if err := s.startNode(n); err != nil {
			return err
		}
	}
	return nil
}

// sendOrdinary sends requests that harm nobody until the returned function is called, which returns how many of those failed that were
// sent to a running node.
func (s *deadlySite) sendOrdinary() (stop func() int) {
	done := make(chan struct{})
	var failed int
	var all sync.WaitGroup
	all.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			n := s.nodes[i%len(s.nodes)]
			if !s.inTouch(time.Now()) {
				continue
			}
			if a := s.l.get(n, fmt.Sprintf("/cat/ordinary%d", i), fmt.Sprintf("ordinary%d", i), 3*time.Second); a.status != http.StatusOK {
				failed++
			}
		}
	})
	return func() int {
		close(done)
		all.Wait()
		return failed
	}
}
