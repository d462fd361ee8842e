// Package sidecar is the process beside a target on VMs where requests are forwarded transparently. It assembles the
// interfaces, the request path, the links to other nodes, the directory of nodes and the configuration that is in force.
//
// All exported methods are safe for concurrent use.
package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/entry"
	"github.com/wigeoncleat/wigeoncleat/internal/connection/link"
	"github.com/wigeoncleat/wigeoncleat/internal/connection/targetconn"
	"github.com/wigeoncleat/wigeoncleat/internal/process/balance"
	"github.com/wigeoncleat/wigeoncleat/internal/process/directory"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/mesh"
	"github.com/wigeoncleat/wigeoncleat/internal/process/metrics"
	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/process/report"
	"github.com/wigeoncleat/wigeoncleat/internal/process/shed"
	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// Codec translates between HTTP messages and the product's requests and responses.
type Codec interface {
	// DecodeRequest decodes a request of a caller, or returns an *entry.RejectError.
	DecodeRequest(r *entry.Request) (*message.Request, error)
	// EncodeAnswer encodes the final response of a request.
	EncodeAnswer(req *message.Request, r *message.Response) *entry.Answer
	// EncodeRequest returns the request as it is written to the target at the given time.
	EncodeRequest(req *message.Request, now time.Time) []byte
	// Owns reports whether an answer of a target with the header belongs to the request.
	Owns(req *message.Request, h http.Header) bool
	// DecodeAnswer decodes a complete answer of a target.
	DecodeAnswer(req *message.Request, a *targetconn.Answer) *message.Response
}

// Store is the table in which nodes find each other.
type Store interface {
	platform.Table
	// Delete removes a row; a row that does not exist is no error.
	Delete(ctx context.Context, key string) error
}

// Operator is the table that the operator writes.
type Operator interface {
	platform.Table
	platform.Feed
}

// Options are the surroundings of the process.
type Options struct {
	Settings  Settings
	Log       *slog.Logger
	Codec     Codec
	Nodes     Store
	Operator  Operator
	ConfigKey string // row of the operator's table that holds the configuration
	// DecodeConfig decodes a configuration.
	DecodeConfig func([]byte) (*routing.Table, error)
	// Reload reads the settings again.
	Reload func() (Settings, error)
}

// Sidecar is the process beside a target.
type Sidecar struct {
	opts     Options
	settings Settings
	log      *slog.Logger
	started  time.Time

	routes         atomic.Pointer[routing.Table]
	path           *mesh.Proxy
	pool           *link.Pool
	pickers        *balance.Set
	directory      *directory.Directory
	tracker        *report.Tracker
	entry          *entry.Server
	responseMemory *memory.Budget // bodies of answers that the node holds
	metrics        *metrics.Metrics
	failures       *event.Limiter // lines on requests that were refused, repeated or failed
	samples        *event.Limiter // lines on requests that were answered

	retryBurst        atomic.Pointer[float64] // of all nodes, see Settings
	leaving           atomic.Bool
	targetUnreachable atomic.Bool // the target opens no connections
	registered        atomic.Bool // the nodes that started before are known
	ownStateRecovered atomic.Bool // the node's own state before a restart is known, or nobody remembers it
	inbox             chan inboundMessage
	puller            puller       // used by the loop that receives messages
	pendingRelay      pendingRelay // used by the same loop
	recentCallers     recentCallers
	confirmed         confirmedRevision
	reconnectNow      chan struct{} // wakes the loop that reaches nodes that were down

	targetMu         sync.Mutex // held while the state of the target is applied
	attachedInstance string     // instance that the path is open for; empty: none

	background sync.WaitGroup
	ctx        context.Context
	stop       context.CancelFunc
}

const (
	// inboxSize bounds the messages of other nodes that wait. A message that finds it full is lost; the next comparison of
	// digests makes up for it.
	inboxSize = 256
	// descriptorShare is the part of the descriptors for connections of callers.
	descriptorShare = 0.6
	minDescriptors  = 1000
	// requestMemoryShare is the part of the memory for bodies of requests that run. A body is held by its connection, its encoded
	// frame and the write to the target, so that three times as much is taken.
	requestMemoryShare = 0.15
	minMemory          = 128 << 20
	// responseMemoryShare is the part of the memory for bodies of answers. An answer is held once as it was read and once more in the
	// frames or the buffer in which it is written, beside the requests.
	responseMemoryShare = 0.1
	// linkHeartbeatTimeout is the time without a frame after which a link with waiting requests is given up. Requests have to be
	// served within one to two seconds.
	linkHeartbeatTimeout  = 600 * time.Millisecond
	linkHeartbeatInterval = 200 * time.Millisecond
	linkDialTimeout       = 400 * time.Millisecond
	linkDialBackoff       = 200 * time.Millisecond
	maxForwardedBytes     = 64 << 20
)

