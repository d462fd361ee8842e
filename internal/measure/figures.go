package measure

import (
	"math"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// Figures are the measurements of one run.
type Figures struct {
	Goodput             float64 // complete responses in time, divided by the most that the slots could complete
	OrderSuccess        float64 // orders with a complete response in time, divided by the orders sent that the slots could serve
	Recovery            float64 // seconds from the end of the trigger until goodput is back at its earlier level; +Inf if it does not recover
	Wasted              float64 // target time that served no complete response, divided by all target time, with the warm-up
	MaxAttempts         int     // largest number of sends between nodes for one root request over the whole chain
	Duplicates          int     // idempotency keys with more than one execution
	FalseNotRun         int     // requests reported as not run that a target had begun to run; see addViolations
	MismatchedResponses int     // requests that got the response of another request
	OverAttemptBound    int     // requests with more attempts over the chain than attemptsBound
	ReadSuccess         float64 // requests other than orders with a complete response in time, divided by those sent
	Requests            int
	UnboundOrders       int       // orders with idempotency keys chosen by their callers, first sent while the platform was down
	UnboundCompleted    int       // unbound orders with a complete response in time, which they can get only after the platform is back
	Buckets             []float64 // complete responses per second, by bucket
}

// bucketTime is the length of a bucket of the goodput curve.
const bucketTime = 250 * time.Millisecond

// Goodput counts as recovered when its mean over recoveryWindow is at least recoveredShare of its mean before the trigger.
const (
	recoveryWindow = 5 * time.Second
	recoveredShare = 0.99
)

// warmUp is the time at the start of a run that does not count for goodput, success and the level that recovery must reach.
const warmUp = 5 * time.Second

// Run simulates a scenario at a site with a system and returns its figures. It must be called inside a synctest bubble.
func Run(site Site, system System, s Scenario) Figures {
	w := NewWorld(site, system, s.Options)
	t := &traffic{world: w, clients: s.Clients}
	if s.OnStart != nil {
		s.OnStart(w)
	}
	if s.OnTriggerStart != nil {
		time.AfterFunc(s.TriggerStart, func() { s.OnTriggerStart(w) })
	}
	if s.OnTriggerEnd != nil {
		time.AfterFunc(s.TriggerEnd, func() { s.OnTriggerEnd(w) })
	}
	start := time.Now()
	t.run(s.Length, func(at time.Duration) float64 { return site.SaturationRate * s.Load(at) })
	time.Sleep(time.Minute) // lets work finish that no caller waits for
	return computeFigures(site, s, t, start)
}

func computeFigures(site Site, s Scenario, t *traffic, start time.Time) Figures {
	f := Figures{Requests: len(t.results), Buckets: make([]float64, int(s.Length/bucketTime))}
	var succeeded, orders, ordersSucceeded, reads, readsSucceeded float64
	for _, r := range t.results {
		f.addViolations(t.world, r)
		at := r.end.Sub(start)
		if r.succeeded && at < s.Length {
			f.Buckets[int(at/bucketTime)] += 1 / bucketTime.Seconds()
		}
		if r.start.Sub(start) < warmUp {
			continue
		}
		if r.succeeded && at < s.countsUntil(site, r, start) {
			succeeded++
		}
		if r.unboundKey {
			f.UnboundOrders++
			if r.succeeded {
				f.UnboundCompleted++
			}
		}
		if !r.route.Once {
			reads++
			if r.succeeded {
				readsSucceeded++
			}
		}
		if r.route.Once && !r.unboundKey {
			orders++
			if r.succeeded {
				ordersSucceeded++
			}
		}
	}
	f.Goodput = succeeded / maxResponses(site, s)
	f.OrderSuccess = ordersSucceeded / (orders * s.servableOrderShare(site))
	f.ReadSuccess = readsSucceeded / reads
	f.Recovery = recovery(f.Buckets, s)
	f.Wasted = t.world.ledger.wastedShare(t.results)
	for _, n := range t.world.ledger.attempts {
		f.MaxAttempts = max(f.MaxAttempts, n)
	}
	for _, n := range t.world.ledger.keys {
		if n > 1 {
			f.Duplicates++
		}
	}
	return f
}

// addViolations compares the outcome that the caller got with what the targets ran. An attempt that was reported as not run
// must not have run, even if a later attempt of the same request did.
func (f *Figures) addViolations(w *World, r *result) {
	l := w.ledger
	if r.outcome == message.NotRun && l.ran(r.id) || l.began(r.notRunSpans) {
		f.FalseNotRun++
	}
	if r.mismatched {
		f.MismatchedResponses++
	}
	if l.attempts[r.id] > w.attemptsBound(r) {
		f.OverAttemptBound++
	}
}

// attemptsBound returns the largest number of sends between nodes that a root request may take. Each attempt of the caller
// traverses the chain once, with one send per service, and an order may take one more to the home node of its key. All hops
// and all attempts of the caller share one retry budget. A retry follows either an attempt that was not run, which took one
// send, or an attempt on a connection that went silent, which may have traversed the rest of the chain.
func (w *World) attemptsBound(r *result) int {
	chainLength := w.site.chainLength(r.route.Service)
	if r.route.Once {
		chainLength++
	}
	retryCost := 1
	if w.hadPartition.Load() {
		retryCost = chainLength
	}
	return chainLength*r.attempts + retryCost*policy.DefaultRetryBudget
}

// chainLength returns the number of calls that one request to the service takes, the request itself included.
func (s Site) chainLength(name string) int {
	n := 1
	for _, callee := range s.service(name).Calls {
		n += s.chainLength(callee)
	}
	return n
}

// countsUntil returns the time until which a response to the request counts as goodput. The best possible goodput treats
// demand that the slots cannot serve at once as lost. Retries can carry such demand past the end of the trigger, when slots
// are idle, so a response counts only in the phase (before or after the end of the trigger) of the first attempt. A request
// that arrives at the end of a phase is given the time that an idle chain takes.
func (s Scenario) countsUntil(site Site, r *result, start time.Time) time.Duration {
	end, slow := s.Length, map[string]float64(nil)
	if r.start.Sub(start) < s.TriggerEnd {
		end = s.TriggerEnd
		if s.ServiceTimeFactors != nil {
			slow = s.ServiceTimeFactors(site)
		}
	}
	return end + 2*site.ClientLatency + 2*site.ZoneLatency + site.minSlotTime(r.route.Service, slow)
}

// maxResponses returns the largest number of responses that the slots could complete after the warm-up.
func maxResponses(site Site, s Scenario) float64 {
	total := 0.0
	for at := warmUp; at < s.Length; at += bucketTime {
		total += s.maxGoodputAt(site, at) * bucketTime.Seconds()
	}
	return total
}

// servableOrderShare returns the share of the orders after the warm-up that the slots could serve if there were only orders.
func (s Scenario) servableOrderShare(site Site) float64 {
	alone := site
	alone.Routes = nil
	share := 0.0
	for _, r := range site.Routes {
		if r.Once {
			alone.Routes = append(alone.Routes, r)
			share += r.Share
		}
	}
	offered, served := 0.0, 0.0
	for at := warmUp; at < s.Length; at += bucketTime {
		offered += site.SaturationRate * s.Load(at) * share
		served += s.maxGoodputAt(alone, at)
	}
	return served / offered
}

// maxGoodputAt returns the most responses per second that the slots could complete at the given time of the scenario.
func (s Scenario) maxGoodputAt(site Site, at time.Duration) float64 {
	var slow, slotShares map[string]float64
	if len(s.Options.SlotFactors) > 0 {
		slotShares = slotSharesOf(site, s.Options.SlotFactors)
	}
	if at >= s.TriggerStart && at < s.TriggerEnd {
		if s.ServiceTimeFactors != nil {
			slow = s.ServiceTimeFactors(site)
		}
		if s.SlotShares != nil {
			slotShares = s.SlotShares(site)
		}
	}
	return site.MaxGoodput(site.SaturationRate*s.Load(at), slow, slotShares)
}

// recovery returns the seconds from the end of the trigger until mean goodput over recoveryWindow is recoveredShare of its mean
// before the trigger.
func recovery(buckets []float64, s Scenario) float64 {
	mean := func(from, to int) float64 {
		sum := 0.0
		for _, b := range buckets[from:to] {
			sum += b
		}
		return sum / float64(to-from)
	}
	index := func(d time.Duration) int { return int(d / bucketTime) }
	before := mean(index(warmUp), index(s.TriggerStart))
	hold := index(recoveryWindow)
	for i := index(s.TriggerEnd); i+hold <= len(buckets)-index(clientTimeout); i++ {
		if mean(i, i+hold) >= recoveredShare*before {
			return (time.Duration(i)*bucketTime - s.TriggerEnd).Seconds()
		}
	}
	return math.Inf(1)
}

// wastedShare returns the share of target time that served no complete response: all time of requests that failed, and all
// but one completed execution per service of those that succeeded.
func (l *ledger) wastedShare(results []*result) float64 {
	var useful, total time.Duration
	for _, runs := range l.runs {
		for _, x := range runs {
			total += x.duration
		}
	}
	for _, r := range results {
		if !r.succeeded {
			continue
		}
		seen := map[string]bool{}
		for _, x := range l.runs[r.id] {
			if x.ok && !seen[x.service] {
				seen[x.service] = true
				useful += x.duration
			}
		}
	}
	return 1 - float64(useful)/float64(total)
}
