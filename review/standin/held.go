package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["held-after-crash"] = heldAfterCrash }

// heldAfterCrash crashes the backends of a service once, all at the same time, while they run requests for the same page. They are back
// after some seconds. Later than the recovery time after that, a quarter of the requests must be served again.
func heldAfterCrash(ctx context.Context, rec *record, trouble bool) (result, error) {
	const (
		backends = 6
		clients  = 24
		// interval is the time between two refreshes of the clients, which all ask for the same page.
		interval = 14 * time.Second
		// crashAfter is the time from a refresh to the crash.
		crashAfter = 500 * time.Millisecond
		downFor    = 4 * time.Second
		recovery   = 15 * time.Second // recover_s
		page       = "/royalty/statement"
	)
	s, err := newSite(rec, route{"/royalty/", "royalty", true, 5 * time.Second, 2})
	if err != nil {
		return result{}, err
	}
	defer s.close()
	for i := range backends {
		if _, err := s.add([]string{"za", "zb", "zc"}[i%3], "royalty", 10, 880*time.Millisecond, nil); err != nil {
			return result{}, err
		}
	}
	if err := s.awaitServing(ctx); err != nil {
		return result{}, err
	}
	if err := pause(ctx, 2*stableWindow); err != nil {
		return result{}, err
	}

	var mu sync.Mutex
	refresh := func(round int, path string) (served int) {
		var all sync.WaitGroup
		for i := range clients {
			all.Go(func() {
				m := s.machines[i%backends]
				r := request{attempt: fmt.Sprintf("refresh-%d-%d", round, i), path: path, timeLeft: 10 * time.Second}
				a := send(m, r)
				rec.line("%s for %s sent to %s at %.3f s: %v, run by a backend: %v", r.attempt, r.path, m.name, rec.since(a.sent), a, s.ran(r.attempt))
				mu.Lock()
				defer mu.Unlock()
				if a.status == http.StatusOK {
					served++
				}
			})
		}
		all.Wait()
		return served
	}
	begin := time.Now()
	await := func(round int) error { return pause(ctx, time.Until(begin.Add(time.Duration(round)*interval))) }
	before := refresh(0, page)
	if err := await(1); err != nil {
		return result{}, err
	}
	back := time.Now().Add(crashAfter + downFor)
	if trouble {
		time.AfterFunc(crashAfter, func() { s.crashBackends(downFor) })
	}
	refresh(1, page)
	after, asked := 0, 0
	for round := 2; round < 6; round++ {
		if err := await(round); err != nil {
			return result{}, err
		}
		late := time.Now().After(back.Add(recovery))
		served := refresh(round, page)
		if late {
			after, asked = after+served, asked+clients
		}
	}
	other := refresh(6, "/royalty/other")
	return result{4*before >= clients && 4*after < asked, fmt.Sprintf("%d of %d requests were served before the crash, %d of %d later than %v "+
		"after the backends were back; of %d requests for another page, %d were served then", before, clients, after, asked, recovery, clients, other)}, nil
}

// crashBackends ends all backends at once and starts them again.
func (s *site) crashBackends(downFor time.Duration) {
	s.rec.line("all backends crash")
	for _, m := range s.machines {
		m.backend.exit()
	}
	time.Sleep(downFor)
	for _, m := range s.machines {
		if err := m.restartBackend(); err != nil {
			s.rec.line("%v", err)
		}
	}
	s.rec.line("all backends are back")
}
