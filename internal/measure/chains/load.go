package chains

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// LoadProfile is a run: the rate over time and what happens to targets.
type LoadProfile struct {
	Name        string
	Description string // what happens, for the report
	Length      time.Duration
	Rate        func(at time.Duration) float64 // as a factor on the site's rates
	Events      []Event
}

// Event changes the targets of a service at a moment.
type Event struct {
	At              time.Duration
	Service         func(s Site) string
	WorkFactor      float64 // factor on the time of work; zero: 1
	ShedShare       float64 // share of requests that targets turn away
	AbortShare      float64 // share of answers that targets break off
	FirstTargetOnly bool    // only the first target
}

// Deepest returns the last service of the chains.
func Deepest(s Site) string { return s.Services[len(s.Services)-1].Name }

// LoadProfiles returns the loads that are measured. The surge is that of the users' days of high load.
func LoadProfiles() []LoadProfile {
	const start, length = 5 * time.Second, 10 * time.Second
	surge := func(factor float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at >= start && at < start+length {
				return factor
			}
			return 1
		}
	}
	return []LoadProfile{
		{Name: "calm", Description: "The usual load.", Length: 15 * time.Second, Rate: surge(1)},
		{Name: "surge", Description: "1.8 times the load for 10 s.", Length: 20 * time.Second, Rate: surge(1.8)},
		{Name: "surge-slow-target", Description: "1.6 times the load for 10 s while one target of the deepest service is six times as slow.", Length: 20 * time.Second, Rate: surge(1.6),
			Events: []Event{{At: start, Service: Deepest, WorkFactor: 6, FirstTargetOnly: true}, {At: start + length, Service: Deepest, FirstTargetOnly: true}}},
		{Name: "lost-answers", Description: "One target of the deepest service breaks off 0.3 of its answers for 10 s.", Length: 20 * time.Second, Rate: surge(1),
			Events: []Event{{At: start, Service: Deepest, AbortShare: 0.3, FirstTargetOnly: true}, {At: start + length, Service: Deepest, FirstTargetOnly: true}}},
		{Name: "shedding-targets", Description: "1.6 times the load for 10 s while the targets of the deepest service turn away 0.55 of their requests.", Length: 20 * time.Second, Rate: surge(1.6),
			Events: []Event{{At: start, Service: Deepest, ShedShare: 0.55}, {At: start + length, Service: Deepest}}},
	}
}

// Outcome is how a caller's request ended.
type Outcome struct {
	Kind           *Kind
	Start          time.Duration // since the start of the run
	Worth          float64       // that it earned
	Status         message.Outcome
	FailedAfterRun bool // a target had begun to run it
	Refused        int  // attempts that were reported as not run
	FalseNotRun    int  // of these, attempts that had run
	RanTwice       bool // an attempt ran more than once
}

// Run plays a load and returns the ends of all requests.
func Run(w *World, l LoadProfile) []Outcome {
	var mu sync.Mutex
	var out []Outcome
	var all sync.WaitGroup
	begin := time.Now()
	for _, e := range l.Events {
		time.AfterFunc(e.At, func() { e.apply(w) })
	}
	due := make([]float64, len(w.site.Kinds))
	const step = 5 * time.Millisecond
	for at := time.Duration(0); at < l.Length; at += step {
		for i := range w.site.Kinds {
			kind := &w.site.Kinds[i]
			due[i] += l.Rate(at) * kind.Rate * step.Seconds() * 2 * w.random()
			n := math.Floor(due[i])
			due[i] -= n
			for range int(n) {
				all.Go(func() {
					o := w.sendRequest(kind)
					o.Start = at
					mu.Lock()
					defer mu.Unlock()
					out = append(out, o)
				})
			}
		}
		time.Sleep(time.Until(begin.Add(at + step)))
	}
	all.Wait()
	return out
}

func (e Event) apply(w *World) {
	workFactor, first := e.WorkFactor, true
	if workFactor == 0 {
		workFactor = 1
	}
	w.forEachTarget(e.Service(w.site), func(n *node) {
		if e.FirstTargetOnly && !first {
			return
		}
		first = false
		n.workFactor.Store(uint64(workFactor * factorScale))
		n.shedShare.Store(uint64(e.ShedShare * factorScale))
		n.abortShare.Store(uint64(e.AbortShare * factorScale))
	})
}

const (
	// maxAttempts is the number of attempts of a caller.
	maxAttempts = 2
	// maxWaitShare is the part of the time left that a caller waits at most when it was told to come back.
	maxWaitShare = 1.0 / 3
)

// sendRequest sends one request at a node, and once more if it may.
func (w *World) sendRequest(kind *Kind) Outcome {
	start := time.Now()
	deadline := start.Add(kind.Deadline)
	n := w.nodes[int(w.random()*float64(len(w.nodes)))]
	o := Outcome{Kind: kind}
	for i := range maxAttempts {
		attempt := w.nextID()
		r := w.attempt(n, kind, attempt, deadline)
		o.Status = r.Outcome
		ran := w.Runs(attempt)
		o.FailedAfterRun, o.RanTwice = ran > 0, o.RanTwice || ran > 1 && kind.Once
		if r.Outcome == message.NotRun {
			o.Refused++
			if ran > 0 && kind.Once {
				o.FalseNotRun++
			}
		}
		if r.Outcome == message.Answered && r.Status == http.StatusOK {
			o.FailedAfterRun, o.Worth = false, kind.Worth
			if time.Since(start) > kind.Objective {
				o.Worth = kind.LateWorth
			}
			return o
		}
		if i == maxAttempts-1 || kind.Once && r.Outcome != message.NotRun {
			break
		}
		time.Sleep(min(r.RetryAfter, time.Duration(maxWaitShare*float64(time.Until(deadline)))))
	}
	return o
}

func (w *World) attempt(n *node, kind *Kind, attempt string, deadline time.Time) *message.Response {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	time.Sleep(w.site.CallerLatency)
	r := n.path.Serve(ctx, w.request(kind, attempt, deadline))
	time.Sleep(w.site.CallerLatency)
	return r
}
