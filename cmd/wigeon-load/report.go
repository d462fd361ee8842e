package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcomes of requests.
const (
	outcomeGood    = "good"    // a complete response with a status below 400
	outcomeError   = "error"   // a complete response with another status
	outcomeNotRun  = "not-run" // client.NotRunError
	outcomeUnknown = "unknown" // client.UnknownError
	outcomeSkipped = "skipped" // not sent, because every caller was busy until the request's timeout was over
)

const (
	minLatency    = 1                // microseconds
	maxLatency    = 10 * 60 * 1000e3 // microseconds
	latencyDigits = 3
)

// counts are the results of one kind of request, or of all kinds.
type counts struct {
	Outcomes  map[string]int64 `json:"outcomes"`
	Reasons   map[string]int64 `json:"reasons"` // "OUTCOME: REASON"
	Attempts  int64            `json:"attempts"`
	Goodput   float64          `json:"goodput_per_second"` // good requests per second, from the start until the last request ended
	GoodShare float64          `json:"good_share"`         // of all requests, including the skipped ones
	Latency   quantiles        `json:"latency_ms"`         // of good requests, measured from the time at which they were due

	latency *hdrhistogram.Histogram // microseconds
}

func newCounts() *counts {
	return &counts{
		Outcomes: map[string]int64{}, Reasons: map[string]int64{},
		latency: hdrhistogram.New(minLatency, maxLatency, latencyDigits),
	}
}

func (c *counts) merge(o *counts) {
	for k, n := range o.Outcomes {
		c.Outcomes[k] += n
	}
	for k, n := range o.Reasons {
		c.Reasons[k] += n
	}
	c.Attempts += o.Attempts
	c.latency.Merge(o.latency)
}

// quantiles are latencies in milliseconds.
type quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
	Max  float64 `json:"max"`
}

func (c *counts) total() int64 {
	var sum int64
	for _, n := range c.Outcomes {
		sum += n
	}
	return sum
}

func (c *counts) finish(elapsed time.Duration) {
	ms := func(q float64) float64 { return float64(c.latency.ValueAtQuantile(q)) / 1000 }
	c.Latency = quantiles{P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: float64(c.latency.Max()) / 1000}
	c.Goodput = float64(c.Outcomes[outcomeGood]) / elapsed.Seconds()
	c.GoodShare = float64(c.Outcomes[outcomeGood]) / float64(max(c.total(), 1))
}

// tally collects the results of some of the callers. With several tallies, the callers do not all contend for one lock,
// and no caller needs histograms of its own, which take about 0.2 MB each. A tally is safe for concurrent use.
type tally struct {
	start         time.Time
	mu            sync.Mutex
	kinds         map[string]*counts
	goodPerSecond []int64       // good requests by the second of the run in which they ended
	startDelay    time.Duration // longest time by which a request was sent after it was due
}

func newTally(start time.Time) *tally { return &tally{start: start, kinds: map[string]*counts{}} }

func (t *tally) recordResult(kind, outcome, reason string, attempts int, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.kinds[kind]
	if c == nil {
		c = newCounts()
		t.kinds[kind] = c
	}
	c.Outcomes[outcome]++
	c.Attempts += int64(attempts)
	if reason != "" {
		c.Reasons[outcome+": "+reason]++
	}
	if outcome != outcomeGood {
		return
	}
	_ = c.latency.RecordValue(min(max(latency.Microseconds(), minLatency), maxLatency))
	second := int(time.Since(t.start) / time.Second)
	for len(t.goodPerSecond) <= second {
		t.goodPerSecond = append(t.goodPerSecond, 0)
	}
	t.goodPerSecond[second]++
}

func (t *tally) recordStart(startDelay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startDelay = max(t.startDelay, startDelay)
}

// report is the result of a run.
type report struct {
	Rate            float64 `json:"rate"` // requested rate, per second
	Seconds         float64 `json:"seconds"`
	Seed            uint64  `json:"seed"`
	Requests        int64   `json:"requests"`
	MaxStartDelayMS float64 `json:"max_late_start_ms"` // longest time by which a request was sent after it was due
	*counts
	GoodPerSecond []int64            `json:"good_each_second"` // by the time at which they ended
	Kinds         map[string]*counts `json:"kinds"`
}

func newReport(l *load, tallies []*tally, elapsed time.Duration) *report {
	r := &report{Rate: l.rate, Seconds: elapsed.Seconds(), Seed: l.seed, counts: newCounts(), Kinds: map[string]*counts{}}
	for _, t := range tallies {
		r.MaxStartDelayMS = max(r.MaxStartDelayMS, float64(t.startDelay.Microseconds())/1000)
		for name, c := range t.kinds {
			if r.Kinds[name] == nil {
				r.Kinds[name] = newCounts()
			}
			r.Kinds[name].merge(c)
			r.merge(c)
		}
		for second, n := range t.goodPerSecond {
			for len(r.GoodPerSecond) <= second {
				r.GoodPerSecond = append(r.GoodPerSecond, 0)
			}
			r.GoodPerSecond[second] += n
		}
	}
	r.finish(elapsed)
	for _, c := range r.Kinds {
		c.finish(elapsed)
	}
	r.Requests = r.total()
	return r
}

// print writes the report as text.
func (r *report) print(out io.Writer) error {
	fmt.Fprintf(out, "%d requests in %.1f s at %.1f/s, %d attempts, seed %d, latest start %.1f ms after its time\n",
		r.Requests, r.Seconds, r.Rate, r.Attempts, r.Seed, r.MaxStartDelayMS)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "request\tgoodput/s\tgood share\tgood\terror\tnot-run\tunknown\tskipped\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms")
	line := func(name string, c *counts) {
		o, q := c.Outcomes, c.Latency
		fmt.Fprintf(w, "%s\t%.1f\t%.4f\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", name, c.Goodput, c.GoodShare, o[outcomeGood], o[outcomeError],
			o[outcomeNotRun], o[outcomeUnknown], o[outcomeSkipped], q.P50, q.P90, q.P99, q.P999, q.Max)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		line(name, r.Kinds[name])
	}
	line("all", r.counts)
	if err := w.Flush(); err != nil {
		return err
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(out, "%s: %d\n", reason, r.Reasons[reason])
	}
	return nil
}
