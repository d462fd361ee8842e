package measure

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Clients describes how callers behave.
type Clients struct {
	Attempts int // attempts of one request, the first included
	// IgnoreRetryAfter clients come back after hardWait whatever they were told; others wait as long as the answer asks for.
	IgnoreRetryAfter bool
	// Timeout is how long a caller waits for one attempt; zero: clientTimeout.
	Timeout time.Duration
	// AbandonShare is the share of the requests whose caller leaves before its timeout and does not come back.
	AbandonShare float64
}

// timeout returns how long a caller waits for one attempt.
func (c Clients) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return clientTimeout
}

const (
	impatientRetryDelay = 50 * time.Millisecond
	// defaultRetryDelay is how long other clients wait when the answer names no time.
	defaultRetryDelay = 500 * time.Millisecond
)

// result is what one root request ended in.
type result struct {
	route       *Route
	id          message.ID
	key         string
	start       time.Time
	end         time.Time
	succeeded   bool // answered, complete, in time
	outcome     message.Outcome
	mayHaveRun  bool             // an attempt may have run
	mismatched  bool             // an answer of another request
	attempts    int              // attempts of the caller
	notRunSpans []message.SpanID // attempts that were reported as not run
	unboundKey  bool             // an order with a key of the caller's own, sent while the platform was down
}

// traffic is the arrivals of a run and their results.
type traffic struct {
	world   *World
	clients Clients
	mu      sync.Mutex
	results []*result
	wg      sync.WaitGroup
}

// run sends requests at the rate that the function gives for every moment, evenly spaced with a little jitter, until the
// end, and waits for all results.
func (t *traffic) run(length time.Duration, rate func(at time.Duration) float64) {
	start := time.Now()
	due := make([]float64, len(t.world.site.Routes))
	const step = 5 * time.Millisecond
	for at := time.Duration(0); at < length; at += step {
		for i := range t.world.site.Routes {
			route := &t.world.site.Routes[i]
			due[i] += rate(at) * route.Share * step.Seconds()
			n := math.Floor(due[i])
			due[i] -= n
			for range int(n) {
				delay := time.Duration(t.world.random() * float64(step))
				t.wg.Go(func() { t.request(route, delay) })
			}
		}
		time.Sleep(time.Until(start.Add(at + step)))
	}
	t.wg.Wait()
}

// request sends one root request with its attempts.
func (t *traffic) request(route *Route, delay time.Duration) {
	time.Sleep(delay)
	r := &result{route: route, id: message.NewID(), start: time.Now()}
	retries := 1 << 30
	for i := range t.clients.Attempts {
		r.attempts++
		abandonAfter, span := t.randomAbandonTime(), message.NewSpanID()
		resp := t.attempt(r, span, retries, abandonAfter)
		retries = resp.RetriesLeft
		r.outcome = resp.Outcome
		if resp.Outcome == message.NotRun {
			r.notRunSpans = append(r.notRunSpans, span)
		} else {
			r.mayHaveRun = true
		}
		if resp.Outcome == message.Answered {
			r.mismatched = r.mismatched || !bytes.Equal(resp.Body, r.id[:]) && resp.Status == http.StatusOK
			r.succeeded = resp.Status == http.StatusOK
		}
		if r.succeeded || abandonAfter > 0 || i == t.clients.Attempts-1 {
			break
		}
		time.Sleep(t.retryDelay(resp))
	}
	r.end = time.Now()
	if r.mayHaveRun && r.outcome == message.NotRun {
		r.outcome = message.Unknown // as the client package says
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
}

// randomAbandonTime returns the time after which the caller leaves during its next attempt; zero: it stays.
func (t *traffic) randomAbandonTime() time.Duration {
	if t.clients.AbandonShare == 0 || t.world.random() >= t.clients.AbandonShare {
		return 0
	}
	return 1 + time.Duration(t.world.random()*float64(t.clients.timeout()))
}

// retryDelay returns how long the caller waits before its next attempt.
func (t *traffic) retryDelay(resp *message.Response) time.Duration {
	spread := 0.5 + t.world.random()
	switch {
	case t.clients.IgnoreRetryAfter:
		return time.Duration(float64(impatientRetryDelay) * spread)
	case resp.RetryAfter > 0:
		return resp.RetryAfter
	default:
		return time.Duration(float64(defaultRetryDelay) * spread)
	}
}

// attempt sends one attempt to a node that callers can reach.
func (t *traffic) attempt(r *result, span message.SpanID, retries int, abandonAfter time.Duration) *message.Response {
	w := t.world
	m := w.randomEntry()
	if r.route.Once && r.key == "" {
		r.key = t.key(r, m)
	}
	ctx, cancel := context.WithTimeout(context.Background(), t.clients.timeout())
	defer cancel()
	if abandonAfter > 0 {
		time.AfterFunc(abandonAfter, cancel)
	}
	deadline, _ := ctx.Deadline()
	if !sleep(ctx, w.site.ClientLatency) {
		return message.UnknownOutcome(message.ReasonDeadline, nil)
	}
	response := make(chan *message.Response, 1)
	go func() {
		resp := m.server.Serve(ctx, &message.Request{
			ID: r.id, Span: span, Service: r.route.Service, Method: http.MethodPost, Path: "/",
			Deadline: deadline.Add(-2 * w.site.ClientLatency), Retries: retries, Key: r.key,
		})
		time.Sleep(w.site.ClientLatency)
		response <- resp
	}()
	select {
	case resp := <-response:
		return resp
	case <-ctx.Done():
		return message.UnknownOutcome(message.ReasonDeadline, message.Errorf(message.StepAwait, m.address, "timeout"))
	}
}

// key returns the idempotency key of an order: one of the caller's own, or one that the node issues.
func (t *traffic) key(r *result, m *member) string {
	w := t.world
	if w.callerKeyShare == 0 || w.random() >= w.callerKeyShare {
		return m.server.IssueKey()
	}
	r.unboundKey = w.platformDown.Load()
	return message.NewID().String()
}

// randomEntry returns a node for an attempt, in an availability zone that callers reach.
func (w *World) randomEntry() *member {
	for {
		m := w.members[int(w.random()*float64(len(w.members)))]
		if m.zone != int(w.partitionedZone.Load()) && !m.leaving.Load() {
			return m
		}
	}
}
