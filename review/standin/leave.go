package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["leave-after-restart"] = leaveAfterRestart
	cases["leave-before-loss"] = leaveBeforeLossOfAll
}

// leave is a case in which a backend deregisters, and a status report that it had sent before arrives late.
type leave struct {
	rec *record
	s   *site
	// leaving is the machine whose backend leaves. The others serve on.
	leaving *machine
	ack     time.Time // of the deregistration
}

const (
	// reportDelay is the time for which the late status report is on its way.
	reportDelay = 2500 * time.Millisecond
	// deregisterAfter is the time from that report to the deregistration. The next report would be due later.
	deregisterAfter = time.Second
	// serveOn is the time for which the backend serves on after it has left, at times many seconds.
	serveOn = 6 * time.Second
)

func newLeave(ctx context.Context, rec *record) (*leave, error) {
	s, err := newSite(rec, route{"/order/", "orders", false, 1500 * time.Millisecond, 0})
	if err != nil {
		return nil, err
	}
	l := &leave{rec: rec, s: s}
	for _, service := range []string{"orders", "orders", "menu"} {
		if _, err := s.add("za", service, 36, 500*time.Millisecond, nil); err != nil {
			return l, err
		}
	}
	l.leaving = s.machines[0]
	if err := s.awaitServing(ctx); err != nil {
		return l, err
	}
	return l, pause(ctx, 6*time.Second) // until the nodes know each other's state for certain
}

// deregister lets the backend leave without a drain, as some do, before its next status report is due. Its last one is late.
func (l *leave) deregister(ctx context.Context) error {
	b := l.leaving.backend
	late, err := b.holdNextReport(ctx)
	if err != nil {
		return err
	}
	sent := time.Now()
	l.rec.line("%s sends a status report (ready), which is late", b.instance)
	time.AfterFunc(reportDelay, func() {
		status, err := b.report(late)
		l.rec.line("the status report of %s of %.3f s arrives: %d, %v", b.instance, l.rec.since(sent), status, err)
	})
	if err := pause(ctx, deregisterAfter); err != nil {
		return err
	}
	status, err := b.deregister()
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("deregistration of %s: status %d, %w", b.instance, status, err)
	}
	l.ack = time.Now()
	l.rec.line("%s has left: its deregistration is acknowledged", b.instance)
	time.AfterFunc(serveOn, func() {
		l.rec.line("%s exits", b.instance)
		b.exit()
	})
	return nil
}

// order sends orders to the nodes of the machines until the leaving backend has exited, and checks that none reaches it later than
// the drain limit after it has left. Only requests at nodes that have run for the stable window count.
func (l *leave) order(ctx context.Context, at []*machine) (result, error) {
	var all sync.WaitGroup
	var mu sync.Mutex
	type order struct {
		answer
		at      *machine
		attempt string
	}
	var orders []order
	for n := 0; time.Since(l.ack) < serveOn+time.Second; n++ {
		m := at[n%len(at)]
		all.Go(func() {
			attempt := fmt.Sprintf("order-%d", n)
			a := send(m, request{attempt: attempt, path: "/order/new", body: []byte("beans"), timeLeft: 5 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			orders = append(orders, order{a, m, attempt})
		})
		if err := pause(ctx, 50*time.Millisecond); err != nil {
			return result{}, err
		}
	}
	all.Wait()
	late, lost := 0, 0
	runs := map[string]run{}
	for _, r := range l.leaving.backend.runsSoFar() {
		runs[r.attempt] = r
	}
	for _, o := range orders {
		r, ran := runs[o.attempt]
		l.rec.line("%s sent to %s at %.3f s: %v", o.attempt, o.at.name, l.rec.since(o.sent), o.answer)
		if !ran {
			continue
		}
		after := r.began.Sub(l.ack)
		inTouch := o.sent.Sub(o.at.upSince()) > stableWindow && r.began.Sub(l.leaving.upSince()) > stableWindow
		l.rec.line("%s reached %s %.3f s after its acknowledgement, nodes in touch: %v, whole answer: %v", o.attempt, r.instance,
			after.Seconds(), inTouch, r.complete)
		if inTouch && after > drainLimit {
			late++
			if o.status != http.StatusOK {
				lost++
			}
		}
	}
	return result{late > 0, fmt.Sprintf("%d orders, %d of them reached the backend that had left over %v after the acknowledgement; "+
		"%d of these were not served", len(orders), late, drainLimit, lost)}, nil
}

// leaveAfterRestart stops a node and starts it again while its backend runs on. The backend deregisters at the new process before that
// has got a status report.
func leaveAfterRestart(ctx context.Context, rec *record, trouble bool) (result, error) {
	l, err := newLeave(ctx, rec)
	if l != nil {
		defer l.s.close()
	}
	if err != nil {
		return result{}, err
	}
	restarted := make(chan error, 1)
	if trouble {
		exited := l.leaving.signal(syscall.SIGTERM)
		<-exited
		time.AfterFunc(restartDelay, func() { restarted <- l.leaving.start() })
	} else {
		restarted <- nil
	}
	if err := l.deregister(ctx); err != nil {
		return result{}, err
	}
	if err := <-restarted; err != nil {
		return result{}, err
	}
	return l.order(ctx, l.s.machines[1:])
}

// leaveBeforeLossOfAll kills all nodes at once after the deregistration was acknowledged.
func leaveBeforeLossOfAll(ctx context.Context, rec *record, trouble bool) (result, error) {
	l, err := newLeave(ctx, rec)
	if l != nil {
		defer l.s.close()
	}
	if err != nil {
		return result{}, err
	}
	if err := l.deregister(ctx); err != nil {
		return result{}, err
	}
	if err := pause(ctx, 300*time.Millisecond); err != nil {
		return result{}, err
	}
	if trouble {
		if err := l.s.killAll(); err != nil {
			return result{}, err
		}
	}
	return l.order(ctx, l.s.machines[1:])
}
