package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// foreign sends a node one status report of another writer, with a field missing and another of another type, which therefore names no
// back end to use. The back end of the machine goes on reporting.
func foreign(l *lab, trouble bool) (bool, error) {
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
	backends := map[*node]*backend{}
	for _, n := range []*node{desk, board} {
		b := &backend{slots: 36, quiet: true}
		backends[n] = b
		if err := n.startBackend(b); err != nil {
			return false, err
		}
		if err := n.start(); err != nil {
			return false, err
		}
	}
	for _, path := range []string{"/board/warm", "/desk/warm"} {
		if err := l.awaitServed(desk, path); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second) // longer than the window after a start
	if trouble {
		body, _ := json.Marshal(map[string]any{
			"address": at(board.ip, portTarget), "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "board", "zone": 7, "capacity": 36},
			"status": map[string]any{"phase": "ready", "sequence": 1, "warmup_left_s": 0},
		})
		l.note("another writer reports to node %s: %s", board.ip, body)
		resp, err := http.Post("http://"+at(board.ip, portControl)+names["heartbeat"]+"i-other", "application/json", bytes.NewReader(body))
		if err != nil {
			return false, err
		}
		_ = resp.Body.Close()
		l.note("node %s answers %d", board.ip, resp.StatusCode)
	}
	const rounds = 40
	served := map[string]int{}
	for i := range rounds {
		for _, kind := range []string{"board", "desk"} {
			if a := l.get(desk, "/"+kind+"/read", fmt.Sprintf("%s%d", kind, i), 3*time.Second); a.status == http.StatusOK {
				served[kind]++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	all := float64(served["board"]+served["desk"]) / (2 * rounds)
	share := float64(served["board"]) / rounds
	l.note("served: board %d of %d, desk %d of %d; the back end of board reports still: %v", served["board"], rounds, served["desk"], rounds,
		backends[board].beat())
	return share < all/4, nil
}
