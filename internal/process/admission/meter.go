package admission

import (
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// tickInterval is the time between changes of threshold and limit. It must be long enough for a few dozen requests
	// of a typical target and a small part of the 2 s within which the system must recover after an overload.
	tickInterval = 100 * time.Millisecond
	// sampleSize is the number of arrivals per interval whose priorities are kept.
	sampleSize = 512
)

// meter holds the counts of one measurement interval.
type meter struct {
	start, last    time.Duration
	arrivals       int
	aboveThreshold int // arrivals at or above the threshold
	queueRefusals  int // requests that the threshold admitted and the queue refused
	departures     int
	unsuccessful   int // departures that failed, were cancelled or include a pause of the process

	inFlight float64 // requests in flight, integrated over time in seconds
	busy     float64 // the same, but at least sustained while the limit on requests per second keeps others waiting
	capacity float64 // limit, integrated over time
	backlog  float64 // queue length, integrated over time

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

func (m *meter) integrate(now time.Duration, inFlight, inUse, limit, queued int) {
	dt := (now - m.last).Seconds()
	m.last = now
	m.inFlight += dt * float64(inFlight)
	m.busy += dt * float64(inUse)
	m.capacity += dt * float64(limit)
	m.backlog += dt * float64(queued)
}

// utilisation returns the share of the limit that was in use. It is at most 1, although requests above a limit that was
// just lowered are still in flight.
func (m *meter) utilisation() float64 {
	if m.capacity == 0 {
		return 0
	}
	return min(1, m.busy/m.capacity)
}

func (m *meter) reset(now time.Duration) {
	m.start, m.last = now, now
	m.arrivals, m.aboveThreshold, m.queueRefusals, m.departures, m.unsuccessful = 0, 0, 0, 0, 0
	m.inFlight, m.busy, m.capacity, m.backlog = 0, 0, 0, 0
}

// latencyEstimate holds the measured latency of requests at the target.
type latencyEstimate struct {
	mean time.Duration // exponential moving average
	// floor falls fast and rises slowly. It estimates the least time that a request needs and is used to refuse
	// requests that would miss their deadline.
	floor    time.Duration
	variance float64 // of the latency, relative to the square of the mean
	samples  int
}

const (
	meanWeight      = 16 // samples over which mean and variance are averaged
	floorFallWeight = 4  // samples over which floor follows lower latencies
	floorRiseWeight = 32 // samples over which floor follows higher latencies
)

// add records the end of a request. The latency of a cancelled request is only a lower bound, so it is ignored if it is
// below the mean. The latency of a request that includes a pause of the process measures the pause, not the request.
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
