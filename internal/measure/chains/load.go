package chains

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// LoadProfile describes a run: the rate over time and the events at targets.
type LoadProfile struct {
	Name        string
	Description string // what happens in the run
	Length      time.Duration
	Rate        func(at time.Duration) float64 // factor on the rates of the kinds of request
	Events      []Event
	// BurstFactor multiplies the rate of requests that must not run more than once from BurstStart on, for BurstLength. Zero: no burst.
	BurstFactor             float64
	BurstStart, BurstLength time.Duration
	Callers                 Callers
}

// Callers describes the callers that do not return as they were told. All others return once, after the retry-after time.
type Callers struct {
	NeverReturn float64 // share that makes one attempt only
	AtOnce      float64 // share that retries without waiting, up to atOnceAttempts attempts
}

// factor returns the factor on the rate of a kind at a point in time.
func (l *LoadProfile) factor(k *Kind, at time.Duration) float64 {
	f := l.Rate(at)
	if k.Once && l.BurstFactor > 0 && at >= l.BurstStart && at < l.BurstStart+l.BurstLength {
		f *= l.BurstFactor
	}
	return f
}

// Event changes the targets of a service at a point in time. It replaces the effects of earlier events on them.
type Event struct {
	At              time.Duration
	Service         func(s Site) string
	WorkFactor      float64 // factor on the time of work; zero means 1
	ShedShare       float64 // share of requests that targets refuse
	AbortShare      float64 // share of requests that targets start and then break off
	FirstTargetOnly bool    // leaves the other targets as they are
}

// Deepest returns the name of the service at the end of the call chains, which is the last in the list.
func Deepest(s Site) string { return s.Services[len(s.Services)-1].Name }

// LoadProfiles returns the load profiles that are measured. The factor of the surge is that of the users' days of high load.
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
		{Name: "scarce", Description: "The targets of the deepest service turn away 0.55 of their requests for 8.5 s while orders burst by 2.4 for 6 s of it.", Length: 18 * time.Second, Rate: surge(1),
			BurstFactor: 2.4, BurstStart: start + time.Second, BurstLength: 6 * time.Second, Callers: Callers{NeverReturn: 0.1, AtOnce: 0.1},
			Events: []Event{{At: start, Service: Deepest, ShedShare: 0.55}, {At: start + 8500*time.Millisecond, Service: Deepest}}},
	}
}

// Outcome is the result of a caller's request over all its attempts.
type Outcome struct {
	Kind           *Kind
	Start          time.Duration // since the start of the run
	Worth          float64       // what the response earned; zero if the request failed
	Status         message.Outcome
	FailedAfterRun bool // the request failed and a target had begun to run its last attempt
	Refused        int  // attempts that were reported as not run
	FalseNotRun    int  // attempts reported as not run that had run, for requests that must not run more than once
	RanTwice       bool // an attempt of a request that must not run more than once did
}

// Run simulates a load profile and returns the outcomes of all requests.
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
			due[i] += l.factor(kind, at) * kind.Rate * step.Seconds() * 2 * w.random()
			n := math.Floor(due[i])
			due[i] -= n
			for range int(n) {
				all.Go(func() {
					o := w.sendRequest(kind, at, l.Callers)
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
	// maxAttempts is the number of attempts that a caller makes at most.
	maxAttempts = 2
	// maxWaitShare limits the wait for the retry-after time to a share of the time until the deadline.
	maxWaitShare = 1.0 / 3
	// atOnceAttempts is the number of attempts of a caller that does not wait, which retries three times as often as others.
	atOnceAttempts = 4
)

// entryNode returns the node to which a caller sends a request at a point in time of the run: a random one, in the zones in
// proportion to their present demand.
func (w *World) entryNode(at time.Duration) *node {
	for {
		n := w.nodes[int(w.random()*float64(len(w.nodes)))]
		if w.site.Swing == 0 {
			return n
		}
		phase := at.Seconds()/swingPeriod.Seconds() + float64(n.zone)/float64(w.site.Zones)
		if w.random()*(1+w.site.Swing) < 1+w.site.Swing*math.Sin(2*math.Pi*phase) {
			return n
		}
	}
}

// sendRequest sends one request to a node, and retries it there after a failure, unless it must not run more than once
// and may have run.
func (w *World) sendRequest(kind *Kind, at time.Duration, c Callers) Outcome {
	start := time.Now()
	deadline := start.Add(kind.Deadline)
	n := w.entryNode(at)
	o := Outcome{Kind: kind}
	attempts, atOnce := maxAttempts, false
	if c != (Callers{}) {
		switch u := w.random(); {
		case u < c.NeverReturn:
			attempts = 1
		case u < c.NeverReturn+c.AtOnce:
			attempts, atOnce = atOnceAttempts, true
		}
	}
	for i := range attempts {
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
		if i == attempts-1 || kind.Once && r.Outcome != message.NotRun {
			break
		}
		if atOnce {
			continue
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
