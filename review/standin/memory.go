package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["large-bodies"] = largeBodies }

// largeBodies sends orders with large bodies, each within the limits of the configuration, through several nodes to one backend at the
// same time. The platform kills a node whose memory exceeds its limit. A process that ends in that way counts as running: requests from
// kept connections that it has passed on to a sound backend must be answered.
func largeBodies(ctx context.Context, rec *record, trouble bool) (result, error) {
	const (
		bodyBytes = 40 << 20
		lostBound = 3 // more lost requests break the rule
	)
	s, err := newSite(rec,
		route{"/order/", "orders", false, 10 * time.Second, 0},
		route{"/menu/", "menu", true, 5 * time.Second, 2})
	if err != nil {
		return result{}, err
	}
	defer s.close()
	if _, err := s.add("za", "orders", 36, 300*time.Millisecond, nil); err != nil {
		return result{}, err
	}
	for _, zone := range []string{"zb", "zc", "za", "zb"} {
		if _, err := s.add(zone, "menu", 36, 600*time.Millisecond, nil); err != nil {
			return result{}, err
		}
	}
	if err := s.awaitServing(ctx); err != nil {
		return result{}, err
	}
	if err := pause(ctx, 2*stableWindow); err != nil {
		return result{}, err
	}

	orders := s.machines[0]
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var all sync.WaitGroup
	killed := false
	var peak int64
	all.Go(func() {
		for watching.Err() == nil {
			used := orders.memory()
			peak = max(peak, used)
			if used > memoryMB<<20 {
				rec.line("%s: the node holds %d MB, above its limit of %d MB; the platform kills it", orders.name, used>>20, memoryMB)
				killed = true
				<-orders.signal(syscall.SIGKILL)
				time.Sleep(restartDelay)
				if err := orders.start(); err != nil {
					rec.line("%v", err)
				}
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	})

	var mu sync.Mutex
	lost := 0
	for i := range 12 {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			c, err := connect(orders)
			if err != nil {
				return
			}
			defer c.conn.Close()
			for n, again := 0, true; again && watching.Err() == nil; n++ {
				var a answer
				attempt := fmt.Sprintf("menu-%d-%d", i, n)
				a, again = c.send(request{attempt: attempt, path: "/menu/today", timeLeft: 5 * time.Second})
				ran := s.ran(attempt)
				rec.line("%s at %s, sent at %.3f s as number %d of its connection: %v, run by a backend: %v", attempt, orders.name,
					rec.since(a.sent), n+1, a, ran)
				if a.status == 0 && ran && n > 0 {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			}
		})
	}
	if err := pause(ctx, 2*time.Second); err != nil {
		return result{}, err
	}
	body := make([]byte, bodyBytes)
	var uploads sync.WaitGroup
	unanswered := 0
	for round := range 3 {
		for i, m := range s.machines[1:] {
			upload := func() {
				attempt := fmt.Sprintf("order-%d-%d", round, i)
				a := send(m, request{attempt: attempt, path: "/order/new", body: body, timeLeft: 5 * time.Second})
				rec.line("%s with %d MB at %s, sent at %.3f s: %v", attempt, len(body)>>20, m.name, rec.since(a.sent), a)
				mu.Lock()
				defer mu.Unlock()
				if a.status != http.StatusOK {
					unanswered++
				}
			}
			if trouble {
				uploads.Go(upload)
			} else {
				upload()
			}
		}
		uploads.Wait()
	}
	if err := pause(ctx, time.Second); err != nil {
		return result{}, err
	}
	stopWatching()
	all.Wait()
	for _, r := range orders.backend.runsSoFar() {
		rec.line("%s was run by %s from %.3f s, whole answer: %v", r.attempt, r.instance, rec.since(r.began), r.complete)
	}
	return result{killed && lost > lostBound, fmt.Sprintf("at most %d MB of %d MB held by %s; killed for that: %v; %d requests from kept connections "+
		"lost while a backend ran them; %d of 12 orders not served", peak>>20, memoryMB, orders.name, killed, lost, unanswered)}, nil
}
