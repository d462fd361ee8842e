package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/directory"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

const (
	// StoreTimeout bounds one call of the store, which answers within milliseconds in normal operation.
	StoreTimeout = 1500 * time.Millisecond
	// meanFeedWait is the mean duration of one long poll of the feed, the store's list of changes to the operator's table. A
	// feed connection that has silently broken is noticed after that time; meanwhile other followers pass changes on. The
	// store keeps 20 s of history.
	meanFeedWait = 6 * time.Second
	// followersPerZone is the number of nodes of an availability zone that follow the store; the other nodes receive
	// changes from them. maxFollowers bounds the nodes that try while others cannot use the store.
	followersPerZone = 2
	maxFollowers     = 4 * followersPerZone
	// standIns is the number of nodes of an availability zone, after the first in rank, that are told of each contact of the first
	// with the store, and follow the store themselves if they hear of none.
	standIns = 4
	// contactPollWait is the duration of one long poll of the node that tells the others of its contacts. contactTimeout is the time
	// after the last contact that they heard of from which they follow the store themselves. Operators require that a configuration is
	// in force within two seconds, so it leaves time to read the store and to pass the configuration on.
	contactPollWait = 1300 * time.Millisecond
	contactTimeout  = contactPollWait + 250*time.Millisecond
	// followerCheckInterval is the time between checks of whether this node is a follower.
	followerCheckInterval = 100 * time.Millisecond
	// followerStandDown is the mean time for which a follower that cannot use the store leaves its role to another node. Those
	// that rank first try again sooner.
	followerStandDown = 4 * time.Second
	// peerConfigTimeout is the time after the start for which a node that is not a follower waits to receive the
	// configuration from other nodes. Without one it then follows the store itself.
	peerConfigTimeout = 3 * time.Second
	// registrationTimeout is the time after the start for which a node waits to be registered, and so to know the other
	// nodes, before it determines whether it is a follower.
	registrationTimeout = time.Second
	// peerAnswerTime is the time that the other nodes have to answer the introduction of one that has just started, before it may read
	// the configuration from the store: a store that came back from an older copy has an older one.
	peerAnswerTime = 100 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff bound the delay before a failed call is retried. maxFollowerBackoff applies to the
	// followers that rank first: operators require that a configuration is in force, and lost rows are back, within two seconds
	// of the store's return.
	minStoreBackoff    = 200 * time.Millisecond
	maxStoreBackoff    = 2 * time.Second
	maxFollowerBackoff = time.Second
)

// backoff is the exponential backoff with jitter between calls of a store that cannot be used.
type backoff struct {
	limit time.Duration
	next  time.Duration
}

