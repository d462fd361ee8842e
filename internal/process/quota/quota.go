// Package quota bounds the requests that each organisation has admitted over all nodes within a sliding window. It decides without
// a network: the current time and the messages of other nodes are arguments, decisions and messages to send are results.
//
// Nodes form a tree (see parentOf). Each node reports what it and the nodes below it have admitted, and is told what it may admit
// from that report on. The root of a tree divides the part of the limit that corresponds to the nodes in its tree out of all known
// ones. A node that hears nothing of its parent acts as the root of what is below it. So the parts of all trees add up to the limit,
// whichever nodes can reach each other.
//
// The load that the package is made for: most organisations stay below two thirds of their limit and send far less than one request
// per second to each node; now and then, one of them sends several times its limit, evenly at all nodes. Therefore an organisation
// is open at first: each node admits a few requests of it before the next report. When less than openShare of the limit is left, it
// is closed: nodes admit only what they are granted by demand. While an organisation is open, the grants of all nodes together may
// exceed what is left, if the limit is low compared with the number of nodes. What is admitted until all nodes know that it is
// closed is then bounded by its demand within the few hundred milliseconds that this takes.
//
// Times are durations on a clock that also runs while the VM is suspended.
//
// A Node is safe for concurrent use.
package quota

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Limit is the quota of an organisation.
type Limit struct {
	Rate  float64 // requests per second; zero: no limit
	Burst float64 // requests beyond Rate
}

// Bounds are the operators' bounds on the requests that are admitted within any window: they must not exceed
// (Rate*Window+Burst)*(1+Over)+Slack.
type Bounds struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// DefaultBounds apply to deployments whose settings do not state any.
func DefaultBounds() Bounds { return Bounds{Window: 5 * time.Second, Over: 0.1, Slack: 20} }

const (
	// marginShare is the share of the margin (Over and Slack) that is used in normal operation. The rest covers what is admitted
	// after a restart before the window of the earlier process has passed, and nodes that learn late that an organisation is closed.
	marginShare = 0.4
	// restartShare is the share of the remaining margin that processes may use up in the first window after their start.
	restartShare = 0.5
	// regainShare is the part of Rate that a node regains per second of what it has to assume to be used: by its earlier process, or
	// by nodes that it no longer hears of. It is below one because the actual usage may leave the window later, and above the usual
	// demand, which is about 0.6 of the rate.
	regainShare = 0.75
	// An organisation is open while openShare of its limit is left, and in addition what its demand uses up in openTime beyond what leaves
	// the window meanwhile: nodes learn within about that time that it is closed. To be open again it needs reopenFactor times as much.
	openShare    = 0.08
	openTime     = 550 * time.Millisecond
	reopenFactor = 1.2
	// openGrantShare is the share of the limit that all open grants together amount to, so that they hardly exceed what is left. In addition
	// each node has minOpenGrant.
	openGrantShare = 0.2
	// minOpenGrant is what each node gets at least. Requests of a small organisation come seldom, but not evenly.
	minOpenGrant = 3
	// aloneShare is the part of its share that a node uses that reaches no other one: the shares of small organisations are rounded at
	// random, and the sum over all nodes varies.
	aloneShare = 0.8
)

// organisation is the state of one organisation.
type organisation struct {
	name    string
	id      uint32
	limit   Limit
	normal  float64 // requests within the window in normal operation
	reserve float64 // requests beyond normal after restarts
	usage   usage

	open      bool
	own       float64 // this node admits while usage and phantom stay below
	level     float64 // part of the limit that is used in the whole tree, as last told; zero: open
	levelAt   time.Duration
	lost      float64       // level when the node has lost its tree
	lostAt    time.Duration // when that was
	grant     float64       // of the parent, for the node and those below it
	sent      [sentReports]float64
	acked     float64 // usage in the report that the parent has answered
	assumed   float64 // phantom at the last call of advance
	reported  Usage   // as last sent
	draw      float64 // for rounding a share at random, one for each window
	drawnAt   int64
	admitted  uint64
	refused   uint64
	refusedAt time.Duration
	limited   bool // refused requests lately
}

// Node is the part of one node in the quotas.
type Node struct {
	mu     sync.Mutex
	self   string
	bounds Bounds
	start  time.Duration
	rand   func() float64
	orgs   []*organisation
	byName map[string]*organisation
	byID   map[uint32]int

	reachable []string
	known     int
	children  map[string]*child
	childList []*child // the same
	changed   []int    // organisations in the latest report of a child; kept for its memory
	uplink    uplink
	pushed    bool // the grants of all children have to be sent again
	lastTick  time.Duration
}

// New returns the state of a node whose process has just started. The earlier process may have admitted requests that are still in
// the window.
func New(self string, bounds Bounds, now time.Duration) *Node {
	return &Node{
		self: self, bounds: bounds, start: now, lastTick: now, known: 1, rand: rand.Float64,
		byName: map[string]*organisation{}, byID: map[uint32]int{}, children: map[string]*child{},
		uplink: uplink{suspects: map[string]time.Duration{}},
	}
}

// SetBounds changes the bounds. The length of the window must stay the same while the process runs.
func (n *Node) SetBounds(b Bounds, now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b.Window = n.bounds.Window
	n.bounds = b
	for _, o := range n.orgs {
		n.setLimit(o, o.limit)
	}
	n.refresh(now)
}

func (n *Node) setLimit(o *organisation, limit Limit) {
	o.limit = limit
	base := limit.Rate*n.bounds.Window.Seconds() + limit.Burst
	margin := base*n.bounds.Over + n.bounds.Slack
	o.normal = base + marginShare*margin
	o.reserve = restartShare * (1 - marginShare) * margin
}

