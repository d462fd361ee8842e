package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/process/directory"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/quarantine"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// viewMessage is the control message by which nodes synchronise their views and the configuration. The view of a node is
// the content of its directory: what it knows of itself and of the other nodes.
type viewMessage struct {
	Digest       uint64             `cbor:"1,keyasint"`            // of the sender's directory
	Version      uint64             `cbor:"2,keyasint"`            // of the sender's configuration; see routing.Stamp
	Members      []directory.Member `cbor:"3,keyasint,omitempty"`  // entries that the receiver may lack
	Config       []byte             `cbor:"4,keyasint,omitempty"`  // compressed
	WantEntries  bool               `cbor:"5,keyasint,omitempty"`  // the sender requests all entries that it lacks
	WantConfig   bool               `cbor:"6,keyasint,omitempty"`  // the sender requests the configuration
	Sums         []uint64           `cbor:"7,keyasint,omitempty"`  // of the sender's directory; see directory.Sums
	WantBuckets  []int              `cbor:"8,keyasint,omitempty"`  // buckets whose entries the sender requests
	Relay        bool               `cbor:"9,keyasint,omitempty"`  // the receiver passes new entries on in its zone
	WantOwnEntry bool               `cbor:"10,keyasint,omitempty"` // the sender has started and requests its own entry
	// OwnEntryComplete says that the sender has been up for at least fullViewAge and that the message contains all that
	// it knows of the receiver.
	OwnEntryComplete bool   `cbor:"12,keyasint,omitempty"`
	WantConfirmed    uint64 `cbor:"13,keyasint,omitempty"` // revision of the sender's own entry that is to be confirmed
	Confirmed        uint64 `cbor:"14,keyasint,omitempty"` // revision of the receiver's own entry that the sender has received
	// Condition is the condition of the sender's attached target. A message with it contains nothing else and is not
	// answered.
	Condition *condition `cbor:"11,keyasint,omitempty"`
	// Epoch and Sum belong to Version.
	Epoch uint64 `cbor:"15,keyasint,omitempty"`
	Sum   uint64 `cbor:"16,keyasint,omitempty"`
	// StoreContact says that the store has just answered the sender.
	StoreContact bool `cbor:"19,keyasint,omitempty"`
	// SuspectsSum is that of the sender's table of suspects, see package quarantine. Suspects are records that the receiver may lack.
	SuspectsSum uint64              `cbor:"17,keyasint,omitempty"`
	Suspects    []quarantine.Record `cbor:"18,keyasint,omitempty"`
	// WantRecorded asks the receiver to record in the store that the sender's target leaves, see leavingsRecord. Recorded is the
	// answer with the same number.
	WantRecorded uint64 `cbor:"20,keyasint,omitempty"`
	Recorded     uint64 `cbor:"21,keyasint,omitempty"`
}

func (m *viewMessage) setStamp(stamp routing.Stamp) {
	m.Version, m.Epoch, m.Sum = uint64(stamp.Version), stamp.Epoch, stamp.Sum
}

func (m *viewMessage) stamp() routing.Stamp {
	return routing.Stamp{Version: routing.Version(m.Version), Epoch: m.Epoch, Sum: m.Sum}
}

type inboundMessage struct {
	from    string
	payload []byte
}

