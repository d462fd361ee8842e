package admission

import (
	"math"
	"time"
)

// estimate holds the measured time of requests at the target.
type estimate struct {
	mean     time.Duration // moving average
	low      time.Duration // falls fast and rises slowly: the time that work needs at least, used to refuse work
	variance float64       // of the latency relative to the mean
}

const (
	meanWeight = 16 // samples over which the mean is taken
	fallWeight = 4
	riseWeight = 32
)

// add records the end of a request. The latency of a cancelled request is a lower bound.
func (e *estimate) add(r Result) {
	if r.Failed || r.Latency <= 0 || (r.Cancelled && r.Latency < e.mean) {
		return
	}
	if e.mean == 0 {
		e.mean, e.low = r.Latency, r.Latency
		return
	}
	d := r.Latency - e.mean
	rel := float64(d) / float64(e.mean)
	e.variance += (rel*rel - e.variance) / meanWeight
	e.mean += d / meanWeight
	if r.Latency < e.low {
		e.low -= (e.low - r.Latency) / fallWeight
	} else {
		e.low += (r.Latency - e.low) / riseWeight
	}
}

const (
	// coarseStep and fineStep are the ratios of the two limits that a trial compares. The coarse step finds a target with
	// far fewer slots than stated in few trials; the fine one is used after a coarse trial changed nothing. A rejected
	// trial costs both about the same, because a larger difference in throughput is seen sooner.
	coarseStep = 0.5
	fineStep   = 0.75
	// trialGain is the ratio of throughputs from which the higher limit counts as useful. A target with enough slots
	// shows the ratio of the limits, a target that has fewer slots than the lower limit shows 1.
	trialGain = 1.12
	// trialTurn is the length of one measurement in mean latencies. Targets with a constant service time end requests
	// in bursts, and a turn must hold several.
	trialTurn = 10
	// trialMinTurn and trialMaxTurn bound the length of one measurement.
	trialMinTurn = 300 * time.Millisecond
	trialMaxTurn = 4 * time.Second
	// trialRounds is the number of pairs of measurements after which an undecided trial ends with the higher limit.
	trialRounds = 6
	// trialPatience is the length of a turn, as a multiple of the measured part, after which a trial ends without a
	// result because too few intervals were saturated.
	trialPatience = 4
	// trialBad is the share of failed and cancelled requests above which throughput says nothing about slots.
	trialBad = 0.1
	// confidence is the number of standard errors by which a result must differ from trialGain.
	confidence = 2
	// trialMinLatencies is the length in mean latencies after which the second side of a trial may already decide for
	// the higher limit.
	trialMinLatencies = 2
	// trialFirst and trialMax bound the time between trials. A trial of a lower limit costs a target with enough slots
	// the work of one to two latencies, so the time grows by trialBackoff with each trial that changes nothing.
	trialFirst   = 2 * time.Second
	trialBackoff = 4
	trialMax     = 2 * time.Minute
	// trialUnknown is the time before the first trial of a target whose latency without saturation is not known.
	trialUnknown = 10 * time.Second
	// trialEvidence is the ratio of the latency to the known one from which a lower limit is tried. Requests that wait
	// inside a target with too few slots raise the latency; without that, a trial would cost throughput for nothing. A
	// slower target raises it too, and then the trial decides.
	trialEvidence = 1.25
	// quietShare is the share of the highest limit below which requests in flight hardly wait inside a target.
	quietShare = 0.5
	// trialMinLimit is the lowest limit that is divided further. Below it, a trial takes seconds to tell two limits apart.
	trialMinLimit = 8
)

// side sums up the measurements at one of the two limits of a trial.
type side struct {
	seconds    float64
	departures float64
}

// trial finds the limit by comparing the throughput at two limits in turns while the target is saturated. Latency alone
// cannot tell a slow target, which needs all its slots, from one that has fewer slots than stated.
type trial struct {
	ceiling int
	learned int           // limit outside trials
	next    time.Duration // earliest start of the next trial
	pause   time.Duration
	known   time.Duration // mean latency at which the learned limit needs no trial; zero: not measured
	upNext  bool          // whether the next trial tries a higher limit
	fine    bool          // whether the next trial uses the fine step

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
	*t = trial{ceiling: ceiling, learned: ceiling, pause: trialFirst, next: now + trialUnknown}
}

// limit returns the present limit.
func (t *trial) limit() int {
	if t.active {
		return t.limits[t.at]
	}
	return t.learned
}

