package quota

import (
	"math"
	"slices"
	"time"
)

// Receive handles a message of another node and returns the messages to send.
func (n *Node) Receive(from string, m Message, now time.Duration) []Outgoing {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case m.Report != nil && from != n.self:
		return n.receiveReport(from, m.Report, now)
	case m.Reply != nil && from == n.uplink.parent:
		n.receiveReply(m.Reply, now)
		if n.pushed {
			return n.push(now)
		}
	}
	return nil
}

func (n *Node) receiveReport(from string, r *Report, now time.Duration) []Outgoing {
	c := n.children[from]
	if r.Nodes == 0 {
		if c != nil && r.Seq > c.seq {
			n.moveChild(c, -1)
			n.removeChild(from)
			n.uplink.early = true // the parent counts its usage twice
		}
		return nil
	}
	if c == nil {
		if len(n.children) >= maxChildren {
			return nil
		}
		c = n.addChild(from)
	}
	joins := c.seq == 0 || c.lapsed
	known := r.Known
	if known < 0 || known > maxKnown {
		known = 0 // it cannot be right
	}
	n.known = max(n.known, known)
	if joins {
		n.moveChild(c, -1)
	}
	resend := !r.Full && r.Seq != c.seq+1
	c.seq, c.at, c.lapsed = r.Seq, now, false
	c.known = known
	c.nodes = min(max(1, r.Nodes), max(1, n.known-1))
	changed := n.changed[:0]
	for i, o := range n.orgs {
		c.entries[i].grant = 0
		if r.Full && !slices.ContainsFunc(r.Entries, func(e Usage) bool { return e.ID == o.id }) {
			n.setUsage(c, i, childUsage{}, joins)
		}
		if r.Full || joins || !o.open {
			changed = append(changed, i)
		}
	}
	for _, e := range r.Entries {
		if i, ok := n.byID[e.ID]; ok {
			n.setUsage(c, i, childUsage{used: decodeUnits(e.Used), demand: float64(min(e.Demand, maxUnits))}, joins)
			changed = append(changed, i)
		}
	}
	n.changed = changed
	if joins {
		n.moveChild(c, 1)
	}
	nodes := n.subtreeNodes()
	for _, i := range changed {
		n.refreshOne(i, nodes, now)
	}
	reply := n.reply(c, now)
	reply.Resend = resend
	var out []Outgoing
	if n.pushed {
		out = n.push(now)
	}
	return append(out, Outgoing{from, Message{Reply: reply}})
}

// setUsage records what a child has reported. Usage that has left its window is not at this node's disposal, see advance.
func (n *Node) setUsage(c *child, i int, u childUsage, joins bool) {
	if left := c.entries[i].used - u.used; left > 0 && !joins {
		n.orgs[i].shift(-left)
	}
	c.entries[i] = u
}

// reply grants a child its part of what is left since its last report.
func (n *Node) reply(c *child, now time.Duration) *Reply {
	r := &Reply{Seq: c.seq}
	nodes := n.subtreeNodes()
	for i, o := range n.orgs {
		e := &c.entries[i]
		if o.open {
			e.grant = n.openGrant(o, c.nodes)
			continue
		}
		t := n.subtree(i, now)
		left := n.limitOf(o, nodes, now) - t.used
		available := left - (t.granted - e.grant) - max(0, o.own-n.used(o, now))
		share := max(0, n.shareOf(left, e.demand, c.nodes, t, nodes))
		grant := max(0, math.Floor(min(n.roundUp(share), available)))
		r.Closed = append(r.Closed, Grant{ID: o.id, Amount: encodeGrant(grant), Level: max(1, encodeUnits(o.level))})
		e.grant = max(e.grant, decodeUnits(encodeGrant(grant))) // the child may not receive a reduced grant
	}
	return r
}

// roundUp rounds a grant to a whole number of requests at random, so that the expected value is the grant.
func (n *Node) roundUp(grant float64) float64 {
	whole := float64(int64(grant))
	if n.rand() < grant-whole {
		whole++
	}
	return whole
}

// push sends all children new grants in answer to their last reports, so that they need not wait for the next ones.
func (n *Node) push(now time.Duration) []Outgoing {
	n.pushed = false
	var out []Outgoing
	for _, c := range n.childList {
		if !c.lapsed {
			out = append(out, Outgoing{c.address, Message{Reply: n.reply(c, now)}})
		}
	}
	return out
}

func (n *Node) receiveReply(r *Reply, now time.Duration) {
	u := &n.uplink
	if r.Seq > u.seq || r.Seq < u.ackedSeq || r.Seq+sentReports <= u.seq {
		return
	}
	k := r.Seq % sentReports
	if r.Seq > u.ackedSeq {
		u.leaseEnd = u.sentAt[k] + leaseTime
		u.ackedSeq, u.ackedNodes = r.Seq, u.nodes[k]
		for _, o := range n.orgs {
			o.acked = o.sent[k]
		}
	} else if !u.leased {
		return
	}
	if now >= u.leaseEnd {
		return
	}
	u.leased = true
	if r.Seq == u.seq {
		u.silentSince = 0
	} else {
		u.silentSince = u.sentAt[(r.Seq+1)%sentReports]
	}
	u.full = u.full || r.Resend
	closed := make(map[uint32]Grant, len(r.Closed))
	for _, g := range r.Closed {
		closed[g.ID] = g
	}
	for _, o := range n.orgs {
		g, ok := closed[o.id]
		o.level, o.grant = 0, 0
		if ok {
			o.level, o.levelAt, o.grant = max(1.0/usageScale, decodeUnits(g.Level)), now, decodeUnits(g.Amount)
		}
	}
	n.refresh(now)
}
