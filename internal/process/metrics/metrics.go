// Package metrics exports the metrics of a node with OpenTelemetry in the Prometheus text format.
//
// All methods are safe for concurrent use.
package metrics

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/wigeoncleat/wigeoncleat/internal/process/invariant"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Gauges holds the current values of the gauges.
type Gauges struct {
	Active    int64 // requests that have not been answered
	InFlight  int64 // requests at the local target
	Limit     int64 // limit on requests in flight at the local target
	Threshold int64 // lowest priority that is admitted
	Members   int64
	Version   int64 // configuration version in force
	Links     int64 // open links to and from peers
	Epoch     int64 // of the platform's store
	Held      int64 // requests that are held, see package quarantine
	// UnlikelyRefused and IgnoredChainFigures count since the start, see package chain.
	UnlikelyRefused, IgnoredChainFigures int64
	// RateLimit is the limit on requests per second that the local target names; zero: none.
	RateLimit float64
	// ConfirmationAge is the age of the last confirmation that the configuration was the newest one, in seconds. Confirmed is false
	// if there was none, or none is needed.
	Confirmed            bool
	ConfirmationAge      float64
	InvalidConfirmations int64 // that were ignored because of an impossible age or moment
	// Slowdown is the time of the latest requests at the local target as a factor on their usual time; zero: no target.
	Slowdown float64
	// Pace is the share of its slots that the local target uses after a start; zero: no target.
	Pace                 float64
	IgnoredTargetFigures int64 // reported times and loads of targets that are out of range
	Memory               MemoryGauges
}

// MemoryGauges holds the values for memory and slow connections. It is empty for nodes that do not count them.
type MemoryGauges struct {
	Held         map[string]int64 // bytes by purpose
	Budget       int64
	Waiting      int64            // reservations that wait for room
	Refused      int64            // reservations for which there was no room, since the start
	Closed       map[string]int64 // connections of callers by reason, since the start
	OldestUnread float64          // seconds for which a response has been unread, the longest
}

// Metrics holds the instruments of a node.
type Metrics struct {
	provider *sdk.MeterProvider
	handler  http.Handler
	requests metric.Int64Counter
	latency  metric.Float64Histogram
	cached   sync.Map // *options by series

	organisationRequests metric.Int64Counter
	organisationsMu      sync.Mutex // held while a series is added
	organisations        sync.Map   // []metric.AddOption by name of the organisation
	organisationCount    int
}

// latencyBounds are the upper bounds of the histogram's buckets, in seconds.
var latencyBounds = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

// New returns the metrics of a node. At each scrape, read is called for the values of the gauges and quotas for the
// state of the quotas; nil: there are none.
func New(read func() Gauges, quotas func() []Quota) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, fmt.Errorf("metrics exporter: %w", err)
	}
	m := &Metrics{
		provider: sdk.NewMeterProvider(sdk.WithReader(exporter)),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	meter := m.provider.Meter("wigeoncleat")
	if m.requests, err = meter.Int64Counter("wigeoncleat.requests",
		metric.WithDescription("Requests by the interface they came in on, outcome and reason.")); err != nil {
		return nil, fmt.Errorf("request counter: %w", err)
	}
	if m.organisationRequests, err = meter.Int64Counter("wigeoncleat.organisation.requests",
		metric.WithDescription("Requests of callers by organisation; those of most organisations beyond a bound count as \"other\".")); err != nil {
		return nil, fmt.Errorf("counter of the organisations: %w", err)
	}
	if m.latency, err = meter.Float64Histogram("wigeoncleat.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to its final response."),
		metric.WithExplicitBucketBoundaries(latencyBounds...)); err != nil {
		return nil, fmt.Errorf("latency histogram: %w", err)
	}
	if quotas != nil {
		err = registerQuotas(meter, quotas)
	}
	return m, errors.Join(err, registerGauges(meter, read))
}

