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
	// trialTurn is the length of one measurement in mean latencies. Targets with a constant service time end requests
	// in bursts, and a turn must hold several.
	trialTurn = 10
	// trialMinTurn and trialMaxTurn bound the length of one measurement.
	trialMinTurn = 300 * time.Millisecond
	trialMaxTurn = 4 * time.Second
	// trialRounds is the number of pairs of measurements after which an undecided trial ends with the higher limit.
	trialRounds = 6
	// trialUpRounds is the same for a trial of the highest limit, which then follows the measured ratio. A wrong result
	// costs little here, and a target that has its slots back should not wait for certainty.
	trialUpRounds = 3
	// trialPatience is the length of a turn, as a multiple of the measured part, after which a trial ends without a
	// result because too few intervals were saturated.
	trialPatience = 4
	// trialBad is the share of failed and cancelled requests above which throughput says nothing about slots.
	trialBad = 0.1
	// confidence is the number of standard errors by which a result must differ from trialGain.
	confidence = 2
	// varianceWeight is the number of intervals for which a variance of one is assumed before any was measured.
	varianceWeight = 2.0
	// trialMinLatencies is the length in mean latencies after which the second side of a trial may already decide for
	// the higher limit.
	trialMinLatencies = 2
	// trialFirst and trialMax bound the time between trials of a lower limit. The first trial cost a target with all its
	// 40 slots the work of two (constant service) to five latencies (exponential), so the time grows by trialBackoff with
	// each trial that changes nothing.
	trialFirst   = 2 * time.Second
	trialBackoff = 4
	trialMax     = 2 * time.Minute
	// trialReserve is the part of the lower limit of a trial that the demand of LongWaitRank and above may take. A trial that
	// leaves less refuses orders: at four times the latency, trials of all targets of a service at once cost about one order
	// in ten for some seconds. The averages of demand and latency lag behind a sudden change, so the part is well below one.
	trialReserve = 0.5
	// upBackoff and upMax are the same for trials of the highest limit. These cost latency and no throughput, and a target
	// that has recovered must not be held at a lower limit for long.
	upBackoff = 2
	upMax     = 2 * time.Second
	// trialUnknown is the time before the first trial of a target whose latency without saturation is not known.
	trialUnknown = 10 * time.Second
	// trialEvidence is the ratio of the latency to the known one from which a lower limit is tried. Requests that wait
	// inside a target with too few slots raise the latency; without that, a trial would cost throughput for nothing. A
	// slower target raises it too, and then the trial decides.
	trialEvidence = 1.25
	// quietShare is the share of the learned limit below which requests in flight hardly wait inside a target.
	quietShare = 0.5
	// trialMinLimit is the lowest limit that is divided further. Below it, a trial takes seconds to tell two limits apart.
	trialMinLimit = 8
)

// schedule says when a trial may start.
type schedule struct {
	next  time.Duration
	pause time.Duration // after a trial that changes nothing
}

// rest postpones the next trial after one that changed nothing.
func (s *schedule) rest(now time.Duration, factor int, longest time.Duration) {
	s.pause = min(time.Duration(factor)*s.pause, longest)
	s.next = now + s.pause
}

// side sums up the measurements at one of the two limits of a trial.
type side struct {
	seconds    float64
	departures float64
	busy       float64 // requests in flight, integrated over time in seconds
	intervals  float64
	squares    float64 // of departures, each divided by the length of its interval
}

// trial finds the limit by comparing the throughput at two limits in turns while the target is saturated. Latency alone
// cannot tell a slow target, which needs all its slots, from one that has fewer slots than stated.
type trial struct {
	ceiling int
	learned int           // limit outside trials
	known   time.Duration // mean latency at which no lower limit needs a trial; zero: not measured
	fine    bool          // whether the next trial of a lower limit uses the fine step
	down    schedule      // of trials of a lower limit
	up      schedule      // of trials of the highest limit

	active  bool
	limits  [2]int // lower, higher
	sums    [2]side
	at      int // side that is being measured
	first   int // side that was measured first
	rounds  int
	turn    float64       // seconds measured in this turn
	settled time.Duration // start of the measured part of this turn
}

