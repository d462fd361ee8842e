package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// rollingStop stops two nodes in turn (the disruption), one second apart: first the one beside the backend that runs orders, then the one
// that has taken the orders from their clients. The first one breaks off the orders 5.2 s after its SIGTERM, which is 4.2 s after that of
// the second one: too early for the exception of the rule.
func rollingStop(rec *record, dir string, trouble bool) (bool, error) {
	const (
		timeout = 5 * time.Second
		gap     = time.Second // gap_s of roll_term
	)
	s, err := startSite(rec, dir, configuration(3,
		route{Name: "r-order", Prefix: "/order/", Kind: "non_idempotent", Timeout: timeout.Seconds(), Objective: 4.8, Priority: 0, Service: "orders", MaxAttempt: 2},
	), []string{"orders", "front"}, 36, 284)
	defer s.close()
	if err != nil {
		return false, err
	}
	target, entry := s.machines[0], s.machines[1]
	c := &client{rec: rec, name: "client on " + entry.ip, address: entry.at(portOutbound)}
	type result struct {
		id string
		answer
	}
	var mu sync.Mutex
	var results []result
	var clients sync.WaitGroup
	path := plan{After: 4600}.path("/order/")
	start := time.Now()
	stop := func(m *machine) {
		if trouble {
			rec.printf("platform: SIGTERM to the node on %s", m.ip)
			s.terminate(m)
		}
	}
	stop(target)
	var entryStopped time.Time
	for i := range 10 {
		// Five orders are sent before the second SIGTERM and five after it, from 0.75 s to 1.3 s.
		time.Sleep(time.Until(start.Add(750*time.Millisecond + time.Duration(i)*60*time.Millisecond)))
		if i == 5 {
			time.Sleep(time.Until(start.Add(gap)))
			stop(entry)
			entryStopped = time.Now()
		}
		clients.Go(func() {
			id := number("0de4000000000", 100+i)
			a := c.once(context.Background(), id, http.MethodPost, path, 10*time.Second)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result{id, a})
		})
	}
	clients.Wait()
	time.Sleep(300 * time.Millisecond)
	runs := map[string]run{}
	for _, x := range target.backend.all() {
		runs[x.id] = x
	}
	lastSixth := graceSeconds * time.Second * 5 / 6
	lost, ran := 0, 0
	for _, r := range results {
		x, ok := runs[r.id]
		if !ok {
			continue
		}
		ran++
		after := r.at.Sub(entryStopped)
		if r.stamp != "" || !x.dropped || r.at.Sub(r.sent) >= timeout || after >= lastSixth || r.sent.Sub(entryStopped) > 3*time.Second {
			continue
		}
		lost++
		rec.printf("order %s was broken off %.3f s after the SIGTERM of the node that took it, when its backend was at work; answer %d, %v", r.id,
			after.Seconds(), r.status, r.err)
	}
	rec.printf("%d orders were run; %d of them were broken off", ran, lost)
	return lost > 0 || ran == 0, nil
}
