package admission

import (
	"math"
	"time"
)

// A target may have fewer slots than configured, and the number may change while it runs. The tuner finds it by trials. A
// trial compares the throughput, in departures per second, at two limits on requests in flight, a lower and a higher one.
// One of them is the learned limit, which applies outside trials. A trial of a lower limit compares it with a lower one, a
// trial of the highest limit with the configured one. The two limits apply in alternating turns; one turn at each is a
// round. The trial ends when the ratio of the throughputs, that at the higher limit divided by that at the lower, shows
// whether the target has slots above the lower limit. The better limit then becomes the learned one. A trial that stays
// undecided ends after a number of rounds.
const (
	// coarseStep and fineStep are the ratios of the lower limit to the learned one in a trial of a lower limit. The coarse
	// step finds a target with far fewer slots than configured in few trials; the fine step is used after a coarse trial
	// changed nothing.
	coarseStep = 0.5
	fineStep   = 0.75
	// coarseMinLimit is the lowest limit that is halved. Half of a smaller limit may be less than the highest ranks
	// need.
	coarseMinLimit = 32
	// trialGain is the ratio of throughputs from which the higher limit counts as useful, if the requests in flight
	// grew in proportion to the limits. A target with enough slots shows the ratio of the limits; a target with fewer
	// slots than the lower limit shows 1.
	trialGain = 1.12
	// turnLatencies is the length of the measured part of one turn in mean latencies. In a target with a constant service
	// time, requests that started together end together. A turn must contain several of these bursts.
	turnLatencies = 10
	// minTurn and maxTurn bound the length of the measured part of one turn.
	minTurn = 300 * time.Millisecond
	maxTurn = 4 * time.Second
	// maxTrialRounds is the number of rounds after which an undecided trial of a lower limit ends with the higher limit.
	maxTrialRounds = 6
	// maxUpTrialRounds is the number of rounds after which an undecided trial of the highest limit ends. The measured
	// ratio then decides, however uncertain it is: a wrong result costs little here, and a target that has its slots back
	// should not wait for certainty.
	maxUpTrialRounds = 3
	// turnTimeoutFactor is the duration of a turn, as a multiple of the part to be measured, after which a trial ends
	// without a result because too few intervals were saturated.
	turnTimeoutFactor = 4
	// maxFailureShare is the share of failed, cancelled and paused requests above which throughput says nothing about
	// slots.
	maxFailureShare = 0.1
	// confidenceErrors is the number of standard errors by which the measured ratio of throughputs must differ from the
	// required one (see requiredGain) to decide a trial.
	confidenceErrors = 2
	// assumedIntervals is the number of intervals, in addition to the measured ones, for which the variance of the number
	// of departures, divided by its mean, is assumed to be one, as for departures at random times.
	assumedIntervals = 2.0
	// minTurnLatencies is the length, in mean latencies, after which the turn at the second limit may already decide
	// for the higher limit.
	minTurnLatencies = 2
	// minTrialDelay and maxTrialDelay bound the time between trials of a lower limit. The first trial of a target that has
	// all of its 40 slots costs as many requests as it processes in two (constant service time) to five (exponential
	// service times) mean latencies, so the time grows by trialDelayFactor with each trial that changes nothing.
	minTrialDelay    = 2 * time.Second
	trialDelayFactor = 4
	maxTrialDelay    = 2 * time.Minute
	// maxLongWaitShare is the part of the lower limit of a trial that the demand of LongWaitRank and above may take. If it
	// takes more, the trial refuses requests of these ranks, such as orders: after the latency of all targets of a service
	// had risen to four times its value, their simultaneous trials cost about one order in ten for some seconds. The
	// averages of demand and latency lag behind a sudden change, so the part is well below one.
	maxLongWaitShare = 0.5
	// upTrialDelayFactor and maxUpTrialDelay are to trials of the highest limit what trialDelayFactor and maxTrialDelay are
	// to those of a lower one. Trials of the highest limit cost latency but no throughput, and a target that has its slots
	// back must not be held at a lower limit for long.
	upTrialDelayFactor = 2
	maxUpTrialDelay    = 2 * time.Second
	// firstTrialDelay is the time before the first trial of a lower limit if the baseline, the latency of the target
	// at low load, is not known.
	firstTrialDelay = 10 * time.Second
	// slowdownRatio is the ratio of the latency to the baseline above which a lower limit is tried. Requests that wait
	// inside a target with too few slots raise the latency; without a rise, a trial would cost throughput for nothing.
	// The latency also rises if the target processes requests more slowly; the trial then tells the two cases apart.
	slowdownRatio = 1.25
	// lowLoadShare is the number of requests in flight, as a share of the learned limit, below which they hardly wait
	// inside a target.
	lowLoadShare = 0.5
	// minTrialLimit is the lowest limit for which a lower one is tried. Below it, a trial takes seconds to tell two
	// limits apart.
	minTrialLimit = 8
)

