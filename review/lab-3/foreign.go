package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// drainTime is drain_s of the settings.
const drainTime = 2 * time.Second

// foreign drains one of two back ends. After the acknowledgement, its node gets one status report of another writer, with a field missing
// and another of another type, which therefore names no back end to use. The back end goes on reporting that it drains.
func foreign(l *lab, trouble bool) (bool, error) {
	if err := l.begin(configuration(4, []any{route("board", "/board/", "idempotent", "board", 5)}, "board", "desk")); err != nil {
		return false, err
	}
	var nodes []*node
	var backends []*backend
	for i, service := range []string{"desk", "board", "board"} {
		n, err := l.addNode(1+i, service, "z1")
		if err != nil {
			return false, err
		}
		b := &backend{slots: 36, quiet: true}
		if err := n.startBackend(b); err != nil {
			return false, err
		}
		if err := n.start(); err != nil {
			return false, err
		}
		nodes, backends = append(nodes, n), append(backends, b)
	}
	desk, leaving := nodes[0], backends[1]
	for _, n := range nodes {
		if err := l.awaitServed(n, "/board/warm"); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second) // longer than the window after a start
	var mu sync.Mutex
	var runs []time.Time // at the back end that leaves
	leaving.setOnBegin(func(attempt string) {
		l.note("back end %s begins %s", leaving.instance, attempt)
		mu.Lock()
		defer mu.Unlock()
		runs = append(runs, time.Now())
	})
	leaving.setPhase("draining")
	var acknowledged time.Time
	if err := await(4*time.Second, "the drain is acknowledged", func() bool {
		ok := leaving.beat()
		acknowledged = time.Now()
		return ok
	}); err != nil {
		return false, err
	}
	l.note("node %s has acknowledged that its back end drains", leaving.n.ip)
	failed := 0
	reported := false
	for i := 0; time.Since(acknowledged) < 10*time.Second; i++ {
		if trouble && !reported && time.Since(acknowledged) > time.Second {
			reported = true
			if err := leaving.reportOfOther(); err != nil {
				return false, err
			}
		}
		if a := l.get(desk, "/board/read", fmt.Sprintf("read%d", i), 3*time.Second); a.status != http.StatusOK {
			failed++
		}
		time.Sleep(50 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range runs {
		if at.Sub(acknowledged) > drainTime {
			late++
		}
	}
	l.note("%d requests began at the back end that leaves later than %v after the acknowledgement; %d requests failed", late, drainTime, failed)
	return late > 0, nil
}

// reportOfOther sends the node a report that names this back end, with a zone of another type and without a version.
func (b *backend) reportOfOther() error {
	body, err := json.Marshal(map[string]any{
		"address": at(b.n.ip, portTarget), "born": b.born,
		"info":   map[string]any{"service": b.n.service, "zone": 7, "capacity": b.slots},
		"status": map[string]any{"phase": "ready", "sequence": 100000, "warmup_left_s": 0},
	})
	if err != nil {
		return err
	}
	b.l.note("another writer reports to node %s of %s: %s", b.n.ip, b.instance, body)
	resp, err := http.Post("http://"+at(b.n.ip, portControl)+names["heartbeat"]+b.instance, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	b.l.note("node %s answers %d", b.n.ip, resp.StatusCode)
	return nil
}
