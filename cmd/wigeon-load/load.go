package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/client"
)

// requestKind is a kind of request in the mix.
type requestKind struct {
	name            string // service, method and path
	method          string
	path            string  // includes the service
	cumulativeShare float64 // weight of this kind and those before it, as a share of the total weight
}

// parseMix parses request kinds of the form SERVICE:METHOD:PATH:WEIGHT, separated by commas.
func parseMix(s string) ([]requestKind, error) {
	var kinds []requestKind
	var sum float64
	for item := range strings.SplitSeq(s, ",") {
		service, rest, _ := strings.Cut(strings.TrimSpace(item), ":")
		method, rest, _ := strings.Cut(rest, ":")
		colon := strings.LastIndexByte(rest, ':') // a path may contain colons
		if service == "" || method == "" || colon < 1 || rest[0] != '/' {
			return nil, fmt.Errorf("mix %q: want SERVICE:METHOD:/PATH:WEIGHT", item)
		}
		weight, err := strconv.ParseFloat(rest[colon+1:], 64)
		if err != nil || !(weight > 0) {
			return nil, fmt.Errorf("mix %q: weight %q is not a positive number", item, rest[colon+1:])
		}
		sum += weight
		path := rest[:colon]
		kinds = append(kinds, requestKind{name: service + " " + method + " " + path, method: method, path: "/" + service + path, cumulativeShare: sum})
	}
	for i := range kinds {
		kinds[i].cumulativeShare /= sum
	}
	return kinds, nil
}

// tallyCount is the number of tallies that the callers share.
const tallyCount = 16

// load is the configuration of a run.
type load struct {
	client   *client.Client
	mix      []requestKind
	rate     float64 // requests per second
	duration time.Duration
	timeout  time.Duration
	callers  int // maximum number of requests in flight
	body     int // bytes
	seed     uint64
}

// run sends the requests as an open-loop load. Request i is due i / rate seconds after the start. Its latency is measured
// from that time, so that it includes the wait for a free caller.
func (l *load) run(ctx context.Context) *report {
	total := int64(l.rate * l.duration.Seconds())
	tallies := make([]*tally, tallyCount)
	start := time.Now()
	for i := range tallies {
		tallies[i] = newTally(start)
	}
	var next atomic.Int64
	var wg sync.WaitGroup
	for i := range l.callers {
		wg.Go(func() {
			for n := next.Add(1) - 1; n < total; n = next.Add(1) - 1 {
				due := start.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
				if !sleepUntil(ctx, due) {
					return
				}
				l.sendRequest(ctx, n, due, tallies[i%tallyCount])
			}
		})
	}
	wg.Wait()
	l.client.Close()
	return newReport(l, tallies, time.Since(start))
}

// sleepUntil returns true at time t, or false as soon as ctx ends.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendRequest sends request n and records its result, or records it as skipped if its timeout is over. For a given
// mix, seed and n determine the request.
func (l *load) sendRequest(ctx context.Context, n int64, due time.Time, t *tally) {
	rng := rand.New(rand.NewPCG(l.seed, uint64(n)))
	k := l.pick(rng.Float64())
	startDelay := time.Since(due)
	if startDelay > l.timeout {
		t.recordResult(k.name, outcomeSkipped, "", 0, startDelay)
		return
	}
	req := client.Request{Method: k.method, Path: k.path}
	switch k.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
	default:
		req.Body = bytes.Repeat([]byte{'a' + byte(rng.IntN(26))}, l.body)
	}
	t.recordStart(startDelay)
	resp, err := l.client.Do(ctx, req)
	outcome, reason, attempts := classify(resp, err)
	t.recordResult(k.name, outcome, reason, attempts, time.Since(due))
}

// pick returns the request kind for a number from 0 to 1.
func (l *load) pick(share float64) requestKind {
	for _, k := range l.mix {
		if share < k.cumulativeShare {
			return k
		}
	}
	return l.mix[len(l.mix)-1]
}

// classify returns the outcome of a request, the reason for it if it is not a good one, and the number of attempts.
func classify(resp *client.Response, err error) (outcome, reason string, attempts int) {
	var notRun *client.NotRunError
	var unknown *client.UnknownError
	switch {
	case errors.As(err, &notRun):
		return outcomeNotRun, notRun.Reason, notRun.Attempts
	case errors.As(err, &unknown):
		return outcomeUnknown, unknown.Reason, unknown.Attempts
	case resp.Status < http.StatusBadRequest:
		return outcomeGood, "", resp.Attempts
	default:
		return outcomeError, "status " + strconv.Itoa(resp.Status), resp.Attempts
	}
}
