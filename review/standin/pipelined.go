package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// pipelinedAttempt is a request on a connection that carries several at a time.
type pipelinedAttempt struct {
	attempt string
	sent    time.Time
	ended   time.Time // of the answer or of the connection
	status  int       // 0: the connection ended without a complete answer
	unread  bool      // sent behind an answer that announced the end of the connection
	cause   string    // how the connection ended
}

// pipeline is a client that sends an idempotent request on its one connection every interval, without waiting for the answers to
// earlier ones. It stops when an answer announces the end of the connection, and when the platform lets no client send new work.
type pipeline struct {
	machine  *machine
	name     string
	path     string
	interval time.Duration

	mu   sync.Mutex
	sent []*pipelinedAttempt
}

const (
	pipelineTimeLeft = 5 * time.Second
	// maxDue bounds the requests of a client that wait for their answers.
	maxDue = 16
)

// run sends requests until the connection ends or ctx does, and reads the answers.
func (p *pipeline) run(ctx context.Context) error {
	c, err := net.DialTimeout("tcp", p.machine.at(portClients), time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	due := make(chan *pipelinedAttempt, maxDue)
	go func() {
		defer close(due)
		for ctx.Err() == nil && p.machine.takesClients() {
			if len(due) < maxDue && p.write(c, due) != nil {
				return
			}
			_ = pause(ctx, p.interval)
		}
	}()
	br := bufio.NewReader(c)
	cause, unread := "", false
	for x := range due {
		if cause == "" {
			cause, unread = p.readAnswer(c, br, x)
			if cause != "" {
				stop() // nothing more is sent, and what was sent behind it has no answer either
			}
			if !unread {
				continue
			}
			cause = "sent behind an answer that closes the connection"
			continue
		}
		p.mu.Lock()
		x.ended, x.cause, x.unread = time.Now(), cause, unread
		p.mu.Unlock()
	}
	return nil
}

// readAnswer reads the answer to a request. A cause means that no further answer comes on the connection; closes says that the answer
// has announced that.
func (p *pipeline) readAnswer(c net.Conn, br *bufio.Reader, x *pipelinedAttempt) (cause string, closes bool) {
	_ = c.SetReadDeadline(x.sent.Add(pipelineTimeLeft))
	resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err == nil && resp.Header.Get(words.Attempt) != x.attempt {
		err = fmt.Errorf("answer to %q", resp.Header.Get(words.Attempt))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	x.ended = time.Now()
	if err != nil {
		x.cause = err.Error()
		return x.cause, false
	}
	x.status = resp.StatusCode
	if resp.Close {
		return "closed", true
	}
	return "", false
}

func (p *pipeline) write(c net.Conn, due chan<- *pipelinedAttempt) error {
	p.mu.Lock()
	x := &pipelinedAttempt{attempt: fmt.Sprintf("%s-%d", p.name, len(p.sent)), sent: time.Now()}
	p.mu.Unlock()
	_, err := c.Write(request{attempt: x.attempt, path: p.path, timeLeft: pipelineTimeLeft}.encode())
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.sent = append(p.sent, x)
	p.mu.Unlock()
	due <- x
	return nil
}

func init() { cases["pipelined-stop"] = pipelinedStop }

// pipelinedStop stops a node while clients keep idempotent requests in progress on open connections. A request that the node has
// passed on to a backend must be answered, unless its backend was still at work in the last sixth of the grace period on a request that
// was sent no later than 3 s after the signal.
func pipelinedStop(ctx context.Context, rec *record, trouble bool) (result, error) {
	const work = 300 * time.Millisecond
	s, err := newSite(rec, route{"/menu/", "menu", true, 3 * time.Second, 2})
	if err != nil {
		return result{}, err
	}
	defer s.close()
	for _, zone := range []string{"za", "zb", "zc"} {
		if _, err := s.add(zone, "menu", 36, work, nil); err != nil {
			return result{}, err
		}
	}
	if err := s.awaitServing(ctx); err != nil {
		return result{}, err
	}
	if err := pause(ctx, 2*stableWindow); err != nil { // without any disturbance, starts included
		return result{}, err
	}

	first := s.machines[0]
	var clients []*pipeline
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	var all sync.WaitGroup
	for i := range 4 {
		p := &pipeline{machine: first, name: fmt.Sprintf("p%d", i), path: "/menu/today", interval: 100 * time.Millisecond}
		clients = append(clients, p)
		all.Go(func() {
			if err := p.run(sending); err != nil {
				rec.line("%s: %v", p.name, err)
			}
		})
		if err := pause(ctx, 70*time.Millisecond); err != nil {
			return result{}, err
		}
	}
	if err := pause(ctx, 2*time.Second); err != nil {
		return result{}, err
	}
	stopped := time.Now()
	if trouble {
		exited := first.signal(syscall.SIGTERM)
		select {
		case <-exited:
		case <-time.After(grace):
			rec.line("%s: the grace period is over", first.name)
		}
	} else if err := pause(ctx, grace); err != nil {
		return result{}, err
	}
	stopSending()
	all.Wait()
	return checkCutOff(rec, s, clients, stopped), nil
}

// checkCutOff reports the requests that a backend has begun to run and whose connection has ended without an answer.
func checkCutOff(rec *record, s *site, clients []*pipeline, stopped time.Time) result {
	runs := map[string]run{}
	for _, m := range s.machines {
		for _, r := range m.backend.runsSoFar() {
			runs[r.attempt] = r
		}
	}
	lost, excused, answered, total := 0, 0, 0, 0
	for _, p := range clients {
		p.mu.Lock()
		for _, x := range p.sent {
			total++
			r, ran := runs[x.attempt]
			text := "not passed on to a backend"
			if ran {
				text = fmt.Sprintf("run by %s from %.3f s", r.instance, rec.since(r.began))
			}
			after := x.sent.Sub(stopped)
			inLastSixth := x.ended.Sub(stopped) >= grace*5/6
			switch {
			case x.status != 0:
				answered++
				text += fmt.Sprintf(", answered %d at %.3f s", x.status, rec.since(x.ended))
			case !ran || x.unread:
				text += ", no answer: " + x.cause
			case x.ended.Sub(x.sent) >= pipelineTimeLeft:
				text += ", the time budget was over"
			case after <= 3*time.Second && inLastSixth:
				excused++
				text += fmt.Sprintf(", cut at %.3f s in the last sixth, sent %.3f s after the signal: excused", rec.since(x.ended), after.Seconds())
			default:
				lost++
				text += fmt.Sprintf(", CUT OFF at %.3f s (%s), sent %.3f s after the signal", rec.since(x.ended), x.cause, after.Seconds())
			}
			rec.line("%s sent at %.3f s: %s", x.attempt, rec.since(x.sent), text)
		}
		p.mu.Unlock()
	}
	return result{lost > 0, fmt.Sprintf("%d requests: %d answered, %d cut off while a backend ran them, %d more cut off with an excuse",
		total, answered, lost, excused)}
}