// schedule determines when a trial may start.
type schedule struct {
	next  time.Duration
	delay time.Duration // added after a trial that changes nothing
}

// backOff increases the delay and postpones the next trial, after one that changed nothing.
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
	squares    float64 // sum over the intervals of departures², divided by the length of the interval; for the variance
}

// tuner finds the limit on requests in flight. While the target is saturated, it runs trials that compare the
// throughput at two limits. Latency alone cannot tell a slow target, which needs all its slots, from one that has fewer
// slots than configured.
type tuner struct {
	maxLimit int // the highest limit, which is the configured one
	learned  int // limit outside trials
	// baseline is the mean latency at low load, or at the end of the last trial of a lower limit if that trial changed
	// nothing. A trial of a lower limit starts only if the latency exceeds slowdownRatio times the baseline. Zero: not
	// measured; a trial then needs no rise of the latency.
	baseline time.Duration
	fine     bool     // whether the next trial of a lower limit uses the fine step
	down     schedule // of trials of a lower limit
	up       schedule // of trials of the highest limit

	// The trial in progress.
	active  bool
	limits  [2]int        // the lower and the higher limit
	stats   [2]limitStats // measured at each of the limits
	current int           // index of the limit that is being measured
	// first is the index of the learned limit, which is measured first: 1 in a trial of a lower limit, 0 in one of the
	// highest.
	first       int
	rounds      int           // completed rounds
	turnSeconds float64       // seconds measured in this turn
	measureFrom time.Duration // start of the measured part of this turn
}

// reset discards the measurements and returns to the highest limit.
func (t *tuner) reset(maxLimit int, now time.Duration) {
	*t = tuner{maxLimit: maxLimit, learned: maxLimit, down: schedule{now + firstTrialDelay, minTrialDelay}}
}

func (t *tuner) limit() int {
	if t.active {
		return t.limits[t.current]
	}
	return t.learned
}

// updateBaseline sets the baseline to the mean latency if few requests were in flight in the interval.
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

// saturated reports whether the interval shows the throughput of the target: at least one request waited on average,
// nearly all slots were in use, and most requests ended normally.
func saturated(now time.Duration, m *meter) bool {
	waiting := m.backlog >= (now - m.start).Seconds()
	return waiting && m.utilisation() > raiseUtilisation && float64(m.unsuccessful) <= maxFailureShare*float64(m.departures)
}

