// Package chains simulates transparently forwarded requests through whole deployments in virtual time. It uses the request
// path, admission and target choice of production, with targets that hold a slot while they make their calls, so that a
// change of these can be evaluated under the users' high loads in seconds.
//
// A World must be created and run inside a testing/synctest bubble.
package chains

import "time"

// Site describes a deployment.
type Site struct {
	Name          string
	Zones         int           // availability zones
	ZoneLatency   time.Duration // one-way latency between availability zones
	CallerLatency time.Duration // one-way latency between callers and nodes
	Services      []Service
	Kinds         []Kind
	// Swing is the share by which the demand of each availability zone rises and falls around its mean, with swingPeriod and
	// shifted from zone to zone, while the demand of all zones together stays the same. Zero: all zones have the same demand.
	Swing float64
	// RetrySlack is the operators' bound on the retries to a service beyond a share of its requests, over all nodes. Zero leaves
	// the burst of the retry budgets as it is without settings.
	RetrySlack float64
}

// Service describes the targets of a service.
type Service struct {
	Name   string
	Slots  int       // per target
	Speeds []float64 // of each target, as a factor on the speed of work
	// KneeFactor multiplies the time of work of requests that start while more than kneeShare of the slots are in use. Zero
	// means 1.
	KneeFactor float64
}

// kneeShare is the share of a target's slots above which it slows down.
const kneeShare = 0.95

// Kind describes one kind of request.
type Kind struct {
	Name      string
	Service   string
	Rate      float64       // requests per second at a load of 1; zero if callers send none and only services call it
	Work      time.Duration // mean time of its own work at a speed of 1
	Spread    float64       // standard deviation of the logarithm of the work
	Objective time.Duration // latency up to which a response earns Worth
	Deadline  time.Duration // how long the caller waits for all attempts together
	Timeout   time.Duration // of the route; zero if it has none
	Worth     float64
	LateWorth float64 // what a response after the Objective earns
	Priority  int     // 0 is the most important
	Once      bool    // must not run more than once
	Calls     []CallGroup
}

// CallGroup describes calls of one kind that a request makes after its own work.
type CallGroup struct {
	Kind     string
	Count    int
	Parallel bool // instead of in sequence
}

// swingPeriod is the period of Site.Swing.
const swingPeriod = 15 * time.Second

// Haetsal returns the head office deployment of the franchise cafés.
func Haetsal() Site {
	const ms = time.Millisecond
	return Site{
		Name: "haetsal-hq", Zones: 4, ZoneLatency: 500 * time.Microsecond, CallerLatency: ms,
		Services: []Service{
			{Name: "menu", Slots: 36, Speeds: []float64{0.55, 1.2, 1.2, 1.2}},
			{Name: "order", Slots: 36, Speeds: []float64{0.7, 0.7, 1.6, 0.7}},
			{Name: "supply", Slots: 36, Speeds: []float64{0.5, 1, 1, 1.5}},
			{Name: "royalty", Slots: 10, Speeds: []float64{0.6, 1, 1.4, 0.6}, KneeFactor: 1.3},
		},
		Kinds: []Kind{
			{Name: "menu-read", Service: "menu", Rate: 38.7, Work: 220 * ms, Spread: 0.5, Objective: 1500 * ms, Deadline: 5000 * ms,
				Timeout: 1200 * ms, Worth: 1, LateWorth: 0.3, Priority: 2, Calls: []CallGroup{{"order-ledger", 1, true}}},
			{Name: "stock-order", Service: "order", Rate: 17.9, Work: 290 * ms, Spread: 0.8, Objective: 2000 * ms, Deadline: 5000 * ms,
				Timeout: 1500 * ms, Worth: 3, LateWorth: 0.6, Priority: 0, Once: true, Calls: []CallGroup{{"depot-read", 2, true}}},
			{Name: "supply-read", Service: "supply", Rate: 17.9, Work: 550 * ms, Spread: 0.8, Objective: 1500 * ms, Deadline: 6000 * ms,
				Timeout: 3000 * ms, Worth: 1, LateWorth: 0.3, Priority: 2},
			{Name: "royalty-read", Service: "royalty", Rate: 5.88, Work: 880 * ms, Spread: 0.8, Objective: 2500 * ms, Deadline: 10000 * ms,
				Timeout: 5000 * ms, Worth: 1, LateWorth: 0.3, Priority: 2},
			{Name: "order-ledger", Service: "order", Work: 15 * ms, Spread: 0.5, Deadline: 2500 * ms, Priority: 2, Calls: []CallGroup{{"depot-read", 1, false}}},
			{Name: "depot-read", Service: "supply", Work: 15 * ms, Spread: 0.5, Deadline: 2000 * ms, Priority: 2, Calls: []CallGroup{{"store-profile", 4, false}}},
			{Name: "store-profile", Service: "royalty", Work: 55 * ms, Spread: 0.5, Deadline: 700 * ms, Priority: 2},
		},
	}
}

