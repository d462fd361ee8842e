package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// reportInterval is the time between reports. Early reports are sent when a grant is half used, at most every
	// earlyReportInterval.
	reportInterval      = 200 * time.Millisecond
	earlyReportInterval = 50 * time.Millisecond
	// leaseTime is the time from the sending of a report for which its answer is valid. While no new answer comes, an organisation
	// can use up no more than its open grants, and no more than its demand within that time.
	leaseTime = 600 * time.Millisecond
	// silenceTime is the time without an answer after which a node turns to another parent, while its lease is still valid.
	// suspicionTime is the time for which it then avoids the silent one.
	silenceTime   = 350 * time.Millisecond
	suspicionTime = 2 * time.Second
	// pauseTime is the time between two calls of Tick after which the node itself was paused, so that silence says nothing of
	// others.
	pauseTime = 250 * time.Millisecond
	// TickInterval is the time between calls of Tick.
	TickInterval = 50 * time.Millisecond
	// sentReports is the number of reports whose contents are kept until they are answered.
	sentReports = 4
	// reportStep is the change of the usage of an open organisation that is reported, as a part of the limit of the reporting nodes.
	// Smaller changes do not matter as long as enough of the limit is left. Those of closed organisations are always reported.
	reportStep = 0.06
	// joinDelay is the time for which a node with others below it waits before it reports to another parent.
	joinDelay = 100 * time.Millisecond
	// fallEvery is the number of reports of which one states usage that has only become less, for a node without others below it and
	// for one with others, whose reports are longer.
	fallEvery      = 2
	fallEveryInner = 5
	// maxChildren bounds the memory that other nodes can take.
	maxChildren = 4096
)

// Outgoing is a message to send.
type Outgoing struct {
	To      string
	Message Message
}

// child is what a node knows of one that reports to it.
type child struct {
	address string
	seq     uint64
	nodes   int
	known   int           // nodes that it knows of
	at      time.Duration // of the last report
	lapsed  bool          // it has not reported for leaseTime and acts on its own
	entries []childUsage  // as Node.orgs
}

type childUsage struct{ used, demand, grant float64 }

// reorder adapts the entries to another list of organisations.
func (c *child) reorder(orgs []*organisation, old map[uint32]int) {
	entries := make([]childUsage, len(orgs))
	for i, o := range orgs {
		if k, ok := old[o.id]; ok && k < len(c.entries) {
			entries[i] = c.entries[k]
		}
	}
	c.entries = entries
}

// uplink is the exchange with the parent.
type uplink struct {
	parent      string // empty: the node is a root
	seq         uint64 // of the last report
	ackedSeq    uint64
	sentAt      [sentReports]time.Duration
	nodes       [sentReports]int
	ackedNodes  int
	lastReport  time.Duration
	silentSince time.Duration // first report without an answer; zero: none
	leased      bool
	leaseEnd    time.Duration
	early       bool                     // a report is due before the interval is over
	full        bool                     // the next report lists all organisations
	suspects    map[string]time.Duration // nodes that did not answer, until when they are avoided
	chooseAt    time.Duration            // when the parent is chosen again
}

// Tick does what is due and returns the messages to send.
func (n *Node) Tick(now time.Duration) []Outgoing {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now-n.lastTick > pauseTime && n.uplink.silentSince > 0 {
		n.uplink.silentSince = now
	}
	n.lastTick = now
	n.expireChildren(now)
	out := n.chooseParent(now)
	if n.uplink.leased && now >= n.uplink.leaseEnd {
		n.loseLease(now)
	}
	n.refresh(now)
	if n.pushed {
		out = append(out, n.push(now)...)
	}
	since := now - n.uplink.lastReport
	if n.uplink.parent != "" && (since >= reportInterval || n.uplink.early && since >= earlyReportInterval) {
		out = append(out, Outgoing{n.uplink.parent, Message{Report: n.report(now)}})
	}
	return out
}

// loseLease makes the node the root of what is below it. The rest of its former tree may go on.
func (n *Node) loseLease(now time.Duration) {
	n.uplink.leased = false
	n.rememberLevels(now)
	for _, o := range n.orgs {
		o.level = 0
	}
	n.refresh(now)
}

// rememberLevels keeps what was used in the tree that the node leaves.
func (n *Node) rememberLevels(now time.Duration) {
	for _, o := range n.orgs {
		if o.level > 0 && now-o.levelAt < n.bounds.Window {
			own := float64(o.usage.sum) * float64(n.known) / max(o.normal, 1)
			o.lost, o.lostAt = max(0, o.level-own), now
		}
	}
}

