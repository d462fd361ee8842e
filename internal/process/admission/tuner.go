package admission

import (
	"math"
	"time"
)

const (
	// coarseStep and fineStep are the ratios of the two limits that a trial compares. The coarse step finds a target with
	// far fewer slots than stated in few trials; the fine one is used after a coarse trial changed nothing.
	coarseStep = 0.5
	fineStep   = 0.75
	// coarseMinLimit is the lowest limit that is halved. Half of a small one may be less than the highest ranks need.
	coarseMinLimit = 32
	// trialGain is the ratio of throughputs from which the higher limit counts as useful if the requests in flight grew as
	// the limits. A target with enough slots shows the ratio of the limits, a target that has fewer slots than the lower
	// limit shows 1.
	trialGain = 1.12
	// turnLatencies is the length of one measurement in mean latencies. Targets with a constant service time end requests
	// in bursts, and a turn must hold several.
	turnLatencies = 10
	// minTurn and trialMaxTurn bound the length of one measurement.
	minTurn = 300 * time.Millisecond
	maxTurn = 4 * time.Second
	// maxTrialRounds is the number of pairs of measurements after which an undecided trial ends with the higher limit.
	maxTrialRounds = 6
	// maxUpTrialRounds is the same for a trial of the highest limit, which then follows the measured ratio. A wrong result
	// costs little here, and a target that has its slots back should not wait for certainty.
	maxUpTrialRounds = 3
	// turnTimeoutFactor is the length of a turn, as a multiple of the measured part, after which a trial ends without a
	// result because too few intervals were saturated.
	turnTimeoutFactor = 4
	// maxFailureShare is the share of failed and cancelled requests above which throughput says nothing about slots.
	maxFailureShare = 0.1
	// confidenceErrors is the number of standard errors by which a result must differ from trialGain.
	confidenceErrors = 2
	// assumedIntervals is the number of intervals for which a variance of one is assumed before any was measured.
	assumedIntervals = 2.0
	// minTurnLatencies is the length in mean latencies after which the second side of a trial may already decide for
	// the higher limit.
	minTurnLatencies = 2
	// minTrialDelay and trialMax bound the time between trials of a lower limit. The first trial cost a target with all its
	// 40 slots the work of two (constant service) to five latencies (exponential), so the time grows by trialBackoff with
	// each trial that changes nothing.
	minTrialDelay    = 2 * time.Second
	trialDelayFactor = 4
	maxTrialDelay    = 2 * time.Minute
	// maxReservedShare is the part of the lower limit of a trial that the demand of LongWaitRank and above may take. A trial that
	// leaves less refuses orders: at four times the latency, trials of all targets of a service at once cost about one order
	// in ten for some seconds. The averages of demand and latency lag behind a sudden change, so the part is well below one.
	maxReservedShare = 0.5
	// upTrialDelayFactor and upMax are the same for trials of the highest limit. These cost latency and no throughput, and a target
	// that has recovered must not be held at a lower limit for long.
	upTrialDelayFactor = 2
	maxUpTrialDelay    = 2 * time.Second
	// firstTrialDelay is the time before the first trial of a target whose latency without saturation is not known.
	firstTrialDelay = 10 * time.Second
	// slowdownRatio is the ratio of the latency to the known one from which a lower limit is tried. Requests that wait
	// inside a target with too few slots raise the latency; without that, a trial would cost throughput for nothing. A
	// slower target raises it too, and then the trial decides.
	slowdownRatio = 1.25
	// lowLoadShare is the share of the learned limit below which requests in flight hardly wait inside a target.
	lowLoadShare = 0.5
	// minTrialLimit is the lowest limit that is divided further. Below it, a trial takes seconds to tell two limits apart.
	minTrialLimit = 8
)

// schedule says when a trial may start.
type schedule struct {
	next  time.Duration
	delay time.Duration // after a trial that changes nothing
}

// backOff postpones the next trial after one that changed nothing.
func (s *schedule) backOff(now time.Duration, factor int, longest time.Duration) {
	s.delay = min(time.Duration(factor)*s.delay, longest)
	s.next = now + s.delay
}

// limitStats sums up the measurements at one of the two limits of a trial.
type limitStats struct {
	seconds    float64
	departures float64
	busy       float64 // requests in flight, integrated over time in seconds
	intervals  float64
	squares    float64 // of departures, each divided by the length of its interval
}

