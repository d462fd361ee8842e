package admission

import (
	"math"
	"slices"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// thresholdExpiry is the shortest length of a measurement interval that resets the threshold to zero. Intervals end
	// after tickInterval, unless nothing calls the Controller, which means that no request arrives or ends.
	thresholdExpiry = time.Second
	// rankExpiry is the time for which a rank counts as in use after its last arrival.
	rankExpiry = time.Minute
	// raiseUtilisation is the utilisation below which refusals by the queue and a long queue count as a burst, not as
	// overload.
	raiseUtilisation = 0.9
	// lowerUtilisation is the utilisation below which the threshold is lowered if the queue is short. It can exceed
	// raiseUtilisation, because the threshold is raised only if the queue has refused requests or is long.
	lowerUtilisation = 0.97
	// correctionGain is the part of a measured excess of arrivals or of spare capacity (idle slots) that one interval
	// corrects. Correcting all of it overshoots, because arrivals vary from interval to interval.
	correctionGain = 0.5
	// queueSetpoint is the share of the queue that should stay in use under overload, so that slots are not idle between
	// arrivals.
	queueSetpoint = 0.25
	// drainShare is the part of the queue length above the setpoint that one interval aims to remove.
	drainShare = 0.2
	// minAdmittedShare is the least number of arrivals of an interval that a raised threshold would have admitted, as a
	// share of the departures of the same interval. Fewer would leave slots idle as soon as the queue is empty.
	minAdmittedShare = 0.9
	// smoothingDepartures is the number of departures over which demand and capacity are smoothed. One interval of a
	// small target contains too few requests to tell a burst of a rank from an overload.
	smoothingDepartures = 100
	// minDemandWeight and maxDemandWeight bound the weight of one interval in the same averages: they are taken over 10 to
	// 50 intervals, which is 1 to 5 s.
	minDemandWeight = 0.02
	maxDemandWeight = 0.1
	// firstStepShare is the first decrease of the threshold as a part of the largest one, which is returnStep (see
	// shedder). The decrease doubles with each further interval that lowers the threshold.
	firstStepShare = 1.0 / 8
	// prioritiesPerRank is the number of priorities in one rank. Multiplied by returnStep it is the largest decrease in
	// one interval, in priorities.
	prioritiesPerRank = 256
	// minStep is the decrease, in priorities, that is allowed even if hardly any slot is idle, so that the threshold
	// keeps falling.
	minStep = 2
	// idleFillShare is the part of the idle slots that the requests admitted by one decrease may fill, if the entry nodes
	// have shed them so far. These requests arrive three to five intervals later, once the upstream hops have processed
	// them, and the threshold is lowered again in each of these intervals; together the decreases fill the slots about once.
	idleFillShare = 0.2
	// minAdmittedWidth is the least number of admitted priorities of a rank from which the demand per priority is
	// estimated.
	minAdmittedWidth = 4
	// maxRankDemandShare is the demand of a rank and those above, as a share of the capacity, from which the threshold
	// may refuse requests of the rank. Below it, the rank is left to the queue, which absorbs bursts; a threshold would
	// have all nodes refuse its requests.
	maxRankDemandShare = 1.1
)

// shedder computes the threshold: the lowest priority that is admitted.
type shedder struct {
	threshold message.Priority
	step      int // bound on the decrease in the last interval, in priorities; zero: the threshold was not lowered
	// returnStep is the largest decrease in one interval, as a part of a rank, for a target whose slots are all idle. A
	// request that an entry node admits after a decrease arrives some intervals later, once the upstream hops have
	// processed it. With larger steps the threshold falls in that time far below the value at which the admitted demand
	// matches the capacity, and many of the requests admitted then are refused here.
	returnStep  float64
	pressure    float64            // refused requests per departure, smoothed
	lastArrival [256]time.Duration // time of the last arrival per rank, plus one; zero: none
	demand      [256]float64       // arrivals per interval at each rank, smoothed
	admitted    [256]float64       // the part of demand at or above the threshold
	capacity    float64            // departures per interval at a utilisation of at least raiseUtilisation, smoothed
	scratch     [sampleSize]message.Priority
}

// SetReturnStep sets the largest part of a rank that a target with idle slots admits again in each interval.
func (c *Controller) SetReturnStep(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shedder.returnStep = share
}

func (sh *shedder) recordRank(rank uint8, now time.Duration) { sh.lastArrival[rank] = now + 1 }

// adjust moves the threshold at the end of an interval. expected is the number of departures per interval that follows
// from limit and latency.
func (sh *shedder) adjust(now time.Duration, m *meter, q *queue, queueLength int, expected float64) {
	elapsed := now - m.start
	if elapsed >= thresholdExpiry {
		sh.threshold, sh.step, sh.pressure = 0, 0, 0
		return
	}
	refused := float64(m.arrivals - m.aboveThreshold + m.queueRefusals)
	sh.pressure += (refused/float64(max(1, m.departures)) - sh.pressure) * correctionGain

	use, backlog := m.utilisation(), m.backlog/elapsed.Seconds()
	sh.updateDemand(m, use, expected, elapsed)
	setpoint := queueSetpoint * float64(queueLength)
	overload := m.queueRefusals > 0 || backlog > 2*setpoint
	switch {
	case overload && use >= raiseUtilisation:
		sh.step = 0
		next := sh.raisedThreshold(m, float64(m.queueRefusals)+drainShare*max(0, float64(q.len())-setpoint))
		// The threshold rises no further than to the top of the lowest rank in the queue: requests of higher ranks displace
		// these waiters, so that none of them has to be refused yet.
		if last := q.len() - 1; last >= 0 {
			next = min(next, message.Priority(q.items[last].work.Priority.Rank())<<8|255)
		}
		sh.threshold = max(sh.threshold, min(next, sh.maxThreshold()))
	case sh.threshold > 0 && use < lowerUtilisation && backlog <= setpoint:
		sh.lower(now, elapsed, m, use)
	default:
		sh.step = 0
	}
}