// chooseParent determines the parent among the nodes that can be reached and answer. It returns a message that tells an earlier parent
// that the node has left, so that its usage does not count twice.
func (n *Node) chooseParent(now time.Duration) (out []Outgoing) {
	u := &n.uplink
	if u.silentSince > 0 && now-u.silentSince >= silenceTime && u.parent != "" {
		u.suspects[u.parent] = now + suspicionTime
		u.chooseAt = now
	}
	if now < u.chooseAt {
		return nil
	}
	u.chooseAt = now + suspicionTime
	list := make([]string, 0, len(n.reachable))
	for _, address := range n.reachable {
		if until, ok := u.suspects[address]; ok && now < until {
			u.chooseAt = min(u.chooseAt, until)
			continue
		}
		delete(u.suspects, address)
		list = append(list, address)
	}
	parent, _ := parentOf(n.self, list)
	if parent == u.parent {
		return nil
	}
	if u.parent != "" {
		n.rememberLevels(now)
		u.seq++
		out = append(out, Outgoing{u.parent, Message{Report: &Report{Seq: u.seq}}})
	}
	u.parent, u.silentSince, u.early, u.full, u.lastReport = parent, 0, true, true, now-reportInterval
	if len(n.children) > 0 { // they may be about to turn to the same parent, and would count twice
		u.early, u.lastReport = false, now-reportInterval+joinDelay
	}
	u.ackedSeq = u.seq // answers of the earlier parent no longer count
	if parent == "" && u.leased {
		n.loseLease(now)
	}
	return out
}

func (n *Node) expireChildren(now time.Duration) {
	for address, c := range n.children {
		switch {
		case now-c.at >= n.bounds.Window+leaseTime:
			n.moveChild(c, -1)
			n.removeChild(address)
		case !c.lapsed && now-c.at >= leaseTime:
			n.moveChild(c, -1)
			c.lapsed = true
			n.moveChild(c, 1)
		}
	}
}

func (n *Node) addChild(address string) *child {
	c := &child{address: address, entries: make([]childUsage, len(n.orgs))}
	n.children[address] = c
	n.childList = append(n.childList, c)
	return c
}

func (n *Node) removeChild(address string) {
	delete(n.children, address)
	n.childList = slices.DeleteFunc(n.childList, func(c *child) bool { return c.address == address })
}

// moveChild adapts what the parent's grants are counted from when a child joins the subtree (sign 1) or leaves it (-1): the usage that
// it brings was not admitted under these grants.
func (n *Node) moveChild(c *child, sign float64) {
	for i, o := range n.orgs {
		used, _ := n.childUsed(o, c, i)
		o.shift(sign * used)
	}
}

// childUsed returns what a child has used and what it is granted. Of a child that does not report, only what it may use beyond its own
// part of the limit counts.
func (n *Node) childUsed(o *organisation, c *child, i int) (used, granted float64) {
	e := &c.entries[i]
	switch {
	case !c.lapsed:
		return e.used, e.grant
	case o.open: // the grants exceed what is left, but demand is low
		return max(0, e.used-n.partOf(o, c.nodes)), 0
	}
	return max(0, e.used+e.grant-n.partOf(o, c.nodes)), 0
}

// tree is what a node knows of one organisation at the nodes of its tree or subtree.
type tree struct{ used, demand, granted float64 }

// subtree sums up the organisation with the given index over this node and those below it.
func (n *Node) subtree(i int, now time.Duration) tree {
	o := n.orgs[i]
	t := tree{used: n.used(o, now), demand: float64(o.usage.demand)}
	for _, c := range n.childList {
		used, granted := n.childUsed(o, c, i)
		t.used += used
		t.granted += granted
		if !c.lapsed {
			t.demand += c.entries[i].demand
		}
	}
	return t
}

// subtreeNodes returns the number of nodes of the subtree.
func (n *Node) subtreeNodes() int {
	nodes := 1
	for _, c := range n.childList {
		if !c.lapsed {
			nodes += c.nodes
		}
	}
	return min(nodes, n.known)
}

// partOf returns the part of the limit that corresponds to a number of nodes.
func (n *Node) partOf(o *organisation, nodes int) float64 {
	return o.normal * float64(nodes) / float64(n.known)
}

// openGrantOfOne returns the open grant of a node without others below it.
func openGrantOfOne(o *organisation, known int) float64 {
	return minOpenGrant + math.Floor(openGrantShare*o.normal/float64(known))
}

// refresh determines for each organisation whether it is open and what this node itself may admit.
func (n *Node) refresh(now time.Duration) {
	nodes := n.subtreeNodes()
	for i := range n.orgs {
		n.refreshOne(i, nodes, now)
	}
}