const (
	// gossipInterval is the mean time between comparisons of the view with a random node. A node that missed a change
	// gets it through comparisons within about a second.
	gossipInterval = time.Second
	// sameZoneShare is the share of comparisons within the availability zone, where traffic is free of charge.
	sameZoneShare = 0.75
	// reconnectInterval is the time between attempts to reach nodes that are down.
	reconnectInterval = 500 * time.Millisecond
	// reconnectBatch is the number of nodes that are tried at once.
	reconnectBatch = 4
	sendTimeout    = time.Second
	// relaysPerZone is the number of nodes of each other availability zone that are sent a change and pass it on in their
	// zone.
	relaysPerZone = 2
	// relayDelay is the time for which changes are collected before they are passed on in one message. It limits the
	// number of messages when many nodes start at once.
	relayDelay = 10 * time.Millisecond
	// fullViewAge is the uptime after which a node's knowledge of the others is regarded as complete: several comparisons
	// of views.
	fullViewAge = 5 * time.Second
	// ownEntryRetryDelay is the time after which a message with OwnEntryComplete that could not be sent is sent again. It is
	// longer than the backoff of links after a failed dial.
	ownEntryRetryDelay = linkDialBackoff + 50*time.Millisecond
	// pageSize is the number of entries in one message. An entry takes about 130 bytes; a message has at most 256 KiB.
	pageSize = 1000
	// maxSuspects is the number of suspects in one message, at about 40 bytes each.
	maxSuspects = 128
)

// broadcast sends a change of this node's own entry to all nodes: directly to those of its availability zone, and
// through relays to the others.
func (s *Sidecar) broadcast(m directory.Member) {
	zone, others := s.directory.Neighbours()
	msg := s.message()
	msg.Members = []directory.Member{m}
	confirmRequests := 0
	sendTo := func(address string) {
		msg.WantConfirmed = 0
		if m.TargetLeaving() && confirmRequests < confirmationPeers {
			msg.WantConfirmed = m.Revision
			confirmRequests++
		}
		s.send(address, msg)
	}
	for _, address := range zone {
		sendTo(address)
	}
	msg.Relay = true
	for _, address := range sampleZones(others, relaysPerZone) {
		sendTo(address)
	}
}

// broadcastSuspects sends records of suspects to all nodes.
func (s *Sidecar) broadcastSuspects(list []quarantine.Record) {
	zone, others := s.directory.Neighbours()
	msg := s.message()
	for page := range slices.Chunk(list, maxSuspects) {
		msg.Suspects, msg.Relay = page, false
		for _, address := range zone {
			s.send(address, msg)
		}
		msg.Relay = true
		for _, address := range sampleZones(others, relaysPerZone) {
			s.send(address, msg)
		}
	}
}

// sampleZones returns up to n random nodes of each zone.
func sampleZones(zones map[string][]string, n int) []string {
	var out []string
	for _, list := range zones {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		out = append(out, list[:min(n, len(list))]...)
	}
	return out
}

func (s *Sidecar) message() viewMessage {
	msg := viewMessage{Digest: s.directory.Digest(), SuspectsSum: s.quarantine.Sum()}
	msg.setStamp(s.stamp())
	return msg
}

// send sends a message in the background. A message with OwnEntryComplete is sent again if that fails: a node that was
// down until recently cannot be dialed before the backoff after the last attempt is over.
func (s *Sidecar) send(address string, msg viewMessage) {
	s.background.Go(func() {
		err := s.sendSync(address, msg) // sendSync logs the error; the next comparison makes up for other messages
		if err != nil && msg.OwnEntryComplete {
			s.sleep(ownEntryRetryDelay)
			_ = s.sendSync(address, msg)
		}
	})
}

func (s *Sidecar) sendSync(address string, msg viewMessage) error {
	payload, err := cbor.Marshal(msg)
	if err == nil {
		ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
		defer cancel()
		err = s.pool.SendControl(ctx, address, wire.ChannelView, payload)
	}
	if err != nil {
		s.markUnreachable(address, err)
		return err
	}
	s.markReachable(address)
	return nil
}