// registerGauges registers the gauges and the counts of invariant violations.
func registerGauges(meter metric.Meter, read func() Gauges) error {
	var gauges []metric.Observable
	gauge := func(name, text string) metric.Int64ObservableGauge {
		g, err := meter.Int64ObservableGauge(name, metric.WithDescription(text))
		if err != nil {
			panic(err) // cannot happen: the names are constant and valid
		}
		gauges = append(gauges, g)
		return g
	}
	active := gauge("wigeoncleat.active", "Requests that have not been answered.")
	inFlight := gauge("wigeoncleat.target.in_flight", "Requests at the target beside the node.")
	limit := gauge("wigeoncleat.target.limit", "Limit on requests at the target beside the node.")
	threshold := gauge("wigeoncleat.target.threshold", "Lowest priority that is admitted.")
	members := gauge("wigeoncleat.members", "Members known.")
	version := gauge("wigeoncleat.configuration.version", "Configuration version in force.")
	epoch := gauge("wigeoncleat.store.epoch", "Times that the platform's store has come back from an older copy.")
	held := gauge("wigeoncleat.quarantine.held", "Requests that are held because targets ended while they ran them.")
	links := gauge("wigeoncleat.links", "Open links to and from peers.")
	unlikely := gauge("wigeoncleat.chain.refused", "Requests refused since the start because a service that they need refuses or fails calls.")
	ignoredChain := gauge("wigeoncleat.chain.figures_ignored", "Figures on chains since the start that could not be true.")
	rateLimit, err := meter.Float64ObservableGauge("wigeoncleat.target.rate_limit", metric.WithUnit("{request}/s"),
		metric.WithDescription("Limit on requests per second that the target beside the node names; zero: none."))
	if err != nil {
		return fmt.Errorf("gauge of the rate limit: %w", err)
	}
	confirmationAge, err := meter.Float64ObservableGauge("wigeoncleat.configuration.confirmation_age", metric.WithUnit("s"),
		metric.WithDescription("Age of the last confirmation that the configuration was the newest one."))
	if err != nil {
		return fmt.Errorf("gauge of the confirmation: %w", err)
	}
	gauges = append(gauges, confirmationAge)
	invalidConfirmations := gauge("wigeoncleat.configuration.invalid_confirmations", "Confirmations that were ignored because of an impossible age.")
	slowdown, err := meter.Float64ObservableGauge("wigeoncleat.target.slowdown",
		metric.WithDescription("Time of the latest requests at the target beside the node, as a factor on their usual time."))
	if err != nil {
		return fmt.Errorf("gauge of the slowdown: %w", err)
	}
	pace, err := meter.Float64ObservableGauge("wigeoncleat.target.pace",
		metric.WithDescription("Share of its slots that the target beside the node uses after a start; one: no ramp is in progress."))
	if err != nil {
		return fmt.Errorf("gauge of the pace: %w", err)
	}
	gauges = append(gauges, rateLimit, slowdown, pace)
	ignoredTarget := gauge("wigeoncleat.balance.ignored_figures", "Reported times of targets that cannot be and did not count, since the start.")
	observeMemory, err := registerMemoryGauges(meter, &gauges)
	if err != nil {
		return err
	}
	violations := gauge("wigeoncleat.invariant.violations", "Violations of an invariant since the start.")
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		g := read()
		o.ObserveInt64(active, g.Active)
		o.ObserveInt64(inFlight, g.InFlight)
		o.ObserveInt64(limit, g.Limit)
		o.ObserveInt64(threshold, g.Threshold)
		o.ObserveInt64(members, g.Members)
		o.ObserveInt64(version, g.Version)
		o.ObserveInt64(links, g.Links)
		o.ObserveInt64(epoch, g.Epoch)
		o.ObserveInt64(held, g.Held)
		o.ObserveInt64(unlikely, g.UnlikelyRefused)
		o.ObserveInt64(ignoredChain, g.IgnoredChainFigures)
		o.ObserveFloat64(rateLimit, g.RateLimit)
		o.ObserveInt64(invalidConfirmations, g.InvalidConfirmations)
		if g.Confirmed {
			o.ObserveFloat64(confirmationAge, g.ConfirmationAge)
		}
		o.ObserveFloat64(slowdown, g.Slowdown)
		o.ObserveFloat64(pace, g.Pace)
		o.ObserveInt64(ignoredTarget, g.IgnoredTargetFigures)
		observeMemory(o, g.Memory)
		for name, n := range invariant.Counts() {
			o.ObserveInt64(violations, n, metric.WithAttributes(attribute.String("invariant", string(name))))
		}
		return nil
	}, gauges...)
	if err != nil {
		return fmt.Errorf("register gauges: %w", err)
	}
	return nil
}