// refreshOne is refresh for the organisation with the given index.
func (n *Node) refreshOne(i, nodes int, now time.Duration) {
	o := n.orgs[i]
	n.advance(o, now)
	t := n.subtree(i, now)
	limit := n.limitOf(o, nodes, now)
	wasOpen := o.open
	switch left := limit - t.used; {
	case n.uplink.leased:
		o.open = o.level == 0 && left >= 0
	case nodes == 1 && n.known > 1:
		o.open = false
	default:
		growth := t.demand/n.demandSpan().Seconds() - t.used/n.bounds.Window.Seconds() // of what is used, per second
		needed := openShare*limit + max(0, growth)*openTime.Seconds()
		if !wasOpen {
			needed *= reopenFactor
		}
		o.open = left >= max(2, needed)
		if !o.open {
			o.level, o.levelAt = min(2, t.used/max(limit, 1)), now
		} else {
			o.level = 0
		}
	}
	n.pushed = n.pushed || wasOpen && !o.open
	switch {
	case nodes == 1:
		o.own = limit
	case o.open:
		o.own = n.used(o, now) + openGrantOfOne(o, n.known)
	default:
		left := limit - t.used
		share := max(0, n.shareOf(left, float64(o.usage.demand), 1, t, nodes))
		o.own = n.used(o, now) + max(0, math.Floor(min(n.roundShare(o, share, now), left-t.granted)))
	}
	if n.uplink.leased && t.used > o.acked+(limit-o.acked)/2 {
		n.uplink.early = true
	}
}

// differs reports whether the usage of an open organisation has changed enough to be reported.
func (n *Node) differs(o *organisation, t tree, r *Report) bool {
	step := reportStep * n.partOf(o, r.Nodes)
	used, demand := t.used-decodeUnits(o.reported.Used), t.demand-float64(o.reported.Demand)
	every := uint64(fallEvery)
	if r.Nodes > 1 {
		every = fallEveryInner
	}
	return max(used, demand) > step || r.Seq%every == 0 && min(used, demand) < -step
}

// demandSpan is the time over which demand is measured.
func (n *Node) demandSpan() time.Duration { return n.bounds.Window * demandSlots / slotsPerWindow }

// limitOf returns the number of requests that this node and those below it may have admitted within the window.
func (n *Node) limitOf(o *organisation, nodes int, now time.Duration) float64 {
	switch {
	case n.uplink.leased && o.level == 0:
		return o.acked + n.openGrant(o, n.uplink.ackedNodes)
	case n.uplink.leased:
		return o.acked + o.grant
	case nodes > 1 || n.known == 1:
		return n.partOf(o, nodes)
	}
	return n.phantom(o, now) + n.roundShare(o, max(0, aloneShare*n.partOf(o, 1)-n.phantom(o, now)), now)
}

// openGrant returns the open grant of a number of nodes together.
func (n *Node) openGrant(o *organisation, nodes int) float64 {
	return openGrantOfOne(o, n.known) * float64(nodes)
}

// roundShare rounds a share to a whole number of requests at random, so that the expected value is the share. The draw stays the same for
// a window: one that changed more often would add up to more than the share.
func (n *Node) roundShare(o *organisation, share float64, now time.Duration) float64 {
	if w := int64(now/n.bounds.Window) + 1; w != o.drawnAt {
		o.drawnAt, o.draw = w, n.rand()
	}
	return math.Floor(share + o.draw)
}

// evenShare is the part of a closed organisation's grants that is distributed evenly over the nodes, the rest by demand. Without it, a
// node at which an organisation appears would have to refuse its first requests.
const evenShare = 0.2

// shareOf returns the part of what is left that goes to nodes with the given demand.
func (n *Node) shareOf(left, demand float64, of int, t tree, nodes int) float64 {
	even := float64(of) / float64(nodes)
	if t.demand <= 0 {
		return left * even
	}
	return left * (evenShare*even + (1-evenShare)*demand/t.demand)
}

// report returns the next report to the parent.
func (n *Node) report(now time.Duration) *Report {
	u := &n.uplink
	u.seq++
	k := u.seq % sentReports
	r := &Report{Seq: u.seq, Nodes: n.subtreeNodes(), Known: n.known, Full: u.full || u.silentSince > 0}
	for i, o := range n.orgs {
		t := n.subtree(i, now)
		e := Usage{ID: o.id, Used: encodeUnits(t.used), Demand: uint32(min(t.demand, maxUnits))}
		switch exact := o.level > 0 || !o.open; {
		case r.Full && e.Used == 0 && e.Demand == 0, exact && e != o.reported:
			o.reported = e
		case r.Full, n.differs(o, t, r):
			o.reported = e
		default:
			e.ID = 0 // it is near enough to what the parent knows
		}
		o.sent[k] = decodeUnits(o.reported.Used)
		if e.ID != 0 && (!r.Full || e.Used > 0 || e.Demand > 0) {
			r.Entries = append(r.Entries, e)
		}
	}
	u.sentAt[k], u.nodes[k] = now, r.Nodes
	u.lastReport, u.early, u.full = now, false, false
	if u.silentSince == 0 {
		u.silentSince = now
	}
	return r
}
