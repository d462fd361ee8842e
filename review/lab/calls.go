package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// callsAtStop stops the node beside a backend (the disruption) while that runs requests, each of which makes a call. The node takes
// calls until 4.5 s after the SIGTERM, and breaks off at 5.2 s those that are not answered. Those that it took later than 3 s after the
// SIGTERM are not excused by the rule.
func callsAtStop(rec *record, dir string, trouble bool) (bool, error) {
	const callTimeout = 2500 * time.Millisecond
	s, err := startSite(rec, dir, configuration(3,
		route{Name: "r-report", Prefix: "/report/", Kind: "idempotent", Timeout: 5, Objective: 4.8, Priority: 1, Service: "reports", MaxAttempt: 2},
		route{Name: "r-ledger", Prefix: "/ledger/", Kind: "idempotent", Timeout: callTimeout.Seconds(), Objective: 2.4, Priority: 1, Service: "ledger", MaxAttempt: 2},
	), []string{"reports", "ledger", "front"}, 36, 284)
	defer s.close()
	if err != nil {
		return false, err
	}
	stopped, ledger, entry := s.machines[0], s.machines[1], s.machines[2]
	c := &client{rec: rec, name: "client on " + entry.ip, address: entry.at(portOutbound)}
	// Each request takes 4.5 s of its 5 s: its call is made after 2.3 s and takes 2.2 s.
	path := plan{Before: 2300, Call: &plan{After: 2200}, Route: "/ledger/"}.path("/report/")
	const gap = 90 * time.Millisecond
	var term time.Time
	var clients sync.WaitGroup
	for i := range 21 {
		if i == 5 {
			term = time.Now()
			if trouble {
				rec.printf("platform: SIGTERM to the node on %s", stopped.ip)
				s.terminate(stopped)
			}
		}
		clients.Go(func() {
			c.once(context.Background(), number("5a17c0de900000", 10+i), http.MethodGet, path, 10*time.Second)
		})
		time.Sleep(gap)
	}
	clients.Wait()
	time.Sleep(300 * time.Millisecond)
	taken, lost := 0, 0
	for _, x := range ledger.backend.all() {
		stopped.backend.mu.Lock()
		a := stopped.backend.calls[x.id]
		stopped.backend.mu.Unlock()
		taken++
		if a.stamp != "" || !x.dropped || x.end.Sub(a.sent) >= callTimeout {
			continue
		}
		sent, ended := a.sent.Sub(term).Seconds(), x.end.Sub(term).Seconds()
		rec.printf("call %s, sent %.3f s after the SIGTERM, was broken off at %.3f s, when its backend was at work; answer %d, %v", x.id, sent, ended,
			a.status, a.err)
		if sent > 3 {
			lost++
		}
	}
	rec.printf("%d calls were taken and run; %d that were sent later than 3 s after the SIGTERM were broken off", taken, lost)
	return lost > 0 || taken == 0, nil
}
