package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// grace is grace_s of the settings.
const grace = 6 * time.Second

// latin1 stops a node gracefully while a back end of another machine is at work on its callers' requests. A further caller sends one
// request with a header field in Latin-1 on its open connection.
func latin1(l *lab, trouble bool) (bool, error) {
	if err := l.begin(configuration(4, []any{
		route("board", "/board/", "idempotent", "board", 5), route("desk", "/desk/", "idempotent", "desk", 5),
	}, "board", "desk")); err != nil {
		return false, err
	}
	desk, err := l.addNode(1, "desk", "z1")
	if err != nil {
		return false, err
	}
	board, err := l.addNode(2, "board", "z1")
	if err != nil {
		return false, err
	}
	var boardBackend *backend
	for _, n := range []*node{desk, board} {
		b := &backend{slots: 36, work: func(r *http.Request) time.Duration {
			if strings.HasPrefix(r.URL.Path, "/board/long") {
				return 1500 * time.Millisecond
			}
			return 10 * time.Millisecond
		}}
		boardBackend = b // the last one
		if err := n.startBackend(b); err != nil {
			return false, err
		}
		if err := n.start(); err != nil {
			return false, err
		}
	}
	for _, n := range []*node{desk, board} {
		if err := l.awaitServed(n, "/board/warm"); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		if a := l.get(desk, "/board/long", fmt.Sprintf("calm%d", i), 5*time.Second); a.status != http.StatusOK {
			return false, fmt.Errorf("in calm: %v", a)
		}
	}
	time.Sleep(4 * time.Second) // longer than the window after a start
	other, err := l.connect(desk)
	if err != nil {
		return false, err
	}
	defer other.nc.Close()
	desk.signal(syscall.SIGTERM)
	stopped := time.Now()
	const ordinary = 10
	answers := make([]answer, ordinary)
	var all sync.WaitGroup
	for i := range ordinary {
		all.Go(func() { answers[i] = l.get(desk, "/board/long", fmt.Sprintf("ordinary%d", i), 5*time.Second) })
	}
	time.Sleep(700 * time.Millisecond)
	name := "Cafe"
	if trouble {
		name = "Caf\xe9"
	}
	l.note("another caller sends a request with the field X-Store: %q", name)
	if err := other.send(head(http.MethodGet, "/board/other", "other", 5*time.Second, "X-Store: "+name+"\r\n")); err != nil {
		return false, err
	}
	other.receive("other")
	all.Wait()
	lost := 0
	for _, a := range answers {
		// The back end was at work, and what it answered did not come, well before the last sixth of the grace time and the time-outs.
		if boardBackend.of(boardBackend.began, a.attempt) > 0 && !a.stamped && a.at.Sub(stopped) < grace*5/6 {
			lost++
		}
	}
	l.note("%d of %d ordinary requests were broken off while their back end was at work", lost, ordinary)
	return lost > 0, nil
}
