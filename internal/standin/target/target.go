// Package target implements a fake target for tests and experiments. It serves one service over HTTP with a fixed number of
// slots, a connection limit and a random service time, announces itself to the node on its VM, calls downstream services
// through that node, and records every execution.
//
// All methods of Target are safe for concurrent use.
package target

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// State is the state that a target announces to its node.
type State string

// States of a target.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Draining State = "draining"
)

// Options configure a Target.
type Options struct {
	Listen  string // address to serve on; default "127.0.0.1:0"
	Service string // name of the service; default "target"
	Node    string // host:port of the node's loopback interface; if empty, there are no announcements, and Calls is invalid

	Slots       int // concurrent requests; default 40
	Connections int // open connections; further ones are closed at once; default 300
	Queue       int // requests that wait for a slot; further ones get status 503; default: no limit

	Mean   time.Duration // mean service time; default 0
	Spread time.Duration // the service time is uniform in mean ± spread; default 0
	Seed   uint64        // seed of the service times

	StartDelay time.Duration // time in the state "starting", in which requests get status 503; default 0
	ColdFor    time.Duration // time after the start in which requests take longer; default 0
	ColdFactor float64       // factor on the service time when cold; default 5

	// Calls are the downstream calls made for each request, in sequence: "service/path" for GET, or
	// "METHOD:service/path". A call that fails or returns no 2xx status fails the request with 502. If the first call was
	// not run, the request had no effects, and its response declares so.
	Calls []string

	ReportLag  time.Duration // age of the reports of the health and load endpoints; default 0
	ReportIdle bool          // the health and load endpoints always report a ready, idle target

	AnnounceEvery time.Duration // time between announcements; default 1 s
	Lease         time.Duration // validity of an announcement; default 3 s
	DrainGrace    time.Duration // time between the draining announcement and the closing of the listener; default 1 s

	// RecordFile receives each execution as a line of JSON when it begins, so that the record survives the kill of the
	// target, and a second line with the same start if the target declares that the execution had no effects. Default: none.
	RecordFile string
}

const (
	defaultListen      = "127.0.0.1:0"
	defaultService     = "target"
	defaultSlots       = 40
	defaultConnections = 300
	defaultColdFactor  = 5
	defaultAnnounce    = time.Second
	defaultLease       = 3 * time.Second
	defaultDrainGrace  = time.Second
	announceTimeout    = 500 * time.Millisecond
	headerTimeout      = 5 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.Listen, defaultListen)
	setDefault(&o.Service, defaultService)
	setDefault(&o.Slots, defaultSlots)
	setDefault(&o.Connections, defaultConnections)
	setDefault(&o.ColdFactor, defaultColdFactor)
	setDefault(&o.AnnounceEvery, defaultAnnounce)
	setDefault(&o.Lease, defaultLease)
	setDefault(&o.DrainGrace, defaultDrainGrace)
	return o
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Target is a running fake target.
type Target struct {
	opts    Options
	started time.Time
	calls   []call

	listener   net.Listener
	server     *http.Server
	client     *http.Client
	stop       context.CancelFunc
	background sync.WaitGroup

	announceMu sync.Mutex

	slots    chan struct{}
	waiting  atomic.Int64
	running  atomic.Int64
	mean     atomic.Int64
	draining atomic.Bool

	rngMu sync.Mutex
	rng   *rand.Rand

	executionLog  executionLog
	reportHistory reportHistory
}

// Start starts a target that serves until Drain or Close.
func Start(opts Options) (*Target, error) {
	o := opts.withDefaults()
	calls, err := parseCalls(o.Calls, o.Node)
	if err != nil {
		return nil, err
	}
	file, err := openRecord(o.RecordFile)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		if file != nil {
			_ = file.Close()
		}
		return nil, fmt.Errorf("listen: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t := &Target{
		opts: o, started: time.Now(), calls: calls, stop: stop,
		listener: &limitListener{Listener: l, limit: int64(o.Connections)},
		client: &http.Client{
			Transport:     &http.Transport{MaxIdleConnsPerHost: o.Slots},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		slots: make(chan struct{}, o.Slots),
		rng:   rand.New(rand.NewPCG(o.Seed, 0)),
	}
	t.executionLog.file = file
	t.mean.Store(int64(o.Mean))
	t.server = &http.Server{Handler: t.handler(), ReadHeaderTimeout: headerTimeout}
	t.background.Go(func() { _ = t.server.Serve(t.listener) })
	t.background.Go(func() { t.sampleReports(ctx) })
	if o.Node != "" {
		t.background.Go(func() { t.announceLoop(ctx) })
	}
	return t, nil
}

// openRecord opens the file that records executions. It returns nil if the name is empty.
func openRecord(name string) (*os.File, error) {
	if name == "" {
		return nil, nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("record of executions: %w", err)
	}
	return f, nil
}

// Addr returns the address that the target serves on.
func (t *Target) Addr() string { return t.listener.Addr().String() }

// Executions returns all executions so far, in the order in which they began.
func (t *Target) Executions() []Execution { return t.executionLog.list() }

// SetMean changes the mean service time of the requests that start from now on.
func (t *Target) SetMean(d time.Duration) { t.mean.Store(int64(d)) }

// Running returns the number of requests that hold a slot.
func (t *Target) Running() int { return int(t.running.Load()) }

// State returns the state that the target announces.
func (t *Target) State() State {
	switch {
	case t.draining.Load():
		return Draining
	case time.Since(t.started) < t.opts.StartDelay:
		return Starting
	default:
		return Ready
	}
}

// Drain stops the target gracefully. With a node, it announces the state Draining and serves for DrainGrace; then it waits
// for the running requests. If ctx ends first, it aborts the remaining requests and returns the error of ctx.
func (t *Target) Drain(ctx context.Context) error {
	t.draining.Store(true)
	if t.opts.Node != "" {
		// The target stops even if its node cannot be reached.
		_ = t.announce(ctx)
		timer := time.NewTimer(t.opts.DrainGrace)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	err := t.server.Shutdown(ctx)
	return errors.Join(err, t.Close())
}

// Close stops the target at once and aborts its requests.
func (t *Target) Close() error {
	t.stop()
	err := t.server.Close()
	t.background.Wait()
	t.client.CloseIdleConnections()
	return err
}

// limitListener closes connections beyond a limit as soon as they are accepted.
type limitListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: c, listener: l}, nil
		}
		l.open.Add(-1)
		_ = c.Close()
	}
}

type limitedConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