// New assembles the process. Run starts it.
func New(opts Options) (*Sidecar, error) {
	s := &Sidecar{
		opts:         opts,
		settings:     opts.Settings,
		log:          opts.Log,
		started:      time.Now(),
		tracker:      report.NewTracker(),
		inbox:        make(chan inboundMessage, inboxSize),
		reconnectNow: make(chan struct{}, 1),
		failures:     event.NewLimiter(failuresPerSecond),
		samples:      event.NewLimiter(samplesPerSecond),
	}
	s.responseMemory = memory.NewBudget(int64(responseMemoryShare * float64(max(s.settings.MemoryBytes, minMemory))))
	s.retryBurst.Store(&opts.Settings.RetryBurst)
	s.ctx, s.stop = context.WithCancel(context.Background())
	incarnation := uint64(s.started.UnixMilli())
	s.directory = directory.New(directory.Member{
		Address: s.settings.PeerAddress, Zone: s.settings.Zone, Service: s.settings.Service, Incarnation: incarnation,
	})
	s.pickers = balance.NewSet(s.settings.Zone, policy.New().Balance)
	client := &http.Client{Transport: &http.Transport{Proxy: nil, DisableCompression: true}}
	s.pool = link.NewPool(link.Config{
		Self:              link.Peer{Address: s.settings.PeerAddress, Incarnation: incarnation, Zone: s.settings.Zone},
		HeartbeatInterval: linkHeartbeatInterval,
		HeartbeatTimeout:  linkHeartbeatTimeout,
		DialTimeout:       linkDialTimeout,
		DialBackoff:       linkDialBackoff,
		MaxBody:           maxForwardedBytes,
	}, link.WebSocketDialer(client), linkHandler{s}, s.log)
	s.path = mesh.New(mesh.Config{
		Address:     s.settings.PeerAddress,
		Service:     s.settings.Service,
		Routes:      &s.routes,
		Peers:       s.pool,
		Pickers:     s.pickers,
		Shed:        shed.New(),
		Instance:    s.instanceAt,
		Unreachable: s.markUnreachable,
		Log:         s.log,
		Limiter:     s.failures,
		Retries:     s.settings.Retries,
	})
	s.entry = entry.NewServer(entryHandler{s},
		int(descriptorShare*float64(max(s.settings.Descriptors, minDescriptors))),
		int64(requestMemoryShare*float64(max(s.settings.MemoryBytes, minMemory))))
	var err error
	if s.metrics, err = metrics.New(s.gauges); err != nil {
		return nil, fmt.Errorf("sidecar: %w", err)
	}
	s.refreshTargets()
	return s, nil
}

// instanceAt returns the instance of the target beside the node at the address.
func (s *Sidecar) instanceAt(address string) string {
	m, _ := s.directory.Member(address)
	return m.Instance
}

// markUnreachable takes a node out of the choice of targets until it is reached again.
func (s *Sidecar) markUnreachable(address string, cause error) {
	if !s.directory.SetDown(address, time.Now()) {
		return
	}
	event.Log(s.log, event.PeerUnreachable, slog.String("peer", address), slog.String("cause", cause.Error()))
	s.refreshTargets()
	select {
	case s.reconnectNow <- struct{}{}:
	default:
	}
}

// markReachable takes a node back into the choice of targets.
func (s *Sidecar) markReachable(address string) {
	if s.directory.SetUp(address) {
		event.Log(s.log, event.PeerReachable, slog.String("peer", address))
		s.refreshTargets()
	}
}

// retryBurstShare is the part of the burst of all nodes that is dealt out to them. The rest covers nodes that see different
// numbers of nodes.
const retryBurstShare = 0.8

// refreshTargets hands the directory's view to the pickers.
func (s *Sidecar) refreshTargets() {
	targets := map[string][]balance.Target{}
	for service, members := range s.directory.Targets() {
		for _, m := range members {
			targets[service] = append(targets[service], balance.Target{
				Address: m.Address, Incarnation: uint64(m.Born), Zone: m.Zone, Slots: m.Slots,
			})
		}
	}
	s.pickers.Update(targets)
	s.path.SetRetryBurst(retryBurstShare * *s.retryBurst.Load() / float64(max(1, s.directory.Size())))
}

// Ready reports whether callers may be sent to this node.
func (s *Sidecar) Ready() bool { return !s.leaving.Load() && s.routes.Load() != nil }

// gauges reads the values that the metrics show.
func (s *Sidecar) gauges() metrics.Gauges {
	load := s.path.Load()
	dialed, accepted := s.pool.Links()
	g := metrics.Gauges{
		Active:   int64(s.entry.Active() + s.pool.Active()),
		InFlight: int64(load.InFlight), Limit: int64(load.Limit),
		Members: int64(s.directory.Size()), Links: int64(dialed + accepted),
	}
	if t := s.routes.Load(); t != nil {
		g.Version = int64(t.Version)
	}
	return g
}