// gossip compares the view with random nodes and handles received messages.
func (s *Sidecar) gossip() {
	timer := time.NewTimer(gossipInterval)
	defer timer.Stop()
	var pull, relay <-chan time.Time // timers, set while a newer configuration is known and while changes wait to be relayed
	for {
		if wait := s.puller.wait(time.Now(), s.stamp()); wait > 0 && pull == nil {
			pull = time.After(wait)
		}
		if s.pendingRelay.pending() && relay == nil {
			relay = time.After(relayDelay)
		}
		select {
		case <-s.ctx.Done():
			return
		case m := <-s.inbox:
			s.receive(m)
		case <-pull:
			pull = nil
			s.requestConfig()
		case <-relay:
			relay = nil
			s.flushRelay()
		case <-timer.C:
			if address, ok := s.pickPeer(); ok {
				msg := s.message()
				msg.WantOwnEntry = !s.ownStateRecovered.Load()
				s.send(address, msg)
			}
			s.checkFollowers()
			s.quarantine.Expire(time.Now())
			timer.Reset(gossipInterval/2 + rand.N(gossipInterval))
		}
	}
}

// pickPeer chooses the node to compare views with.
func (s *Sidecar) pickPeer() (string, bool) {
	zone, others := s.directory.Neighbours()
	var otherZones []string
	for _, list := range others {
		otherZones = append(otherZones, list...)
	}
	list := otherZones
	if len(zone) > 0 && (len(otherZones) == 0 || rand.Float64() < sameZoneShare) {
		list = zone
	}
	if len(list) == 0 {
		return "", false
	}
	return list[rand.IntN(len(list))], true
}

// checkFollowers sends a digest to the nodes that take precedence over this one as followers of the store (see
// isFollower), so that it soon notices the loss of one whose role it may have to take.
func (s *Sidecar) checkFollowers() {
	ahead := s.directory.HigherRanked()
	if len(ahead) >= maxFollowers {
		return
	}
	msg := s.message()
	for _, m := range ahead {
		s.send(m.Address, msg)
	}
}

// pendingRelay is what was received from another availability zone and is to be passed on in this one. It is only
// accessed by the gossip loop.
type pendingRelay struct {
	members  map[string]directory.Member
	suspects []quarantine.Record
	config   bool // the active configuration is new in this zone
}

func (g *pendingRelay) pending() bool { return len(g.members) > 0 || len(g.suspects) > 0 || g.config }

func (g *pendingRelay) add(list []directory.Member) {
	if g.members == nil {
		g.members = map[string]directory.Member{}
	}
	for _, m := range list {
		g.members[m.Address] = m
	}
}

// flushRelay sends the collected changes from other zones to the nodes of this availability zone.
func (s *Sidecar) flushRelay() {
	zone, _ := s.directory.Neighbours()
	msg := s.message()
	if s.pendingRelay.config {
		s.addConfig(&msg)
	}
	for _, m := range s.pendingRelay.members {
		msg.Members = append(msg.Members, m)
	}
	msg.Suspects = s.pendingRelay.suspects
	s.pendingRelay = pendingRelay{}
	for _, address := range zone {
		s.sendPages(address, msg)
	}
}

// sendPages sends a message, split into several if it has more entries than fit into one.
func (s *Sidecar) sendPages(address string, msg viewMessage) {
	for list := msg.Members; ; list = list[pageSize:] {
		msg.Members = list[:min(pageSize, len(list))]
		s.send(address, msg)
		if len(list) <= pageSize {
			return
		}
		msg.Config, msg.WantEntries, msg.WantConfig, msg.WantBuckets, msg.OwnEntryComplete = nil, false, false, nil, false
		msg.Suspects = nil
	}
}

// requestConfig requests a newer configuration from the node that announced it, if that is due. It runs on a timer, so
// it does not depend on another message.
func (s *Sidecar) requestConfig() {
	msg := s.message()
	if msg.WantConfig = s.puller.due(time.Now(), msg.stamp()); msg.WantConfig {
		s.send(s.puller.from, msg)
	}
}

// reconnect tries to reach nodes that are down, so that they receive requests again once they are up.
func (s *Sidecar) reconnect() {
	ticker := time.NewTicker(reconnectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		case <-s.reconnectNow:
		}
		_, down := s.directory.Peers()
		rand.Shuffle(len(down), func(i, j int) { down[i], down[j] = down[j], down[i] })
		for _, address := range down[:min(reconnectBatch, len(down))] {
			s.send(address, s.introduction(address))
		}
	}
}