// Gnomon returns the deployment of the sundial workshops.
func Gnomon() Site {
	const ms = time.Millisecond
	return Site{
		Name: "gnomon-qc", Zones: 3, ZoneLatency: 500 * time.Microsecond, CallerLatency: 3 * ms,
		Services: []Service{
			{Name: "catalogue", Slots: 139, Speeds: []float64{0.6, 1, 1.6, 0.6}},
			{Name: "commissions", Slots: 185, Speeds: []float64{0.5, 1, 1.5}},
			{Name: "orders", Slots: 185, Speeds: []float64{0.7, 0.7, 1.6}},
			{Name: "charts", Slots: 39, Speeds: []float64{0.7, 0.7, 1.6}, KneeFactor: 1.3},
		},
		Kinds: []Kind{
			{Name: "catalogue-read", Service: "catalogue", Rate: 273, Work: 90 * ms, Spread: 0.5, Objective: 1500 * ms, Deadline: 6000 * ms,
				Worth: 1, LateWorth: 0.5, Priority: 2, Calls: []CallGroup{{"gnomon-angle", 2, true}}},
			{Name: "commission-place", Service: "commissions", Rate: 74.8, Work: 120 * ms, Spread: 0.3, Objective: 1500 * ms, Deadline: 6000 * ms,
				Timeout: 800 * ms, Worth: 3, LateWorth: 1, Priority: 0, Once: true, Calls: []CallGroup{{"stock-check", 2, true}}},
			{Name: "order-status", Service: "orders", Rate: 101, Work: 220 * ms, Spread: 0.5, Objective: 600 * ms, Deadline: 2500 * ms,
				Timeout: 1200 * ms, Worth: 1, LateWorth: 0.5, Priority: 2},
			{Name: "latitude-chart", Service: "charts", Rate: 38.3, Work: 360 * ms, Spread: 0.8, Objective: 1000 * ms, Deadline: 4000 * ms,
				Timeout: 2000 * ms, Worth: 1, LateWorth: 0.5, Priority: 2},
			{Name: "gnomon-angle", Service: "commissions", Work: 15 * ms, Spread: 0.5, Deadline: 3000 * ms, Priority: 2, Calls: []CallGroup{{"stock-check", 1, false}}},
			{Name: "stock-check", Service: "orders", Work: 15 * ms, Spread: 0.5, Deadline: 2500 * ms, Priority: 2, Calls: []CallGroup{{"engrave-queue", 5, false}}},
			{Name: "engrave-queue", Service: "charts", Work: 22 * ms, Spread: 0.5, Deadline: 700 * ms, Priority: 2},
		},
	}
}

// Sloughgrass returns the deployment of the mule path repair mesh. Its deepest service gets eight calls per read, in sequence,
// within a route timeout of less than twice the usual time of the chain.
func Sloughgrass() Site {
	const ms = time.Millisecond
	return Site{
		Name: "sloughgrass-mesh", Zones: 4, ZoneLatency: 900 * time.Microsecond, CallerLatency: 8 * ms,
		Services: []Service{
			{Name: "trailboard", Slots: 37, Speeds: []float64{0.55, 1.2, 1.2, 1.2}},
			{Name: "crewhall", Slots: 37, Speeds: []float64{0.5, 1, 1, 1.5}},
			{Name: "permitdesk", Slots: 37, Speeds: []float64{0.6, 1, 1.4, 0.6}},
			{Name: "gravelyard", Slots: 13, Speeds: []float64{0.6, 1, 1.4, 0.6}, KneeFactor: 1.3},
		},
		Kinds: []Kind{
			{Name: "path-status", Service: "trailboard", Rate: 59.9, Work: 220 * ms, Spread: 0.8, Objective: 1500 * ms, Deadline: 5000 * ms,
				Timeout: 1200 * ms, Worth: 1, LateWorth: 0.3, Priority: 2, Calls: []CallGroup{{"crew-roster", 2, false}}},
			{Name: "crew-dispatch", Service: "crewhall", Rate: 32.7, Work: 290 * ms, Spread: 0.8, Objective: 2000 * ms, Deadline: 5000 * ms,
				Timeout: 1500 * ms, Worth: 3, LateWorth: 0.6, Priority: 0, Once: true, Calls: []CallGroup{{"permit-ledger", 1, false}}},
			{Name: "permit-issue", Service: "permitdesk", Rate: 24.5, Work: 150 * ms, Spread: 0.8, Objective: 500 * ms, Deadline: 2000 * ms,
				Timeout: 1000 * ms, Worth: 3, LateWorth: 0.9, Priority: 0, Once: true},
			{Name: "gravel-order", Service: "gravelyard", Rate: 9.26, Work: 180 * ms, Spread: 0.3, Objective: 500 * ms, Deadline: 2000 * ms,
				Timeout: 1000 * ms, Worth: 1, LateWorth: 0.3, Priority: 2, Once: true},
			{Name: "crew-roster", Service: "crewhall", Work: 15 * ms, Spread: 0.5, Deadline: 2500 * ms, Priority: 2, Calls: []CallGroup{{"permit-ledger", 1, false}}},
			{Name: "permit-ledger", Service: "permitdesk", Work: 15 * ms, Spread: 0.5, Deadline: 2000 * ms, Priority: 2, Calls: []CallGroup{{"yard-stock", 4, false}}},
			{Name: "yard-stock", Service: "gravelyard", Work: 55 * ms, Spread: 0.5, Deadline: 700 * ms, Priority: 2},
		},
	}
}