// updateDemand updates the smoothed demand per rank and the capacity, which starts at expected.
func (sh *shedder) updateDemand(m *meter, use, expected float64, elapsed time.Duration) {
	scale := float64(tickInterval) / float64(elapsed)
	weight := min(max(sh.capacity/smoothingDepartures, minDemandWeight), maxDemandWeight)
	for rank := range sh.demand {
		sh.demand[rank] *= 1 - weight
		sh.admitted[rank] *= 1 - weight
	}
	n := min(m.arrivals, sampleSize)
	for _, p := range m.sample[:n] {
		arrivals := weight * scale * float64(m.arrivals) / float64(n)
		sh.demand[p.Rank()] += arrivals
		if p >= sh.threshold {
			sh.admitted[p.Rank()] += arrivals
		}
	}
	if use >= raiseUtilisation {
		if sh.capacity == 0 {
			sh.capacity = expected
		}
		sh.capacity += weight * (scale*float64(m.departures) - sh.capacity)
	}
}

// demandFrom returns the demand of a rank and those above, in requests per interval.
func (sh *shedder) demandFrom(rank uint8) float64 {
	sum := 0.0
	for _, d := range sh.demand[rank:] {
		sum += d
	}
	return sum
}

// maxThreshold returns the highest threshold that the demand justifies: the lowest priority of the lowest rank that the
// target can serve completely together with the ranks above it.
func (sh *shedder) maxThreshold() message.Priority {
	sum, lowest := 0.0, message.MaxRank+1
	for rank := message.MaxRank; rank >= 0; rank-- {
		if sum += sh.demand[rank]; sum >= maxRankDemandShare*sh.capacity {
			break
		}
		lowest = rank
	}
	return message.Priority(min(lowest<<8, math.MaxUint16))
}

// samples returns the priorities of the latest arrivals of the interval, sorted, and the number of arrivals that each of
// them stands for.
func (sh *shedder) samples(m *meter) ([]message.Priority, float64) {
	n := min(m.arrivals, sampleSize)
	s := sh.scratch[:n]
	copy(s, m.sample[:n])
	slices.Sort(s)
	return s, max(1, float64(m.arrivals)/float64(max(1, n)))
}

// raisedThreshold returns the threshold that would have refused part of the excess arrivals in this interval. It refuses
// at most the surplus, the arrivals beyond those that must be admitted to keep the slots busy.
func (sh *shedder) raisedThreshold(m *meter, excess float64) message.Priority {
	s, weight := sh.samples(m)
	from, _ := slices.BinarySearch(s, sh.threshold)
	s = s[from:]
	surplus := float64(m.aboveThreshold) - minAdmittedShare*float64(m.departures)
	drop := int(min(correctionGain*excess, surplus) / weight)
	if drop <= 0 || drop >= len(s) {
		return sh.threshold
	}
	return s[drop]
}

// lower lowers the threshold so far that the additional requests would have filled part of the slots that were idle in
// this interval, but at most by one step for each tickInterval that it took. If enough requests arrived below the threshold,
// it counts them; otherwise the entry nodes shed these requests, and it uses the estimate of stepToFill.
func (sh *shedder) lower(now, elapsed time.Duration, m *meter, use float64) {
	largest := sh.returnStep * prioritiesPerRank
	decrease := 0
	for range max(1, elapsed.Round(tickInterval)/tickInterval) { // more than one if few requests arrive
		sh.step = min(max(int(firstStepShare*largest), 2*sh.step), int(largest))
		sh.step = max(minStep, min(sh.step, int((1-use)*largest)))
		decrease += sh.step
	}
	next := sh.stepDown(now, decrease)
	s, weight := sh.samples(m)
	from, _ := slices.BinarySearch(s, sh.threshold)
	if use > 0 {
		spare := float64(m.departures) * (1 - use) / use // requests that the idle slots could have processed
		if fit := max(1, int(correctionGain*spare/weight)); fit < from {
			next = max(next, s[from-fit])
		} else if n, ok := sh.stepToFill(spare); ok {
			next = max(next, sh.stepDown(now, n))
		}
	}
	sh.threshold = next
}

// stepToFill returns the decrease, in priorities, whose requests fill part of the spare capacity, and whether it can be
// estimated. The requests that entry nodes shed are not among the arrivals here, so their number per priority is
// estimated from the requests of the same rank at or above the threshold, as if all priorities of a rank were equally
// frequent.
func (sh *shedder) stepToFill(spare float64) (int, bool) {
	// Number of priorities from the threshold to the top of its rank. MaxRank, 255, is also the highest hash in a rank.
	width := message.MaxRank + 1 - int(sh.threshold&message.MaxRank)
	admitted := sh.admitted[sh.threshold.Rank()]
	if admitted == 0 || width < minAdmittedWidth {
		return 0, false
	}
	return max(1, int(idleFillShare*spare*float64(width)/admitted)), true
}

// stepDown returns the priority that is step priorities below the threshold. It skips ranks that are not in use, since
// stepping through them would admit no request.
func (sh *shedder) stepDown(now time.Duration, step int) message.Priority {
	p := int(sh.threshold)
	if inRank := p & 255; step <= inRank {
		return message.Priority(p - step)
	}
	step -= p&255 + 1
	for rank := p>>8 - 1; rank >= 0; rank-- {
		if sh.lastArrival[rank] == 0 || now-sh.lastArrival[rank] > rankExpiry {
			continue
		}
		if step <= 255 {
			return message.Priority(rank<<8 | (255 - step))
		}
		step -= 256
	}
	return 0
}