// reset forgets what was measured.
func (t *trial) reset(ceiling int, now time.Duration) {
	*t = trial{ceiling: ceiling, learned: ceiling, down: schedule{now + trialUnknown, trialFirst}}
}

// limit returns the present limit.
func (t *trial) limit() int {
	if t.active {
		return t.limits[t.at]
	}
	return t.learned
}

// quiet takes the latency of an interval with few requests in flight as the known one.
func (t *trial) quiet(now time.Duration, m *meter, latency *estimate) {
	if t.active || latency.samples < meanWeight || m.departures == 0 ||
		m.busy >= quietShare*float64(t.learned)*(now-m.start).Seconds() {
		return
	}
	if t.known == 0 {
		t.down.next = min(t.down.next, now+trialFirst)
	}
	t.known = latency.mean
}

// saturated reports whether the interval shows the throughput of the target: work waited, all slots were in use, and
// most requests ended normally.
func saturated(now time.Duration, m *meter) bool {
	waiting := m.backlog >= (now - m.start).Seconds()
	return waiting && m.utilisation() > raiseUtilisation && float64(m.bad) <= trialBad*float64(m.departures)
}

// observe takes in one interval of measurement.
func (t *trial) observe(now time.Duration, m *meter, latency *estimate, reserved float64) {
	saturated := saturated(now, m)
	if t.active && t.first == 1 && t.yields(now, reserved) {
		t.active = false
		t.down.next = now + t.down.pause
	}
	if !t.active {
		if saturated {
			t.begin(now, latency, reserved)
		}
		return
	}
	length := min(max(trialTurn*latency.mean, trialMinTurn), trialMaxTurn)
	if now-t.settled > trialPatience*length {
		t.active = false
		// A trial of the highest limit that measured the present one only cost nothing and may begin again at once.
		if t.first == 1 || t.at == 1 || t.rounds > 0 {
			t.rest(now, latency)
		}
		return
	}
	// A higher limit under which no work waits is still shown by more throughput than the saturated present limit had.
	tryingHigher := t.first == 0 && t.at == 1
	if m.start < t.settled || (!saturated && !tryingHigher) {
		return
	}
	dt := (now - m.start).Seconds()
	s := &t.sums[t.at]
	s.seconds += dt
	s.departures += float64(m.departures)
	s.busy += m.busy
	s.intervals++
	s.squares += float64(m.departures) * float64(m.departures) / dt
	t.turn += dt
	over := t.turn >= length.Seconds()
	if t.at != t.first {
		if over {
			t.rounds++
		}
		if (over || t.turn >= trialMinLatencies*latency.mean.Seconds()) && t.decide(now, over, latency) {
			return
		}
	}
	if over {
		t.switchTo(1-t.at, now, latency)
	}
}

// yields reports whether a trial of a lower limit must end early: because the highest limit is due, since a target that
// has its slots back must not wait for a trial that can stay undecided for many turns, or because the averages now show
// that orders need the slots.
func (t *trial) yields(now time.Duration, reserved float64) bool {
	if t.learned < t.ceiling && now >= t.up.next {
		return true
	}
	return reserved > trialReserve*float64(t.limits[0])
}

// begin starts a trial if one is due. The present limit is measured first. Reserved is the number of slots that work of
// LongWaitRank and above needs; no trial of a lower limit takes them away.
func (t *trial) begin(now time.Duration, latency *estimate, reserved float64) {
	slower := t.known == 0 || float64(latency.mean) > trialEvidence*float64(t.known)
	switch {
	case t.learned < t.ceiling && now >= t.up.next:
		t.limits, t.first = [2]int{t.learned, t.ceiling}, 0
	case t.learned >= trialMinLimit && now >= t.down.next && slower:
		step := coarseStep
		if t.fine || t.learned < coarseMinLimit {
			step = fineStep
		}
		if reserved > trialReserve*math.Floor(step*float64(t.learned)) {
			t.down.next = now + trialFirst
			return
		}
		t.limits, t.first = [2]int{int(float64(t.learned) * step), t.learned}, 1
	default:
		return
	}
	t.sums, t.rounds, t.active = [2]side{}, 0, true
	t.switchTo(t.first, now, latency)
}