// registerMemoryGauges adds the instruments for memory and slow connections and returns the function that observes them.
func registerMemoryGauges(meter metric.Meter, all *[]metric.Observable) (func(metric.Observer, MemoryGauges), error) {
	gauge := func(name, unit, text string) metric.Int64ObservableGauge {
		g, err := meter.Int64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(text))
		if err != nil {
			panic(err) // cannot happen: the names are constant and valid
		}
		*all = append(*all, g)
		return g
	}
	held := gauge("wigeoncleat.memory.held", "By", "Bytes held for others by purpose.")
	budget := gauge("wigeoncleat.memory.budget", "By", "Bytes that may be held for others.")
	waiting := gauge("wigeoncleat.memory.waiting", "{reservation}", "Bodies that wait for memory.")
	refused := gauge("wigeoncleat.memory.refused", "{reservation}", "Reservations for which there was no memory, since the start.")
	closed := gauge("wigeoncleat.connections.closed", "{connection}", "Connections of callers that were closed by reason, since the start.")
	unread, err := meter.Float64ObservableGauge("wigeoncleat.response.unread", metric.WithUnit("s"),
		metric.WithDescription("Time for which the oldest response has been unread."))
	if err != nil {
		return nil, fmt.Errorf("gauge of unread responses: %w", err)
	}
	*all = append(*all, unread)
	return func(o metric.Observer, g MemoryGauges) {
		if g.Budget == 0 {
			return
		}
		o.ObserveInt64(budget, g.Budget)
		o.ObserveInt64(waiting, g.Waiting)
		o.ObserveInt64(refused, g.Refused)
		o.ObserveFloat64(unread, g.OldestUnread)
		for purpose, n := range g.Held {
			o.ObserveInt64(held, n, metric.WithAttributes(attribute.String("purpose", purpose)))
		}
		for reason, n := range g.Closed {
			o.ObserveInt64(closed, n, metric.WithAttributes(attribute.String("reason", reason)))
		}
	}, nil
}

// series is the set of attributes of one series of the request counter.
type series struct{ iface, outcome, reason string }

// options holds the attributes of a series in the form that the instruments take.
type options struct {
	count   []metric.AddOption
	latency []metric.RecordOption
}

// optionsOf returns the options of a series. Creating them takes a dozen allocations, so they are cached. Their number is
// bounded, because the sets of interfaces, outcomes and reasons are fixed.
func (m *Metrics) optionsOf(s series) *options {
	if cached, ok := m.cached.Load(s); ok {
		return cached.(*options)
	}
	iface := attribute.String("interface", s.iface)
	set := attribute.NewSet(iface, attribute.String("outcome", s.outcome), attribute.String("reason", s.reason))
	stored, _ := m.cached.LoadOrStore(s, &options{
		count:   []metric.AddOption{metric.WithAttributeSet(set)},
		latency: []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(iface))},
	})
	return stored.(*options)
}

// Request counts a request that came in on the interface and records its duration.
func (m *Metrics) Request(iface string, r *message.Response, took time.Duration) {
	ctx := context.Background()
	o := m.optionsOf(series{iface, r.Outcome.String(), r.Reason.String()})
	m.requests.Add(ctx, 1, o.count...)
	m.latency.Record(ctx, took.Seconds(), o.latency...)
}

const (
	// maxOrganisations bounds the series of the counter of organisations, together with that of all others.
	maxOrganisations   = 100
	otherOrganisations = "other"
)

// Organisation counts a request of a caller for the organisation.
func (m *Metrics) Organisation(name string) {
	options, ok := m.organisations.Load(name)
	if !ok {
		options = m.addOrganisation(name)
	}
	m.organisationRequests.Add(context.Background(), 1, options.([]metric.AddOption)...)
}

// addOrganisation returns the options of the series of an organisation, or of the others if there are too many. Those are not
// kept by name, because names change with the configuration.
func (m *Metrics) addOrganisation(name string) any {
	m.organisationsMu.Lock()
	defer m.organisationsMu.Unlock()
	if m.organisationCount >= maxOrganisations-1 {
		name = otherOrganisations
	}
	options, loaded := m.organisations.LoadOrStore(name, []metric.AddOption{
		metric.WithAttributeSet(attribute.NewSet(attribute.String("organisation", name))),
	})
	if !loaded && name != otherOrganisations {
		m.organisationCount++
	}
	return options
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close releases the exporter.
func (m *Metrics) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }
