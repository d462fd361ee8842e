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

	"github.com/wigeoncleat/wigeoncleat/internal/connection/link"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/httpserver"
	"github.com/wigeoncleat/wigeoncleat/internal/process/pause"
)

// Handlers are the HTTP handlers of the interfaces whose formats the platform defines, the environment in which the VM
// runs.
type Handlers struct {
	Readiness http.Handler
	Reports   http.Handler
}

// Signals control the running process.
type Signals struct {
	Stop   <-chan struct{} // stop gracefully
	Reload <-chan struct{} // the settings have changed
}

const (
	// MetricsPort is the port of the metrics interface. It is also written in the deployment file, so it cannot be a
	// setting.
	MetricsPort = "9464"
)

// Run serves until a stop is signalled and then drains. It returns an error if an interface cannot be opened.
func (s *Sidecar) Run(h Handlers, sig Signals) error {
	servers, err := s.listen(h)
	if err != nil {
		return err
	}
	event.Log(s.log, event.ProcessStarted, slog.String("node", s.settings.Node), slog.String("zone", s.settings.Zone),
		slog.String("service", s.settings.Service), slog.String("peer_address", s.settings.PeerAddress))
	s.background.Go(func() { pause.Watch(s.ctx) }) // detects when the process or its VM did not run for a time
	for _, loop := range []func(){s.recordLeavings, s.register, s.maintainRegistry, s.followConfig, s.gossip, s.reconnect, s.watchTarget, s.notifyCallers, s.logMemory} {
		s.background.Go(loop)
	}
	s.background.Go(s.runQuotas)
	if s.settings.Revocation.Strict {
		s.background.Go(s.keepConfirmed)
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

// every calls the function at the interval until the process ends.
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

// closeTimeout bounds the closing of connections that are left after a graceful stop. The process exits afterwards, so
// it does not need to wait for every goroutine, and the platform kills a process that exceeds its grace period.
const closeTimeout = 200 * time.Millisecond

// close stops all loops and closes all interfaces at once.
func (s *Sidecar) close(servers []*khttp.Server) {
	s.stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, srv := range servers {
			_ = srv.Close() // nothing of importance is left on these servers
		}
		s.entry.Close()
		s.pool.Close()
	}()
	timer := time.NewTimer(closeTimeout)
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
	s.addOperators(metricsMux)
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
		if i.name != "peers" { // links take no part in HTTP after their handshake, and nodes are few
			httpserver.LimitConnections(srv, otherConnections(s.settings.Descriptors))
		}
		httpserver.LimitTimes(srv)
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

// reload reads the settings again. Only bounds can change while the process runs; addresses and identity cannot.
func (s *Sidecar) reload() {
	next, err := s.opts.Reload()
	if err != nil {
		event.Log(s.log, event.SettingsUnusable, slog.String("error", err.Error()))
		return
	}
	event.Log(s.log, event.SettingsReloaded, slog.Bool("changed", next != s.settings))
	s.settings.Grace = next.Grace // only accessed by the goroutine of Run
	s.retryBurst.Store(&next.RetryBurst)
	s.quotas.setBounds(next.Quota)
	s.refreshTargets()
}