// SetLimits sets the quotas that inForce returns. Organisations without a rate have no limit. The function is called while other calls
// wait, so that of two concurrent ones the later one does not set the quotas of an earlier configuration.
func (n *Node) SetLimits(inForce func() map[string]Limit, now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	limits := inForce()
	var orgs []*organisation
	byName, byID := map[string]*organisation{}, map[uint32]int{}
	for _, name := range slices.Sorted(maps.Keys(limits)) {
		limit := limits[name]
		if !(limit.Rate > 0) || math.IsInf(limit.Rate, 0) || !(limit.Burst >= 0) || math.IsInf(limit.Burst, 0) {
			continue
		}
		o := n.byName[name]
		if o == nil {
			o = &organisation{name: name, id: idOf(name)}
		}
		n.setLimit(o, limit)
		byName[name], byID[o.id] = o, len(orgs)
		orgs = append(orgs, o)
	}
	for _, c := range n.childList {
		c.reorder(orgs, n.byID)
	}
	n.orgs, n.byName, n.byID = orgs, byName, byID
	n.uplink.full = true
	n.refresh(now)
}

// maxKnown bounds the number of nodes that another one may say it knows.
const maxKnown = 100_000

// SetMembers sets the other nodes that can be reached, and the number of all nodes that are known, with this one. It must be called
// again from time to time: a node takes over a larger number from those that report to it.
func (n *Node) SetMembers(reachable []string, known int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reachable, n.known = reachable, max(1, known, 1+len(reachable))
	for _, c := range n.childList {
		if !c.lapsed {
			n.known = max(n.known, c.known)
		}
	}
	n.uplink.chooseAt = 0
}

// Admit decides on a request. If it is refused, retryAfter is the time after which the caller may try again.
func (n *Node) Admit(name string, now time.Duration) (ok bool, retryAfter time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	o := n.byName[name]
	if o == nil {
		return true, 0
	}
	n.advance(o, now)
	o.usage.arrive()
	if n.uplink.leased && now >= n.uplink.leaseEnd {
		n.loseLease(now)
	}
	if n.used(o, now)+1 > o.own+rounding {
		o.refused++
		o.refusedAt, o.limited = now, true
		return false, n.retryAfter(o)
	}
	o.usage.admit()
	o.admitted++
	if o.own-n.used(o, now) <= openGrantOfOne(o, n.known)/2 {
		n.uplink.early = true
	}
	return true, 0
}

// advance moves to the given time. What leaves the window is not at this node's disposal: if more than the limit is used, because the
// limit was lowered or parts of the nodes were cut off, nobody may use it again.
func (n *Node) advance(o *organisation, now time.Duration) {
	left := float64(o.usage.advance(now, n.bounds.Window))
	phantom := n.phantom(o, now)
	if left += o.assumed - phantom; left > 0 {
		o.shift(-left)
	}
	o.assumed = phantom
}

// shift changes what the grants of the parent are counted from.
func (o *organisation) shift(by float64) {
	o.acked += by
	for k := range o.sent {
		o.sent[k] += by
	}
}

// rounding is the tolerance for sums of shares.
const rounding = 1e-6

// retryAfter returns a random time that grows with the excess of the demand at this node. Callers that come back together would be
// refused together.
func (n *Node) retryAfter(o *organisation) time.Duration {
	share := o.limit.Rate / float64(n.known)
	excess := min(1, max(0, float64(o.usage.demand)-share)/max(share, 1))
	mean := 0.2 + 0.2*excess // of the window
	return time.Duration((0.5 + n.rand()) * mean * float64(n.bounds.Window))
}

// GiveBack takes back the admission of a request that was not run after all.
func (n *Node) GiveBack(name string, now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o := n.byName[name]; o != nil {
		n.advance(o, now)
		o.usage.giveBack()
	}
}

// used returns the requests that count as admitted by this node within the window. They include those that it has to assume.
func (n *Node) used(o *organisation, now time.Duration) float64 {
	return float64(o.usage.sum) + n.phantom(o, now)
}

// phantom returns this node's part of the requests that may be in the window although nobody reports them: those of its earlier
// process, and those of a tree that the node has lost.
func (n *Node) phantom(o *organisation, now time.Duration) float64 {
	regained := func(since time.Duration) float64 { return regainShare * o.limit.Rate * (now - since).Seconds() }
	p := 0.0
	if now-n.start < n.bounds.Window {
		p = o.normal - o.reserve - regained(n.start)
	}
	if o.lost > 0 && now-o.lostAt < n.bounds.Window {
		p = max(p, o.lost*o.normal-regained(o.lostAt))
	}
	return max(0, p) / float64(n.known)
}

// Status is the state of one organisation at this node.
type Status struct {
	Name     string
	Admitted uint64 // since the start
	Refused  uint64
	Limit    Limit
	Closed   bool // shares are in force
}

// Status returns the state of all organisations with a limit.
func (n *Node) Status() []Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]Status, len(n.orgs))
	for i, o := range n.orgs {
		out[i] = Status{o.name, o.admitted, o.refused, o.limit, !o.open}
	}
	return out
}

// Change says that an organisation has begun to have requests refused at this node, or no longer has.
type Change struct {
	Organisation string
	Limited      bool
}

// limitedTime is the time without a refusal after which an organisation counts as within its limit again, in windows.
const limitedTime = 1

// Changes returns what has changed since the last call. Limits that were reached are reported once.
func (n *Node) Changes(now time.Duration, reported map[string]bool) []Change {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Change
	for _, o := range n.orgs {
		if o.limited && now-o.refusedAt > limitedTime*n.bounds.Window {
			o.limited = false
		}
		if o.limited != reported[o.name] {
			reported[o.name] = o.limited
			out = append(out, Change{o.name, o.limited})
		}
	}
	return out
}
