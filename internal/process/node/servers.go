package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/link"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/httpserver"
	"github.com/wigeoncleat/wigeoncleat/internal/process/invariant"
	"github.com/wigeoncleat/wigeoncleat/internal/process/metrics"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// servers holds the HTTP servers of a node.
type servers struct {
	log  *slog.Logger
	all  []*khttp.Server
	errs chan error
	wg   sync.WaitGroup
	// requests is the context of the requests of callers and of the own target. giveUp cancels it; the requests are still answered.
	requests map[*khttp.Server]context.Context
	giveUp   context.CancelCauseFunc
}

func (n *Node) newServers(listeners Listeners) *servers {
	peers := http.NewServeMux()
	peers.Handle(link.Path, n.pool)
	requests, giveUp := context.WithCancelCause(context.Background())
	s := &servers{log: n.log, errs: make(chan error, 4), giveUp: giveUp}
	refuseMalformedOn := func(l net.Listener) net.Listener { return refusingListener{l, n.settings.Node.PeerAddress} }
	callers := refuseMalformed(httpserver.New(refuseMalformedOn(listeners.Caller), n.callerHandler()))
	target := refuseMalformed(httpserver.New(refuseMalformedOn(listeners.Target), n.targetHandler()))
	s.all = []*khttp.Server{callers, httpserver.New(listeners.Peer, peers), target, httpserver.New(listeners.Admin, n.adminHandler())}
	s.requests = map[*khttp.Server]context.Context{callers: requests, target: requests}
	return s
}

// start starts the servers. Each server that fails sends its error to the returned channel.
func (s *servers) start() <-chan error {
	for _, srv := range s.all {
		ctx, ok := s.requests[srv]
		if !ok {
			ctx = context.Background()
		}
		s.wg.Go(func() {
			err := srv.Start(ctx)
			if err != nil && !errors.Is(err, http.ErrServerClosed) {
				event.Log(s.log, event.ServerFailed, slog.String("error", err.Error()))
				s.errs <- fmt.Errorf("serve: %w", err)
			}
		})
	}
	return s.errs
}

// shutdown stops the servers after their active requests have ended, or when ctx ends.
func (s *servers) shutdown(ctx context.Context) {
	var wg sync.WaitGroup
	for _, srv := range s.all {
		wg.Go(func() { _ = srv.Shutdown(ctx) }) // close ends the remaining connections
	}
	wg.Wait()
}

// close closes the servers and their connections immediately and waits until they have stopped.
func (s *servers) close() {
	s.giveUp(nil)
	for _, srv := range s.all {
		_ = srv.Close()
	}
	s.wg.Wait()
}

// Status is the response body of GET /status on the admin interface. Active counts the unanswered requests of callers and of
// the own target, wherever they run. InFlight counts the requests of all nodes that run at the own target or are queued for
// it; Limit is the present limit on them, in requests. Threshold is the lowest priority that admission admits.
type Status struct {
	Address          string                    `json:"address"`
	Incarnation      uint64                    `json:"incarnation"`
	AvailabilityZone string                    `json:"availability_zone"`
	Site             string                    `json:"site"`
	Service          string                    `json:"service"`
	TargetReady      bool                      `json:"target_ready"`
	Version          uint64                    `json:"version"`
	Confirmed        bool                      `json:"confirmed"`
	Leaving          bool                      `json:"leaving"`
	Active           int                       `json:"active"`
	InFlight         int                       `json:"in_flight"`
	Limit            int                       `json:"limit"`
	Threshold        message.Priority          `json:"threshold"`
	LinksDialed      int                       `json:"links_dialed"`
	LinksAccepted    int                       `json:"links_accepted"`
	Members          map[string]map[string]int `json:"members"` // other nodes, by service and state
	Violations       map[invariant.Name]int64  `json:"violations"`
}

func (n *Node) status() Status {
	s := n.settings.Node
	load := n.admission.Load()
	dialed, accepted := n.pool.Links()
	st := Status{
		Address: s.PeerAddress, Incarnation: n.incarnation, AvailabilityZone: s.AvailabilityZone, Site: s.Site,
		Service: n.settings.Target.Service, TargetReady: n.targetReady.Load(), Confirmed: n.confirmed(),
		Leaving: n.leaving.Load(), Active: n.engine.Active(), InFlight: load.InFlight, Limit: load.Limit,
		Threshold: n.admission.Threshold(), LinksDialed: dialed, LinksAccepted: accepted,
		Members: map[string]map[string]int{}, Violations: invariant.Counts(),
	}
	if pol := n.policy.Load(); pol != nil {
		st.Version = pol.Version
	}
	for _, m := range n.members.Snapshot().Members {
		if st.Members[m.Service] == nil {
			st.Members[m.Service] = map[string]int{}
		}
		st.Members[m.Service][m.State.String()]++
	}
	return st
}

// gauges returns the current values of the gauge metrics.
func (n *Node) gauges() metrics.Gauges {
	st := n.status()
	g := metrics.Gauges{
		Active: int64(st.Active), InFlight: int64(st.InFlight), Limit: int64(st.Limit), Threshold: int64(st.Threshold),
		Version: int64(st.Version), Links: int64(st.LinksDialed + st.LinksAccepted),
	}
	if n.opts.Table != nil {
		g.Epoch = int64(n.opts.Table.Epoch())
	}
	for _, states := range st.Members {
		for _, count := range states {
			g.Members += int64(count)
		}
	}
	return g
}

// adminHandler returns the handler of the admin interface.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if n.leaving.Load() || !n.confirmed() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", n.metrics.Handler())
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, n.status()) })
	n.configRoutes(mux)
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		n.drainOnce.Do(func() { close(n.drainRequested) })
		writeJSON(w, http.StatusAccepted, n.status())
	})
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// instrument wraps serve to record metrics of the requests on an interface.
func (n *Node) instrument(iface string, serve serveFunc) serveFunc {
	return func(ctx context.Context, req *message.Request) *message.Response {
		start := time.Now()
		r := serve(ctx, req)
		n.metrics.Request(iface, r, time.Since(start))
		return r
	}
}