// introduction returns the message to a node that may not know this one. It contains what this node knows of the
// receiver: the receiver may have been restarted, and must not accept requests for a target whose drain it acknowledged
// before.
func (s *Sidecar) introduction(to string) viewMessage {
	msg := s.message()
	msg.Members = []directory.Member{s.directory.Self()}
	if m, ok := s.directory.Member(to); ok && m.Incarnation != 0 {
		msg.Members = append(msg.Members, m)
		msg.OwnEntryComplete = s.hasFullView()
	}
	msg.WantOwnEntry = !s.ownStateRecovered.Load()
	return msg
}

// introduce announces this node after its start: to the nodes of its availability zone, and to relays in the others.
// Some of them are asked for their view and their configuration, all of them for what they know of this node.
func (s *Sidecar) introduce() {
	zone, others := s.directory.Neighbours()
	rand.Shuffle(len(zone), func(i, j int) { zone[i], zone[j] = zone[j], zone[i] })
	relays := sampleZones(others, relaysPerZone)
	for i, address := range zone {
		msg := s.introduction(address)
		msg.WantEntries = i < relaysPerZone
		msg.WantConfig = msg.WantEntries && msg.Version == 0
		s.send(address, msg)
	}
	for i, address := range relays {
		msg := s.introduction(address)
		msg.Relay = true
		msg.WantEntries = len(zone) == 0 && i < relaysPerZone
		msg.WantConfig = msg.WantEntries && msg.Version == 0
		s.send(address, msg)
	}
}

// receive handles a control message of another node.
func (s *Sidecar) receive(in inboundMessage) {
	var msg viewMessage
	if err := cbor.Unmarshal(in.payload, &msg); err != nil {
		event.Log(s.log, event.FrameInvalid, slog.String("peer", in.from), slog.String("error", err.Error()))
		return
	}
	switch {
	case msg.Condition != nil:
		s.applyPeerCondition(in.from, msg.Condition)
		return
	case msg.Confirmed != 0:
		s.confirmed.record(msg.Confirmed)
		return
	case msg.Recorded != 0:
		s.leavings.recordedElsewhere(msg.Recorded)
		return
	}
	if msg.StoreContact {
		s.recordContact(in.from)
	}
	s.directory.Introduce(in.from, "")
	s.markReachable(in.from)
	sender, _ := s.directory.Member(in.from) // before the message, which may be the first of a new process
	merged := s.merge(msg.Members)
	s.recoverOwnState(merged.RememberedSelf, msg.OwnEntryComplete)
	changed := merged.Changed
	suspects, cleared := s.quarantine.Merge(msg.Suspects, time.Now())
	if len(cleared) > 0 {
		s.suspectNews.add(cleared)
	}
	if msg.Relay {
		s.pendingRelay.add(changed)
		s.pendingRelay.suspects = append(s.pendingRelay.suspects, suspects...)
	}
	if msg.WantConfirmed != 0 {
		s.send(in.from, viewMessage{Confirmed: msg.WantConfirmed})
	}
	if msg.WantRecorded != 0 {
		s.background.Go(func() { s.recordFor(in.from, msg.Members, msg.WantRecorded) })
	}
	if len(msg.Config) > 0 {
		s.applyPeerConfig(msg.Config, msg.Epoch, in.from)
	}
	s.replyTo(sender, msg, len(suspects) > 0)
}

// recoverOwnState applies what another node remembers of an earlier process of this one.
func (s *Sidecar) recoverOwnState(remembered *directory.Member, complete bool) {
	if remembered == nil {
		return
	}
	s.tracker.Restore(remembered.Instance, remembered.Born, remembered.Sequence, remembered.Phase)
	for _, l := range remembered.Leavings {
		s.tracker.Restore(l.Instance, l.Born, l.Sequence, l.Phase)
	}
	s.toldOwnEntry.Store(true)
	if complete {
		s.toldOwnState.Store(true)
	}
	s.updateOwnState()
}