// observe processes one measurement interval.
func (t *tuner) observe(now time.Duration, m *meter, latency *latencyEstimate, longWaitSlots float64) {
	saturated := saturated(now, m)
	if t.active && t.first == 1 && t.mustAbort(now, longWaitSlots) {
		t.active = false
		t.down.next = now + t.down.delay
	}
	if !t.active {
		if saturated {
			t.startIfDue(now, latency, longWaitSlots)
		}
		return
	}
	length := min(max(turnLatencies*latency.mean, minTurn), maxTurn)
	if now-t.measureFrom > turnTimeoutFactor*length {
		t.active = false
		// A trial of the highest limit that has only measured the learned one cost nothing and may start again at once.
		if t.first == 1 || t.current == 1 || t.rounds > 0 {
			t.backOff(now, latency)
		}
		return
	}
	// In a trial of the highest limit, intervals at that limit count even if no request waits: the throughput still shows
	// whether it exceeds that at the learned limit.
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

// mustAbort reports whether a trial of a lower limit must end early. It must if a trial of the highest limit is due,
// since a target that has its slots back must not wait for a trial that can stay undecided for many turns, or if
// requests of LongWaitRank and above now need more than maxLongWaitShare of the lower limit.
func (t *tuner) mustAbort(now time.Duration, longWaitSlots float64) bool {
	if t.learned < t.maxLimit && now >= t.up.next {
		return true
	}
	return longWaitSlots > maxLongWaitShare*float64(t.limits[0])
}

// startIfDue starts a trial if one is due. The learned limit is measured first. longWaitSlots is the number of slots that
// requests of LongWaitRank and above need; no trial of a lower limit takes them away.
func (t *tuner) startIfDue(now time.Duration, latency *latencyEstimate, longWaitSlots float64) {
	slower := t.baseline == 0 || float64(latency.mean) > slowdownRatio*float64(t.baseline)
	switch {
	case t.learned < t.maxLimit && now >= t.up.next:
		t.limits, t.first = [2]int{t.learned, t.maxLimit}, 0
	case t.learned >= minTrialLimit && now >= t.down.next && slower:
		step := coarseStep
		if t.fine || t.learned < coarseMinLimit {
			step = fineStep
		}
		if longWaitSlots > maxLongWaitShare*math.Floor(step*float64(t.learned)) {
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

// switchTo starts a turn at the limit with the given index. Departures within the first mean latency of the turn are of
// requests that started under the previous limit, so they are not measured.
func (t *tuner) switchTo(current int, now time.Duration, latency *latencyEstimate) {
	t.current, t.turnSeconds = current, 0
	t.measureFrom = now + latency.mean
}

// decide ends the trial if the measurements suffice, and reports whether it did. Before the turn is over it decides for
// the higher limit only.
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

// requiredGain returns the ratio of throughputs from which the higher limit counts as useful: one plus the gain that
// trialGain demands, scaled by the share of the additional slots that were in use. Demand may need only part of these
// slots, and then bounds the ratio.
func (t *tuner) requiredGain() float64 {
	low, high := t.stats[0], t.stats[1]
	ratio := (high.busy / high.seconds) / (low.busy / low.seconds)
	used := (ratio - 1) / (float64(t.limits[1])/float64(t.limits[0]) - 1)
	return 1 + (trialGain-1)*min(1, max(0, used))
}

// variance returns the variance of the number of departures, divided by its mean, from which decide computes the standard
// error when it decides for the higher limit. In a trial of the highest limit it is estimated from latencies and from
// departures, and the larger estimate counts. Inside a target with too few slots each request waits for many others, so
// that latencies vary less than service times, and only the number of departures shows the variance. The estimate from
// departures is at most one, the value for departures at random times, because bursts raise it and squaredError adds their
// error separately. A trial of a lower limit uses the variance of latencies only: keeping the learned limit is no risk,
// and every interval at the lower one costs throughput.
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

// relativeError returns the relative standard error of the ratio of throughputs for a variance of departures.
func (t *tuner) relativeError(variance float64, latency *latencyEstimate) float64 {
	return math.Sqrt(t.stats[0].squaredError(variance, latency) + t.stats[1].squaredError(variance, latency))
}

// squaredError returns the squared relative error of the measured throughput. The first part comes from the variance of
// departures. The second part comes from departures in bursts, one per mean latency: the measured time rarely is a whole
// number of bursts long, and depending on where it starts, it contains one burst more or less. If the fraction f beyond a
// whole number is equally distributed, the variance of the number of bursts is the mean of f(1-f), which is 1/6.
func (s limitStats) squaredError(variance float64, latency *latencyEstimate) float64 {
	bursts := max(1, s.seconds/latency.mean.Seconds())
	return variance/s.departures + 1/(6*bursts*bursts)
}

// end ends the trial with the limit at index winner as the learned one. If that was the learned limit before, the trial
// has changed nothing.
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