// tuner finds the limit by comparing the throughput at two limits in turns while the target is saturated. Latency alone
// cannot tell a slow target, which needs all its slots, from one that has fewer slots than stated.
type tuner struct {
	maxLimit int
	learned  int           // limit outside trials
	baseline time.Duration // mean latency at which no lower limit needs a trial; zero: not measured
	fine     bool          // whether the next trial of a lower limit uses the fine step
	down     schedule      // of trials of a lower limit
	up       schedule      // of trials of the highest limit

	active      bool
	limits      [2]int // lower, higher
	stats       [2]limitStats
	current     int // side that is being measured
	first       int // side that was measured first
	rounds      int
	turnSeconds float64       // seconds measured in this turn
	measureFrom time.Duration // start of the measured part of this turn
}

// reset forgets what was measured.
func (t *tuner) reset(maxLimit int, now time.Duration) {
	*t = tuner{maxLimit: maxLimit, learned: maxLimit, down: schedule{now + firstTrialDelay, minTrialDelay}}
}

// limit returns the present limit.
func (t *tuner) limit() int {
	if t.active {
		return t.limits[t.current]
	}
	return t.learned
}

// updateBaseline takes the latency of an interval with few requests in flight as the known one.
func (t *tuner) updateBaseline(now time.Duration, m *meter, latency *latencyEstimate) {
	if t.active || latency.samples < meanWeight || m.departures == 0 ||
		m.busy >= lowLoadShare*float64(t.learned)*(now-m.start).Seconds() {
		return
	}
	if t.baseline == 0 {
		t.down.next = min(t.down.next, now+minTrialDelay)
	}
	t.baseline = latency.mean
}

// saturated reports whether the interval shows the throughput of the target: work waited, all slots were in use, and
// most requests ended normally.
func saturated(now time.Duration, m *meter) bool {
	waiting := m.backlog >= (now - m.start).Seconds()
	return waiting && m.utilisation() > raiseUtilisation && float64(m.unsuccessful) <= maxFailureShare*float64(m.departures)
}

// observe takes in one interval of measurement.
func (t *tuner) observe(now time.Duration, m *meter, latency *latencyEstimate, reserved float64) {
	saturated := saturated(now, m)
	if t.active && t.first == 1 && t.mustAbort(now, reserved) {
		t.active = false
		t.down.next = now + t.down.delay
	}
	if !t.active {
		if saturated {
			t.startIfDue(now, latency, reserved)
		}
		return
	}
	length := min(max(turnLatencies*latency.mean, minTurn), maxTurn)
	if now-t.measureFrom > turnTimeoutFactor*length {
		t.active = false
		// A trial of the highest limit that measured the present one only cost nothing and may begin again at once.
		if t.first == 1 || t.current == 1 || t.rounds > 0 {
			t.backOff(now, latency)
		}
		return
	}
	// A higher limit under which no work waits is still shown by more throughput than the saturated present limit had.
	tryingHigher := t.first == 0 && t.current == 1
	if m.start < t.measureFrom || (!saturated && !tryingHigher) {
		return
	}
	dt := (now - m.start).Seconds()
	s := &t.stats[t.current]
	s.seconds += dt
	s.departures += float64(m.departures)
	s.busy += m.busy
	s.intervals++
	s.squares += float64(m.departures) * float64(m.departures) / dt
	t.turnSeconds += dt
	turnOver := t.turnSeconds >= length.Seconds()
	if t.current != t.first {
		if turnOver {
			t.rounds++
		}
		if (turnOver || t.turnSeconds >= minTurnLatencies*latency.mean.Seconds()) && t.decide(now, turnOver, latency) {
			return
		}
	}
	if turnOver {
		t.switchTo(1-t.current, now, latency)
	}
}

// mustAbort reports whether a trial of a lower limit must end early: because the highest limit is due, since a target that
// has its slots back must not wait for a trial that can stay undecided for many turns, or because the averages now show
// that orders need the slots.
func (t *tuner) mustAbort(now time.Duration, reserved float64) bool {
	if t.learned < t.maxLimit && now >= t.up.next {
		return true
	}
	return reserved > maxReservedShare*float64(t.limits[0])
}

// startIfDue starts a trial if one is due. The present limit is measured first. Reserved is the number of slots that work of
// LongWaitRank and above needs; no trial of a lower limit takes them away.
func (t *tuner) startIfDue(now time.Duration, latency *latencyEstimate, reserved float64) {
	slower := t.baseline == 0 || float64(latency.mean) > slowdownRatio*float64(t.baseline)
	switch {
	case t.learned < t.maxLimit && now >= t.up.next:
		t.limits, t.first = [2]int{t.learned, t.maxLimit}, 0
	case t.learned >= minTrialLimit && now >= t.down.next && slower:
		step := coarseStep
		if t.fine || t.learned < coarseMinLimit {
			step = fineStep
		}
		if reserved > maxReservedShare*math.Floor(step*float64(t.learned)) {
			t.down.next = now + minTrialDelay
			return
		}
		t.limits, t.first = [2]int{int(float64(t.learned) * step), t.learned}, 1
	default:
		return
	}
	t.stats, t.rounds, t.active = [2]limitStats{}, 0, true
	t.switchTo(t.first, now, latency)
}