// replyTo sends what the other node lacks, and requests what this one lacks. The other node is given as it was known before the
// message. The argument newSuspects says whether the message contained suspects that were news.
func (s *Sidecar) replyTo(sender directory.Member, msg viewMessage, newSuspects bool) {
	to := sender.Address
	reply := s.message()
	// Without news in it, the answer to a list of suspects would be the same list once more.
	suspectsDiffer := msg.SuspectsSum != reply.SuspectsSum && (len(msg.Suspects) == 0 || newSuspects)
	if suspectsDiffer {
		reply.Suspects = s.quarantine.Records(maxSuspects, msg.Suspects, time.Now())
	}
	if msg.WantConfig {
		s.addConfig(&reply)
	}
	s.compareViews(msg, &reply)
	s.addOwnEntry(sender, msg, &reply)
	s.puller.observe(time.Now(), reply.stamp(), msg.stamp(), to)
	reply.WantConfig = s.puller.due(time.Now(), reply.stamp())
	older := reply.stamp().NewerThan(msg.stamp()) && !msg.WantConfig // the other node may not know of the newer version
	if older || suspectsDiffer || reply.WantConfig || len(reply.Config) > 0 || len(reply.Members) > 0 || len(reply.Sums) > 0 || len(reply.WantBuckets) > 0 {
		s.sendPages(to, reply)
	}
}

// compareViews does the next step of the comparison of two views. The nodes exchange digests; if these differ, the sums of
// all buckets; then this node's entries of the buckets that differ; and at last the entries of those buckets that the other
// node has and this one lacks.
func (s *Sidecar) compareViews(msg viewMessage, reply *viewMessage) {
	switch {
	case msg.WantEntries:
		reply.Members = s.directory.All()
	case len(msg.Sums) > 0:
		reply.WantBuckets = s.directory.DifferingBuckets(msg.Sums)
		reply.Members = s.directory.EntriesIn(reply.WantBuckets)
	case len(msg.WantBuckets) > 0:
		reply.Members = s.directory.MissingEntries(msg.WantBuckets, msg.Members)
	case len(msg.Members) == 0 && msg.Digest != reply.Digest:
		sums := s.directory.Sums()
		reply.Sums = sums[:]
	}
}

// hasFullView reports whether this node has been up for long enough to know what others know.
func (s *Sidecar) hasFullView() bool { return time.Since(s.started) >= fullViewAge }

// addOwnEntry adds to the reply what this node remembers of the receiver's earlier process, if the receiver requested it after its
// start. A node that has itself just started may not know all of it.
func (s *Sidecar) addOwnEntry(sender directory.Member, msg viewMessage, reply *viewMessage) {
	if !msg.WantOwnEntry || sender.Incarnation == 0 {
		return
	}
	reply.Members = append([]directory.Member{sender}, reply.Members...) // first, so that it is in the first page
	reply.OwnEntryComplete = s.hasFullView()
}

// merge merges entries of other nodes into the directory.
func (s *Sidecar) merge(list []directory.Member) directory.Merged {
	if len(list) == 0 {
		return directory.Merged{}
	}
	known := list[:0:0]
	for _, m := range list {
		if m.Incarnation != 0 { // zero: the sender has only the address of the node and perhaps its zone
			known = append(known, m)
		}
	}
	merged := s.directory.Merge(known)
	for _, m := range merged.Changed {
		event.Log(s.log, event.MemberChanged, slog.String("peer", m.Address), slog.String("service", m.Service),
			slog.String("instance", m.Instance), slog.String("phase", m.Phase.String()),
			slog.Uint64("incarnation", m.Incarnation), slog.Uint64("revision", m.Revision))
	}
	if len(merged.Changed) > 0 {
		s.refreshTargets()
	}
	return merged
}