// delay waits and reports whether the process is still running.
func (b *backoff) delay(ctx context.Context) bool {
	b.next = min(max(minStoreBackoff, 2*b.next), b.limit)
	timer := time.NewTimer(b.next/2 + rand.N(b.next/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// storeState logs when the store becomes unavailable and when it is available again.
type storeState struct {
	log  *slog.Logger
	step string
	lost bool
}

func (st *storeState) record(err error) {
	switch {
	case err != nil && !st.lost:
		event.Log(st.log, event.StoreLost, slog.String("step", st.step), slog.String("error", err.Error()))
	case err == nil && st.lost:
		event.Log(st.log, event.StoreRegained, slog.String("step", st.step))
	}
	st.lost = err != nil
}

// observeEpoch logs when a call of the store has shown that the store came back from an older copy.
func (s *Sidecar) observeEpoch(step string, e platform.Epoch, attrs ...slog.Attr) {
	before, restored := s.storeEpoch.Observe(e)
	if !restored {
		return
	}
	attrs = append(attrs, slog.String("step", step), slog.Uint64("before", uint64(before)), slog.Uint64("epoch", uint64(e)))
	event.Log(s.log, event.StoreRestored, attrs...)
}

// isFollower reports whether this node is a follower of the store for its availability zone. All nodes of a zone agree on
// their order, by a hash of the address; the first followersPerZone of them that can use the store are followers. So a
// node that reaches no other one of its zone is a follower. A follower can be frozen, slow or cut off without anyone being told, so
// the standIns next nodes follow the store too while they hear of no contact.
func (s *Sidecar) isFollower() bool {
	uptime := time.Since(s.started)
	if !s.registered.Load() && uptime < registrationTimeout {
		return false
	}
	higherRanked := s.directory.HigherRanked()
	usable := 0
	for _, m := range higherRanked {
		if !m.StoreUnreachable {
			usable++
		}
	}
	return usable < followersPerZone && len(higherRanked) < maxFollowers ||
		len(higherRanked) <= standIns && !s.hearsOfContacts() ||
		s.routes.Load() == nil && uptime >= peerConfigTimeout
}

// hearsOfContacts reports whether this node knows of a recent contact of a higher-ranked node with the store.
func (s *Sidecar) hearsOfContacts() bool {
	return time.Since(s.started)-time.Duration(s.heardOfContact.Load()) < contactTimeout
}

// announceContact tells the stand-ins of a contact with the store, unless a higher-ranked node does. It reports whether it did.
func (s *Sidecar) announceContact() bool {
	if s.hearsOfContacts() && len(s.directory.HigherRanked()) > 0 {
		return false
	}
	msg := s.message()
	msg.StoreContact = true
	for _, m := range s.directory.LowerRanked(standIns) {
		s.send(m.Address, msg)
	}
	return true
}

// recordContact records that another node was in contact with the store.
func (s *Sidecar) recordContact(from string) {
	if directory.CompareRanks(from, s.settings.PeerAddress) < 0 {
		s.heardOfContact.Store(int64(time.Since(s.started)))
	}
}

// setStoreUnreachable announces to the other nodes whether this one can use the store.
func (s *Sidecar) setStoreUnreachable(unreachable bool) {
	if s.directory.Self().StoreUnreachable == unreachable {
		return
	}
	m := s.directory.Update(func(m *directory.Member) { m.StoreUnreachable = unreachable })
	s.broadcast(m)
}

// followConfig keeps the configuration up to date while this node is a follower.
func (s *Sidecar) followConfig() {
	state := storeState{log: s.log, step: "configuration"}
	retry := backoff{limit: maxFollowerBackoff}
	var after platform.Version
	follower, announces := false, false
	for s.ctx.Err() == nil {
		if isFollower := s.isFollower(); isFollower != follower {
			follower = isFollower
			s.following.Store(isFollower)
			event.Log(s.log, event.FollowerChanged, slog.Bool("follows", isFollower), slog.String("zone", s.settings.Zone))
		}
		if !follower {
			after = platform.Version{}
			s.sleep(followerCheckInterval)
			continue
		}
		var err error
		from := after
		if after == (platform.Version{}) {
			after, err = s.readConfig()
		} else {
			after, err = s.pollConfig(after, announces)
		}
		s.observeEpoch(state.step, s.opts.Operator.Epoch(), slog.String("from", from.String()), slog.String("next", after.String()))
		if errors.Is(err, platform.ErrHistoryUnavailable) {
			after, err = platform.Version{}, nil // the changes since that version are not available; the store itself works
		}
		state.record(err)
		s.setStoreUnreachable(err != nil)
		switch {
		case err == nil:
			retry.next = 0
			announces = s.announceContact()
		case s.routes.Load() == nil || s.ranksFirst():
			retry.delay(s.ctx)
		default:
			s.sleep(followerStandDown/2 + rand.N(followerStandDown))
		}
	}
}

// ranksFirst reports whether this node is a follower of its availability zone whenever it can use the store.
func (s *Sidecar) ranksFirst() bool { return len(s.directory.HigherRanked()) < followersPerZone }

// sleep waits for the given time or until the process ends.
func (s *Sidecar) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

// readConfig reads the whole configuration and returns the version from which to continue with the feed.
func (s *Sidecar) readConfig() (platform.Version, error) {
	ctx, cancel := context.WithTimeout(s.ctx, StoreTimeout)
	defer cancel()
	sent := s.storeMoment()
	row, err := s.opts.Operator.Get(ctx, s.opts.ConfigKey)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Version{Epoch: s.opts.Operator.Epoch(), Text: "0"}, nil // no configuration has been written yet
	}
	if err != nil {
		return platform.Version{}, err
	}
	s.applyStoredConfig(row)
	s.confirmConfig(sent)
	return row.Version, nil
}

// pollConfig waits for a change of the configuration: for a short time if this node announces its contacts.
func (s *Sidecar) pollConfig(after platform.Version, announces bool) (platform.Version, error) {
	wait := meanFeedWait/2 + rand.N(meanFeedWait)
	if announces {
		wait = contactPollWait
		if s.needsConfirmation() {
			wait = s.confirmations.tracker.PollWait(contactPollWait)
		}
	}
	sent := s.storeMoment()
	rows, next, err := s.opts.Operator.Follow(s.ctx, after, wait)
	if err != nil {
		return after, err
	}
	for _, r := range rows {
		if r.Key == s.opts.ConfigKey {
			s.applyStoredConfig(r)
		}
	}
	s.confirmConfig(sent)
	return next, nil
}

// applyConfig activates a configuration that the operator's store had in the given epoch, if it is newer than the active one, and
// reports whether it did. An error says that it could not be read; it is logged.
func (s *Sidecar) applyConfig(body []byte, epoch uint64, source string) (applied bool, err error) {
	table, err := s.opts.DecodeConfig(body)
	if err != nil {
		event.Log(s.log, event.RoutesRejected, slog.String("source", source), slog.String("error", err.Error()))
		return false, err
	}
	table.Source(body, epoch)
	for {
		old := s.routes.Load()
		if old != nil && !table.Stamp.NewerThan(old.Stamp) {
			return false, nil
		}
		if s.routes.CompareAndSwap(old, table) {
			break
		}
	}
	s.confirmations.tracker.InForce(table.Stamp)
	s.quotas.setLimits(s.routes.Load)
	event.Log(s.log, event.RoutesApplied, slog.Uint64("version", uint64(table.Version)), slog.Uint64("epoch", epoch),
		slog.String("source", source), slog.Int("routes", table.RouteCount()), slog.Int("organisations", table.Organisations.Len()))
	s.logIgnored(table)
	s.path.SetLimits(s.limitsOf(s.tracker.State(time.Now())))
	return true, nil
}

// maxIgnoredLines bounds the log lines about parts of one configuration that cannot be used.
const maxIgnoredLines = 20

func (s *Sidecar) logIgnored(table *routing.Table) {
	for _, what := range table.Ignored[:min(maxIgnoredLines, len(table.Ignored))] {
		event.Log(s.log, event.OrganisationIgnored, slog.Uint64("version", uint64(table.Version)), slog.String("what", what))
	}
}

// applyStoredConfig activates a configuration read from the store and sends it to the nodes of this availability zone,
// most of which do not follow the store. Some nodes of other zones are told the new version number: their own followers
// may be unable to reach the store.
func (s *Sidecar) applyStoredConfig(row platform.Row) {
	applied, err := s.applyConfig(row.Value, uint64(row.Version.Epoch), "store")
	s.storedConfigRejected.Store(err != nil)
	if !applied {
		return
	}
	zone, others := s.directory.Neighbours()
	msg := s.message()
	for _, address := range sampleZones(others, relaysPerZone) {
		s.send(address, msg)
	}
	s.addConfig(&msg)
	for _, address := range zone {
		s.send(address, msg)
	}
}
