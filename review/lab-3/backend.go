package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// backend is a sound back end. It reports to the node of its machine, checks the instance that a request expects, echoes the attempt ID
// and stamps its answers.
type backend struct {
	l        *lab
	n        *node
	instance string
	born     int64
	slots    int
	work     func(*http.Request) time.Duration
	size     func(*http.Request) int // bytes of the answer's body
	run      func(w http.ResponseWriter, r *http.Request) bool
	quiet    bool                 // runs are not recorded one by one
	onBegin  func(attempt string) // called when a run begins; nil: nothing

	mu       sync.Mutex
	phase    string
	sequence int
	began    map[string]int // runs by attempt ID
	ended    map[string]int // runs that were answered
	broken   map[string]int // runs whose connection closed before the answer
	srv      *http.Server
	stop     chan struct{}
	once     sync.Once // guards crash
}

func (n *node) startBackend(b *backend) error {
	listener, err := net.Listen("tcp", at(n.ip, portTarget))
	if err != nil {
		return err
	}
	b.l, b.n, b.born, b.phase = n.l, n, time.Now().UnixMilli(), "ready"
	b.instance = fmt.Sprintf("i-%s-%d", n.ip, b.born)
	b.began, b.ended, b.broken = map[string]int{}, map[string]int{}, map[string]int{}
	b.stop = make(chan struct{})
	b.srv = &http.Server{Handler: b}
	go func() { _ = b.srv.Serve(listener) }()
	go b.report()
	n.l.onClose(b.crash)
	return nil
}

// crash ends the back end at once. It may be called more than once.
func (b *backend) crash() {
	b.once.Do(func() {
		close(b.stop)
		_ = b.srv.Close()
	})
}

const (
	reportInterval = 1500 * time.Millisecond // heartbeat_s of the settings
	reportRetry    = 300 * time.Millisecond  // after a report that was not acknowledged
)

func (b *backend) report() {
	for {
		pause := reportRetry
		if b.beat() {
			pause = reportInterval
		}
		select {
		case <-b.stop:
			return
		case <-time.After(pause):
		}
	}
}

func (b *backend) beat() bool {
	b.mu.Lock()
	b.sequence++
	body, _ := json.Marshal(map[string]any{
		"address": at(b.n.ip, portTarget), "born": b.born,
		"info":   map[string]any{"service": b.n.service, "version": "v1", "zone": "z1", "capacity": b.slots},
		"status": map[string]any{"phase": b.phase, "sequence": b.sequence, "warmup_left_s": 0},
	})
	b.mu.Unlock()
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+at(b.n.ip, portControl)+names["heartbeat"]+b.instance, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *backend) setOnBegin(f func(attempt string)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onBegin = f
}

func (b *backend) setPhase(phase string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.phase = phase
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set(names["instance"], b.instance)
		return
	}
	attempt := r.Header.Get(names["attempt"])
	w.Header().Set(names["attempt"], attempt)
	if want := r.Header.Get(names["expected"]); want != "" && want != b.instance {
		w.Header().Set(names["instance"], b.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.count(b.began, attempt)
	b.mu.Lock()
	onBegin := b.onBegin
	b.mu.Unlock()
	if onBegin != nil {
		onBegin(attempt)
	}
	if !b.quiet {
		b.l.note("backend %s begins %s %s", b.n.service, attempt, r.URL.Path)
	}
	if b.run != nil && !b.run(w, r) {
		return
	}
	work := time.Duration(0)
	if b.work != nil {
		work = b.work(r)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		b.count(b.broken, attempt)
		b.l.note("backend %s: the connection of %s was closed during its run", b.n.service, attempt)
		return
	}
	size := 100
	if b.size != nil {
		size = b.size(r)
	}
	w.Header().Set(names["stamp"], b.instance+"."+attempt)
	w.Header().Set("Content-Length", fmt.Sprint(size))
	_, _ = w.Write(bytes.Repeat([]byte{'x'}, size))
	b.count(b.ended, attempt)
	if !b.quiet {
		b.l.note("backend %s has answered %s with 200 and %d bytes", b.n.service, attempt, size)
	}
}

func (b *backend) count(m map[string]int, attempt string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m[attempt]++
}

func (b *backend) of(m map[string]int, attempt string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return m[attempt]
}
