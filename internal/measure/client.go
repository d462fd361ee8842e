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
	Attempts int // maximum number of attempts per request, the first included
	// IgnoreRetryAfter makes callers retry after about impatientRetryDelay whatever the response says. Otherwise they wait
	// for the retry-after time of the response.
	IgnoreRetryAfter bool
	// Timeout is the timeout of one attempt. Zero means clientTimeout.
	Timeout time.Duration
	// AbandonShare is the probability that the caller abandons an attempt before its timeout. It then makes no further one.
	AbandonShare float64
}

// timeout returns the timeout of one attempt.
func (c Clients) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return clientTimeout
}

const (
	// impatientRetryDelay is the mean retry delay of callers that ignore the retry-after time.
	impatientRetryDelay = 50 * time.Millisecond
	// defaultRetryDelay is the mean retry delay of the other callers if the response has no retry-after time.
	defaultRetryDelay = 500 * time.Millisecond
)

// result is the result of one root request.
type result struct {
	route       *Route
	id          message.ID
	key         string
	start       time.Time
	end         time.Time
	succeeded   bool // got a complete response in time
	outcome     message.Outcome
	mayHaveRun  bool             // an attempt may have run
	mismatched  bool             // got the response of another request
	attempts    int              // attempts of the caller
	notRunSpans []message.SpanID // spans of the attempts that were reported as not run
	unboundKey  bool             // an order with a key chosen by the caller, first sent while the platform was down
}

// traffic generates the requests of a run and collects their results.
type traffic struct {
	world   *World
	clients Clients
	mu      sync.Mutex
	results []*result
	wg      sync.WaitGroup
}

// run sends requests at the given rate per second, evenly spaced with a jitter of up to one step, for the given time, and
// waits for all results.
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

// request sends one root request after the delay, retries it as the callers do, and records the result.
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
		r.outcome = message.Unknown // the outcome that the client package reports
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
}

// randomAbandonTime returns the time after which the caller abandons its next attempt, or zero if it does not.
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

// attempt sends one attempt to a random node that callers can reach.
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

// key returns the idempotency key of an order, either chosen by the caller or issued by the node.
func (t *traffic) key(r *result, m *member) string {
	w := t.world
	if w.callerKeyShare == 0 || w.random() >= w.callerKeyShare {
		return m.server.IssueKey()
	}
	r.unboundKey = w.platformDown.Load()
	return message.NewID().String()
}

// randomEntry returns a random node that is not leaving, in an availability zone that callers can reach.
func (w *World) randomEntry() *member {
	for {
		m := w.members[int(w.random()*float64(len(w.members)))]
		if m.zone != int(w.partitionedZone.Load()) && !m.leaving.Load() {
			return m
		}
	}
}
