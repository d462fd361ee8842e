package sidecar

import (
	"log/slog"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/entry"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/report"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// defaultGrace applies if the settings contain no grace period.
	defaultGrace = 6 * time.Second
	// handoverPeriod is the time after the start of a graceful stop at which the requests for the attached target's service
	// are left to other targets: other nodes are told to send this one no more. Until then the target's slots are still
	// used.
	handoverPeriod = 1500 * time.Millisecond
	// acceptPeriod is the time after the start of a graceful stop in which callers still connect: the platform checks
	// readiness once a second and stops sending callers after two failed checks.
	acceptPeriod = 2500 * time.Millisecond
	// arrivalPeriod is the time after the start of a graceful stop within which a request has to arrive completely. A later one
	// might not be answered before the process exits.
	arrivalPeriod = 3 * time.Second
	// callMargin is the time before the end of the stop until which connections are still accepted for the calls that the attached target
	// makes for requests in progress: these fail without their calls.
	callMargin = 250 * time.Millisecond
	// exitMargin is the time before the end of the grace period at which the process exits even with requests in flight.
	// It leaves time for giveUpTimeout, closeTimeout and for delays on a busy processor.
	exitMargin = 800 * time.Millisecond
	// giveUpTimeout bounds the time to answer the requests that are given up at the end.
	giveUpTimeout     = 150 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// stopSchedule contains the times of the steps of a graceful stop, from its start.
type stopSchedule struct {
	handover time.Duration // see handoverPeriod
	closing  time.Duration // see acceptPeriod
	arrival  time.Duration // see arrivalPeriod
	calls    time.Duration // see callMargin
	end      time.Duration // see exitMargin
}

// newStopSchedule returns the schedule for a grace period. All steps come sooner in one that is shorter than defaultGrace.
func newStopSchedule(grace time.Duration) stopSchedule {
	if grace <= 0 {
		grace = defaultGrace
	}
	scale := min(1, float64(grace)/float64(defaultGrace))
	scaled := func(d time.Duration) time.Duration { return time.Duration(scale * float64(d)) }
	end := grace - scaled(exitMargin)
	return stopSchedule{
		handover: scaled(handoverPeriod), closing: scaled(acceptPeriod), arrival: scaled(arrivalPeriod), calls: end - scaled(callMargin),
		end: end,
	}
}

// drain stops this node gracefully: callers are turned away, other nodes stop using the target, and requests in flight
// complete. What is unlikely to complete before the end is refused at once. The drain of a target, by its report or notice, stops
// only the requests to that target.
func (s *Sidecar) drain() {
	start := time.Now()
	schedule := newStopSchedule(s.settings.Grace)
	event.Log(s.log, event.DrainStarted, s.inFlight()...)
	s.path.StopAt(start.Add(schedule.end))
	s.leaving.Store(true)
	s.entry.DisableKeepAlives()
	if s.tracker.State(start).Phase != report.PhaseReady {
		schedule.handover = 0
		s.background.Go(s.deregister) // in the background: the store may be unavailable, and the stop must not wait for it
	}
	steps := []struct {
		at time.Duration
		do func()
	}{{schedule.handover, s.handOver}, {schedule.closing, s.refuseNewRequests}, {schedule.arrival, s.entry.RefuseArriving}}
	var closedAt time.Duration // zero: connections are still accepted
	for {
		elapsed := time.Since(start)
		for len(steps) > 0 && elapsed >= steps[0].at {
			steps[0].do()
			steps = steps[1:]
		}
		runs := s.path.Runs() > 0
		switch {
		case elapsed >= schedule.end:
			s.giveUp()
			return
		case closedAt == 0 && elapsed >= schedule.closing && (!runs || elapsed >= schedule.calls):
			closedAt = elapsed
			s.closeEntry()
			if elapsed >= schedule.arrival { // for connections that were accepted since
				s.entry.RefuseArriving()
			}
		// CloseIdle still takes what arrives within CloseDelay; the second CloseDelay leaves time to read what came at its end.
		case closedAt != 0 && elapsed >= closedAt+2*entry.CloseDelay && s.idle():
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// refuseNewRequests refuses what arrives from now on, except for calls of requests that are in progress at the attached target.
func (s *Sidecar) refuseNewRequests() {
	now := time.Now()
	s.refusingSince.Store(&now)
}

// refusesNew reports whether a request came too late in a graceful stop.
func (s *Sidecar) refusesNew(req *message.Request) bool {
	since := s.refusingSince.Load()
	return since != nil && req.Arrived.After(since.Add(entry.CloseDelay)) && !s.path.IsCall(req.Attempt)
}

// handOver leaves the requests for the attached target's service to other targets.
func (s *Sidecar) handOver() {
	s.handedOver.Store(true)
	s.applyTarget()
	s.pool.GoAway()
}

// closeEntry accepts no further connections.
func (s *Sidecar) closeEntry() {
	event.Log(s.log, event.DrainClosing, s.inFlight()...)
	s.entry.CloseIdle()
}

// idle reports whether nothing is left to do for callers and other nodes. Connections count until their callers have had time to
// read the last response: the end of the process resets connections with unread bytes.
func (s *Sidecar) idle() bool { return s.entry.Connections() == 0 && s.pool.Active() == 0 }

// giveUp answers the requests that are still in flight, so that their callers need not wait for nothing.
func (s *Sidecar) giveUp() {
	event.Log(s.log, event.DrainIncomplete, s.inFlight()...)
	s.entry.GiveUp(message.ErrStopping)
	s.pool.GiveUp(message.ErrStopping)
	for end := time.Now().Add(giveUpTimeout); time.Now().Before(end) && !s.idle(); {
		time.Sleep(drainPollInterval)
	}
}

// inFlight returns what a graceful stop waits for, for logs.
func (s *Sidecar) inFlight() []slog.Attr {
	return []slog.Attr{
		slog.Int("callers", s.entry.Active()), slog.Int("arriving", s.entry.Arriving()),
		slog.Int("connections", s.entry.Connections()), slog.Int("peers", s.pool.Active()),
		slog.Int("runs", s.path.Runs()),
	}
}