// quiet takes the latency of an interval with few requests in flight as the known one.
func (t *trial) quiet(now time.Duration, m *meter, hold *estimate) {
	if t.active || m.departures == 0 || m.busy >= quietShare*float64(t.ceiling)*(now-m.start).Seconds() {
		return
	}
	if t.known == 0 {
		t.next = min(t.next, now+trialFirst)
	}
	t.known = hold.mean
}

// saturated reports whether the interval shows the throughput of the target: work waited, all slots were in use, and
// most requests ended normally.
func saturated(now time.Duration, m *meter) bool {
	waiting := m.backlog >= (now - m.start).Seconds()
	return waiting && m.utilisation() > raiseUtilisation && float64(m.bad) <= trialBad*float64(m.departures)
}

// observe takes in one interval of measurement.
func (t *trial) observe(now time.Duration, m *meter, hold *estimate) {
	saturated := saturated(now, m)
	if !t.active {
		if saturated && now >= t.next && t.due(hold) {
			t.begin(now, hold)
		}
		return
	}
	length := min(max(trialTurn*hold.mean, trialMinTurn), trialMaxTurn)
	if now-t.settled > trialPatience*length {
		t.active = false
		if t.at != t.first {
			t.pause = min(trialBackoff*t.pause, trialMax)
		}
		t.next = now + t.pause
		return
	}
	if !saturated || m.start < t.settled {
		return
	}
	dt := (now - m.start).Seconds()
	s := &t.sums[t.at]
	s.seconds += dt
	s.departures += float64(m.departures)
	t.turn += dt
	over := t.turn >= length.Seconds()
	if t.at != t.first {
		if over {
			t.rounds++
		}
		if (over || t.turn >= trialMinLatencies*hold.mean.Seconds()) && t.decide(now, over, hold) {
			return
		}
	}
	if over {
		t.switchTo(1-t.at, now, hold)
	}
}

// due reports whether a trial may change the limit.
func (t *trial) due(hold *estimate) bool {
	return t.learned < t.ceiling || t.known == 0 || float64(hold.mean) > trialEvidence*float64(t.known)
}

// begin starts a trial of a higher or a lower limit. The present limit is measured first.
func (t *trial) begin(now time.Duration, hold *estimate) {
	step := coarseStep
	if t.fine {
		step = fineStep
	}
	low, high := max(1, int(float64(t.learned)*step)), t.learned
	if t.upNext = t.upNext && t.learned < t.ceiling; t.upNext {
		low, high = t.learned, min(t.ceiling, int(math.Ceil(float64(t.learned)/step)))
	} else if t.learned < trialMinLimit {
		t.upNext = true
		t.next = now + t.pause
		return
	}
	t.limits, t.sums, t.rounds = [2]int{low, high}, [2]side{}, 0
	t.active = true
	t.first = 1
	if t.upNext {
		t.first = 0
	}
	t.switchTo(t.first, now, hold)
}

// switchTo starts a turn at one of the limits. The first departures still belong to the limit before.
func (t *trial) switchTo(at int, now time.Duration, hold *estimate) {
	t.at, t.turn = at, 0
	t.settled = now + hold.mean
}

// decide ends the trial if the measurements suffice, and reports whether it did. Inside a turn it decides for the higher
// limit only.
func (t *trial) decide(now time.Duration, over bool, hold *estimate) bool {
	low, high := t.sums[0], t.sums[1]
	if low.departures == 0 || high.departures == 0 {
		return false
	}
	ratio := (high.departures / high.seconds) / (low.departures / low.seconds)
	spread := ratio * math.Sqrt(low.spread(hold)+high.spread(hold))
	switch {
	case ratio-confidence*spread > trialGain:
		t.end(now, 1, hold)
	case over && ratio+confidence*spread < trialGain:
		t.end(now, 0, hold)
	case over && t.rounds >= trialRounds:
		t.end(now, 1, hold)
	default:
		return false
	}
	return true
}

// spread returns the squared relative error of the measured throughput: the part from varying latencies, and the part
// from departures in bursts, of which a measurement may hold a part of one more or less.
func (s side) spread(hold *estimate) float64 {
	bursts := max(1, s.seconds/hold.mean.Seconds())
	return hold.variance/s.departures + 1/(6*bursts*bursts)
}

// end takes the limit of one side.
func (t *trial) end(now time.Duration, winner int, hold *estimate) {
	t.active = false
	changed := t.limits[winner] != t.learned
	t.learned = t.limits[winner]
	if t.learned == t.ceiling {
		t.known = hold.mean
	}
	if changed {
		t.pause = trialFirst
		t.next = now
		return
	}
	if t.upNext = !t.upNext; !t.upNext || t.learned == t.ceiling {
		t.fine = !t.fine
	}
	t.pause = min(trialBackoff*t.pause, trialMax)
	t.next = now + t.pause
}
