package admission

import (
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// tickInterval is the time between changes of threshold and limit. It must hold a few dozen requests of a typical
	// target and be a small part of the 2 s in which the system recovers.
	tickInterval = 100 * time.Millisecond
	// sampleSize is the number of arrivals per interval whose priorities are kept.
	sampleSize = 512
)

// meter sums up one interval of measurement.
type meter struct {
	start, last    time.Duration
	arrivals       int // all
	aboveThreshold int // at or above the threshold
	queueRefusals  int // admitted by the threshold and refused by the queue
	departures     int
	unsuccessful   int // departures that failed or were cancelled

	busy     float64 // requests in flight, integrated over time in seconds
	capacity float64 // limit, integrated
	backlog  float64 // queue length, integrated

	sample [sampleSize]message.Priority // priorities of the latest arrivals
}

func (m *meter) recordArrival(p, threshold message.Priority) {
	m.sample[m.arrivals%sampleSize] = p
	m.arrivals++
	if p >= threshold {
		m.aboveThreshold++
	}
}

func (m *meter) recordDeparture(r Result) {
	m.departures++
	if r.Failed || r.Cancelled || r.Paused {
		m.unsuccessful++
	}
}

func (m *meter) integrate(now time.Duration, inFlight, limit, queued int) {
	dt := (now - m.last).Seconds()
	m.last = now
	m.busy += dt * float64(inFlight)
	m.capacity += dt * float64(limit)
	m.backlog += dt * float64(queued)
}

// utilisation returns the share of the limit that was in use. Requests above a limit that was just lowered count once.
func (m *meter) utilisation() float64 {
	if m.capacity == 0 {
		return 0
	}
	return min(1, m.busy/m.capacity)
}

func (m *meter) reset(now time.Duration) {
	m.start, m.last = now, now
	m.arrivals, m.aboveThreshold, m.queueRefusals, m.departures, m.unsuccessful = 0, 0, 0, 0, 0
	m.busy, m.capacity, m.backlog = 0, 0, 0
}

// latencyEstimate holds the measured time of requests at the target.
type latencyEstimate struct {
	mean     time.Duration // moving average
	floor    time.Duration // falls fast and rises slowly: the time that work needs at least, used to refuse work
	variance float64       // of the latency relative to the mean
	samples  int
}

const (
	meanWeight      = 16 // samples over which the mean is taken
	floorFallWeight = 4
	floorRiseWeight = 32
)

// add records the end of a request. The latency of a cancelled request is a lower bound; that of a pause is the pause's.
func (e *latencyEstimate) add(r Result) {
	if r.Failed || r.Paused || r.Latency <= 0 || (r.Cancelled && r.Latency < e.mean) {
		return
	}
	if e.samples++; e.mean == 0 {
		e.mean, e.floor = r.Latency, r.Latency
		return
	}
	d := r.Latency - e.mean
	rel := float64(d) / float64(e.mean)
	e.variance += (rel*rel - e.variance) / meanWeight
	e.mean += d / meanWeight
	if r.Latency < e.floor {
		e.floor -= (e.floor - r.Latency) / floorFallWeight
	} else {
		e.floor += (r.Latency - e.floor) / floorRiseWeight
	}
}