// switchTo starts a turn at one of the limits. The first departures still belong to the limit before.
func (t *tuner) switchTo(current int, now time.Duration, latency *latencyEstimate) {
	t.current, t.turnSeconds = current, 0
	t.measureFrom = now + latency.mean
}

// decide ends the trial if the measurements suffice, and reports whether it did. Inside a turn it decides for the higher
// limit only.
func (t *tuner) decide(now time.Duration, turnOver bool, latency *latencyEstimate) bool {
	low, high := t.stats[0], t.stats[1]
	if low.departures == 0 || high.departures == 0 {
		return false
	}
	ratio := (high.departures / high.seconds) / (low.departures / low.seconds)
	requiredGain := t.requiredGain()
	switch {
	case ratio-confidenceErrors*ratio*t.relativeError(t.variance(latency), latency) > requiredGain:
		t.end(now, 1, latency)
	case turnOver && ratio+confidenceErrors*ratio*t.relativeError(latency.variance, latency) < requiredGain:
		t.end(now, 0, latency)
	case turnOver && t.first == 0 && t.rounds >= maxUpTrialRounds && ratio <= requiredGain:
		t.end(now, 0, latency)
	case turnOver && t.first == 0 && t.rounds >= maxUpTrialRounds:
		t.end(now, 1, latency)
	case turnOver && t.rounds >= maxTrialRounds:
		t.end(now, 1, latency)
	default:
		return false
	}
	return true
}

// requiredGain returns the ratio of throughputs from which the higher limit counts as useful: trialGain, scaled by the share of the
// additional slots that were in use. Demand may need only a part of them, and then bounds the ratio.
func (t *tuner) requiredGain() float64 {
	low, high := t.stats[0], t.stats[1]
	ratio := (high.busy / high.seconds) / (low.busy / low.seconds)
	used := (ratio - 1) / (float64(t.limits[1])/float64(t.limits[0]) - 1)
	return 1 + (trialGain-1)*min(1, max(0, used))
}

// variance returns the variance of the number of departures relative to its mean, against which the higher limit must
// prove itself. Inside a target with too few slots each request waits for many others, so that latencies vary less than
// service times; there only the number of departures shows the variance. Departures in bursts, which spread adds, raise
// it; departures at random have a variance of one. A trial of a lower limit uses the variance of latencies, since to keep
// the present limit is no risk and every interval at the lower one costs throughput.
func (t *tuner) variance(latency *latencyEstimate) float64 {
	if t.first == 1 {
		return latency.variance
	}
	sum, n := assumedIntervals, assumedIntervals
	for _, s := range t.stats {
		rate := s.departures / s.seconds
		sum += s.squares/rate - s.departures
		n += s.intervals - 1
	}
	return max(latency.variance, min(1, sum/n))
}

// relativeError returns the relative error of the ratio of throughputs for a variance of departures.
func (t *tuner) relativeError(variance float64, latency *latencyEstimate) float64 {
	return math.Sqrt(t.stats[0].squaredError(variance, latency) + t.stats[1].squaredError(variance, latency))
}

// squaredError returns the squared relative error of the measured throughput: the part from varying latencies, and the part
// from departures in bursts, of which a measurement may hold a part of one more or less.
func (s limitStats) squaredError(variance float64, latency *latencyEstimate) float64 {
	bursts := max(1, s.seconds/latency.mean.Seconds())
	return variance/s.departures + 1/(6*bursts*bursts)
}

// end takes the limit of one side.
func (t *tuner) end(now time.Duration, winner int, latency *latencyEstimate) {
	t.active = false
	if winner == t.first {
		t.backOff(now, latency)
	} else {
		t.learned = t.limits[winner]
		t.down = schedule{now, minTrialDelay}
		t.up = schedule{now + minTrialDelay, minTrialDelay}
	}
	if t.learned == t.maxLimit {
		t.down.next = max(t.down.next, now+minTrialDelay)
	}
}

// backOff schedules the next trial after one that changed nothing.
func (t *tuner) backOff(now time.Duration, latency *latencyEstimate) {
	if t.first == 0 {
		t.up.backOff(now, upTrialDelayFactor, maxUpTrialDelay)
		return
	}
	t.baseline = latency.mean
	t.fine = !t.fine
	t.down.backOff(now, trialDelayFactor, maxTrialDelay)
}