// switchTo starts a turn at one of the limits. The first departures still belong to the limit before.
func (t *trial) switchTo(at int, now time.Duration, latency *estimate) {
	t.at, t.turn = at, 0
	t.settled = now + latency.mean
}

// decide ends the trial if the measurements suffice, and reports whether it did. Inside a turn it decides for the higher
// limit only.
func (t *trial) decide(now time.Duration, over bool, latency *estimate) bool {
	low, high := t.sums[0], t.sums[1]
	if low.departures == 0 || high.departures == 0 {
		return false
	}
	ratio := (high.departures / high.seconds) / (low.departures / low.seconds)
	gain := t.gain()
	switch {
	case ratio-confidence*ratio*t.spread(t.variance(latency), latency) > gain:
		t.end(now, 1, latency)
	case over && ratio+confidence*ratio*t.spread(latency.variance, latency) < gain:
		t.end(now, 0, latency)
	case over && t.first == 0 && t.rounds >= trialUpRounds && ratio <= gain:
		t.end(now, 0, latency)
	case over && t.first == 0 && t.rounds >= trialUpRounds:
		t.end(now, 1, latency)
	case over && t.rounds >= trialRounds:
		t.end(now, 1, latency)
	default:
		return false
	}
	return true
}

// gain returns the ratio of throughputs from which the higher limit counts as useful: trialGain, scaled by the share of the
// additional slots that were in use. Demand may need only a part of them, and then bounds the ratio.
func (t *trial) gain() float64 {
	low, high := t.sums[0], t.sums[1]
	ratio := (high.busy / high.seconds) / (low.busy / low.seconds)
	used := (ratio - 1) / (float64(t.limits[1])/float64(t.limits[0]) - 1)
	return 1 + (trialGain-1)*min(1, max(0, used))
}

// variance returns the variance of the number of departures relative to its mean, against which the higher limit must
// prove itself. Inside a target with too few slots each request waits for many others, so that latencies vary less than
// service times; there only the number of departures shows the variance. Departures in bursts, which spread adds, raise
// it; departures at random have a variance of one. A trial of a lower limit uses the variance of latencies, since to keep
// the present limit is no risk and every interval at the lower one costs throughput.
func (t *trial) variance(latency *estimate) float64 {
	if t.first == 1 {
		return latency.variance
	}
	sum, n := varianceWeight, varianceWeight
	for _, s := range t.sums {
		rate := s.departures / s.seconds
		sum += s.squares/rate - s.departures
		n += s.intervals - 1
	}
	return max(latency.variance, min(1, sum/n))
}

// spread returns the relative error of the ratio of throughputs for a variance of departures.
func (t *trial) spread(variance float64, latency *estimate) float64 {
	return math.Sqrt(t.sums[0].spread(variance, latency) + t.sums[1].spread(variance, latency))
}

// spread returns the squared relative error of the measured throughput: the part from varying latencies, and the part
// from departures in bursts, of which a measurement may hold a part of one more or less.
func (s side) spread(variance float64, latency *estimate) float64 {
	bursts := max(1, s.seconds/latency.mean.Seconds())
	return variance/s.departures + 1/(6*bursts*bursts)
}

// end takes the limit of one side.
func (t *trial) end(now time.Duration, winner int, latency *estimate) {
	t.active = false
	if winner == t.first {
		t.rest(now, latency)
	} else {
		t.learned = t.limits[winner]
		t.down = schedule{now, trialFirst}
		t.up = schedule{now + trialFirst, trialFirst}
	}
	if t.learned == t.ceiling {
		t.down.next = max(t.down.next, now+trialFirst)
	}
}

// rest schedules the next trial after one that changed nothing.
func (t *trial) rest(now time.Duration, latency *estimate) {
	if t.first == 0 {
		t.up.rest(now, upBackoff, upMax)
		return
	}
	t.known = latency.mean
	t.fine = !t.fine
	t.down.rest(now, trialBackoff, trialMax)
}
