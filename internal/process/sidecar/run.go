package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/entry"
	"github.com/wigeoncleat/wigeoncleat/internal/connection/link"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/httpserver"
	"github.com/wigeoncleat/wigeoncleat/internal/process/pause"
	"github.com/wigeoncleat/wigeoncleat/internal/process/report"
)

// Handlers are the interfaces whose formats the platform defines.
type Handlers struct {
	Readiness http.Handler
	Reports   http.Handler
}

// Signals tell the running process what to do.
type Signals struct {
	Stop   <-chan struct{} // stop gracefully
	Reload <-chan struct{} // the settings have changed
}

const (
	// acceptTime is the time after the start of a graceful stop in which callers still come: the platform notices after two
	// questions, one a second, that the node is not ready.
	acceptTime = 2500 * time.Millisecond
	// handoverTime is the time after which other nodes send nothing more to the target beside this node. Until then the
	// target's slots are still used.
	handoverTime = 1500 * time.Millisecond
	// exitMargin is the time before the end of the grace period at which the process ends with what is left. It leaves room
	// for closeTime and for a processor that is busy.
	exitMargin = 800 * time.Millisecond
	drainPoll  = 20 * time.Millisecond
	// defaultGrace holds where the settings state no grace period.
	defaultGrace = 6 * time.Second
	// MetricsPort is the port of the metrics interface. The deploy file names it, so it cannot come from the settings.
	MetricsPort = "9464"
)

// Run serves until it is told to stop. It returns an error if an interface cannot be opened.
func (s *Sidecar) Run(h Handlers, sig Signals) error {
	servers, err := s.listen(h)
	if err != nil {
		return err
	}
	event.Log(s.log, event.ProcessStarted, slog.String("node", s.settings.Node), slog.String("zone", s.settings.Zone),
		slog.String("service", s.settings.Service), slog.String("peer_address", s.settings.PeerAddress))
	s.background.Go(func() { pause.Watch(s.ctx) })
	for _, loop := range []func(){s.register, s.followConfig, s.spread, s.reach, s.watchTarget, s.tellCallers} {
		s.background.Go(loop)
	}
	for running := true; running; {
		select {
		case <-sig.Stop:
			running = false
		case <-sig.Reload:
			s.reload()
		}
	}
	s.drain()
	s.close(servers)
	event.Log(s.log, event.ProcessStopped)
	return nil
}

// every calls the function at an interval until the process ends.
func (s *Sidecar) every(interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// closeTime bounds the closing of what a graceful stop left over. The process ends with it, so nothing has to wait for the
// last goroutine, and the platform kills a process that outlives its grace period.
const closeTime = 200 * time.Millisecond

// close ends all interfaces and loops at once.
func (s *Sidecar) close(servers []*khttp.Server) {
	s.stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, srv := range servers {
			_ = srv.Close() // nothing that counts is left on them
		}
		s.entry.Close()
		s.pool.Close()
	}()
	timer := time.NewTimer(closeTime)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// listen opens all interfaces and serves them.
func (s *Sidecar) listen(h Handlers) ([]*khttp.Server, error) {
	peers := http.NewServeMux()
	peers.Handle(link.Path, s.pool)
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", s.metrics.Handler())
	var servers []*khttp.Server
	for _, i := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"peers", cmp.Or(s.settings.PeerListen, s.settings.PeerAddress), peers},
		{"readiness", s.settings.ReadinessAddress, h.Readiness},
		{"reports", s.settings.ReportAddress, h.Reports},
		{"metrics", net.JoinHostPort(s.settings.IP, MetricsPort), metricsMux},
	} {
		l, err := net.Listen("tcp", i.address)
		if err != nil {
			return nil, fmt.Errorf("listen for %s: %w", i.name, err)
		}
		srv := httpserver.New(l, i.handler)
		servers = append(servers, srv)
		s.background.Go(func() {
			if err := srv.Start(context.Background()); err != nil && !errors.Is(err, http.ErrServerClosed) {
				event.Log(s.log, event.ServerFailed, slog.String("interface", i.name), slog.String("error", err.Error()))
			}
		})
	}
	callers, err := net.Listen("tcp", s.settings.CallerAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	s.background.Go(func() { _ = s.entry.Serve(callers) }) // ends when the listener is closed
	return servers, nil
}

// reload reads the settings again. Of them, bounds can change while the process runs, addresses and identity cannot.
func (s *Sidecar) reload() {
	next, err := s.opts.Reload()
	if err != nil {
		event.Log(s.log, event.SettingsUnusable, slog.String("error", err.Error()))
		return
	}
	event.Log(s.log, event.SettingsReloaded, slog.Bool("changed", next != s.settings))
	s.settings.Grace = next.Grace // read by the goroutine of Run only
	s.retryBurst.Store(&next.RetryBurst)
	s.refreshTargets()
}

// drain stops gracefully: callers are sent elsewhere, other nodes stop using the target, and what runs ends.
func (s *Sidecar) drain() {
	start := time.Now()
	grace := s.settings.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	event.Log(s.log, event.DrainStarted, slog.Int("active", s.entry.Active()+s.pool.Active()))
	s.leaving.Store(true)
	s.entry.Retire()
	gone := s.tracker.State(start).Phase != report.PhaseReady
	if gone {
		s.background.Go(s.deregister) // the store may be down, and the stop does not wait for it
	}
	handedOver, closed := false, false
	for {
		elapsed := time.Since(start)
		if !handedOver && (gone || elapsed >= handoverTime) {
			handedOver = true
			s.applyTarget()
			s.pool.GoAway()
		}
		if !closed && elapsed >= acceptTime {
			closed = true
			s.entry.CloseIdle()
		}
		active := s.entry.Active() + s.pool.Active()
		if closed && active == 0 && elapsed >= acceptTime+2*entry.LastCall {
			break
		}
		if elapsed >= grace-exitMargin {
			event.Log(s.log, event.DrainIncomplete, slog.Int("active", active))
			break
		}
		time.Sleep(drainPoll)
	}
}
