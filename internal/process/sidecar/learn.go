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
)

const (
	// StoreTimeout bounds one call of the store, which answers in milliseconds when it is well.
	StoreTimeout = 1500 * time.Millisecond
	// feedWait is the mean time for which a feed waits. A connection of the feed that has gone silent is noticed after it;
	// meanwhile other followers pass changes on. The store keeps 20 s of history.
	feedWait = 6 * time.Second
	// followers is the number of nodes of an availability zone that follow the store; the others hear of changes from them.
	// maxFollowers bounds those that try while others cannot use the store.
	followers    = 2
	maxFollowers = 4 * followers
	// followCheck is the time between two looks at whether this node is a follower.
	followCheck = 250 * time.Millisecond
	// cutTime is the time for which a follower that cannot use the store leaves its place to another one.
	cutTime = 4 * time.Second
	// peerPatience is the time after its start in which a node that is no follower waits for the configuration from others.
	peerPatience = 3 * time.Second
	// registerPatience is the time after its start for which a node waits to see the others before it ranks itself.
	registerPatience = time.Second
	// firstStorePause and maxStorePause bound the pause after a failed call.
	firstStorePause = 200 * time.Millisecond
	maxStorePause   = 2 * time.Second
	// maxNodes bounds the rows of nodes that are read.
	maxNodes = 10000
)

// backoff is the pause between tries of a store that cannot be used.
type backoff struct{ next time.Duration }

// pause waits and reports whether the process still runs.
func (b *backoff) pause(ctx context.Context) bool {
	b.next = min(max(firstStorePause, 2*b.next), maxStorePause)
	timer := time.NewTimer(b.next/2 + rand.N(b.next/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// storeState logs when the store is lost and regained.
type storeState struct {
	log  *slog.Logger
	step string
	lost bool
}

func (st *storeState) note(err error) {
	switch {
	case err != nil && !st.lost:
		event.Log(st.log, event.StoreLost, slog.String("step", st.step), slog.String("error", err.Error()))
	case err == nil && st.lost:
		event.Log(st.log, event.StoreRegained, slog.String("step", st.step))
	}
	st.lost = err != nil
}

// register finds the other nodes through the store, once. Every node writes its row before it reads those of the others, so
// that of two nodes at least the later one sees the other and introduces itself.
func (s *Sidecar) register() {
	state := storeState{log: s.log, step: "register"}
	var wait backoff
	for {
		n, err := s.tryRegister()
		state.note(err)
		if err == nil {
			s.registered.Store(true)
			event.Log(s.log, event.NodeRegistered, slog.Int("nodes", n))
			return
		}
		if !wait.pause(s.ctx) {
			return
		}
	}
}

// tryRegister writes the node's row, reads those of others, and introduces the node.
func (s *Sidecar) tryRegister() (int, error) {
	ctx, cancel := context.WithTimeout(s.ctx, StoreTimeout)
	defer cancel()
	_, err := s.opts.Nodes.Put(ctx, s.settings.PeerAddress, []byte(s.settings.Zone), platform.Condition{})
	if err != nil {
		return 0, err
	}
	rows, err := s.opts.Nodes.List(ctx, "", maxNodes)
	if err != nil {
		return 0, err
	}
	for _, row := range rows {
		s.directory.Introduce(row.Key, string(row.Value))
	}
	s.introduce()
	return len(rows), nil
}

// deregister removes the node's row, so that later nodes do not look for it.
func (s *Sidecar) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), StoreTimeout)
	defer cancel()
	if err := s.opts.Nodes.Delete(ctx, s.settings.PeerAddress); err != nil {
		event.Log(s.log, event.StoreLost, slog.String("step", "deregister"), slog.String("error", err.Error()))
	}
}

// follows reports whether this node is one of those that follow the store for its availability zone. A node that reaches no
// other one is.
func (s *Sidecar) follows() bool {
	up := time.Since(s.started)
	if !s.registered.Load() && up < registerPatience {
		return false
	}
	ahead := s.directory.Ahead()
	usable := 0
	for _, m := range ahead {
		if !m.Cut {
			usable++
		}
	}
	return usable < followers && len(ahead) < maxFollowers || s.routes.Load() == nil && up >= peerPatience
}

// setCut tells the other nodes whether this one can use the store.
func (s *Sidecar) setCut(cut bool) {
	if s.directory.Self().Cut == cut {
		return
	}
	m := s.directory.Update(func(m *directory.Member) { m.Cut = cut })
	s.broadcast(m)
}

// followConfig keeps the configuration up to date while this node is a follower.
func (s *Sidecar) followConfig() {
	state := storeState{log: s.log, step: "configuration"}
	var wait backoff
	var after platform.Version
	following := false
	for s.ctx.Err() == nil {
		if follows := s.follows(); follows != following {
			following = follows
			event.Log(s.log, event.FollowerChanged, slog.Bool("follows", follows), slog.String("zone", s.settings.Zone))
		}
		if !following {
			after = ""
			s.sleep(followCheck)
			continue
		}
		var err error
		if after == "" {
			after, err = s.readConfig()
		} else {
			after, err = s.nextConfig(after)
		}
		if errors.Is(err, platform.ErrHistoryUnavailable) {
			after, err = "", nil // the history is short; the store itself works
		}
		state.note(err)
		if err == nil {
			wait = backoff{}
			continue
		}
		s.leavePlace(&wait)
	}
}

// leavePlace lets another node follow the store for a while, or tries again soon where there is none.
func (s *Sidecar) leavePlace(wait *backoff) {
	s.setCut(true)
	if s.routes.Load() == nil || !s.hasNeighbours() {
		wait.pause(s.ctx)
	} else {
		s.sleep(cutTime/2 + rand.N(cutTime))
	}
	s.setCut(false)
}

func (s *Sidecar) hasNeighbours() bool {
	zone, _ := s.directory.Neighbours()
	return len(zone) > 0
}

// sleep waits unless the process ends.
func (s *Sidecar) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

// readConfig reads the whole configuration and returns the version from which the feed continues.
func (s *Sidecar) readConfig() (platform.Version, error) {
	ctx, cancel := context.WithTimeout(s.ctx, StoreTimeout)
	defer cancel()
	row, err := s.opts.Operator.Get(ctx, s.opts.ConfigKey)
	if errors.Is(err, platform.ErrNotFound) {
		return "0", nil // the operator has written nothing yet
	}
	if err != nil {
		return "", err
	}
	s.takeConfig(row.Value)
	return row.Version, nil
}

func (s *Sidecar) nextConfig(after platform.Version) (platform.Version, error) {
	rows, next, err := s.opts.Operator.Follow(s.ctx, after, feedWait/2+rand.N(feedWait))
	if err != nil {
		return after, err
	}
	for _, r := range rows {
		if r.Key == s.opts.ConfigKey {
			s.takeConfig(r.Value)
		}
	}
	return next, nil
}

// applyConfig puts a configuration in force unless it is older than the present one, and reports whether it did.
func (s *Sidecar) applyConfig(body []byte, source string) bool {
	table, err := s.opts.DecodeConfig(body)
	if err != nil {
		event.Log(s.log, event.RoutesRejected, slog.String("source", source), slog.String("error", err.Error()))
		return false
	}
	for {
		old := s.routes.Load()
		if old != nil && old.Version >= table.Version {
			return false
		}
		if s.routes.CompareAndSwap(old, table) {
			break
		}
	}
	event.Log(s.log, event.RoutesApplied, slog.Uint64("version", uint64(table.Version)),
		slog.String("source", source), slog.Int("routes", table.RouteCount()))
	s.path.SetLimits(s.limitsOf(s.tracker.State(time.Now())))
	return true
}

// takeConfig puts a configuration of the store in force and hands it to the nodes of this availability zone, where most do not
// follow the store. Some nodes of other zones hear that there is a newer one: their own followers may be cut off from the store.
func (s *Sidecar) takeConfig(body []byte) {
	if !s.applyConfig(body, "store") {
		return
	}
	zone, others := s.directory.Neighbours()
	msg := s.message()
	for _, address := range someOfEach(others, relays) {
		s.send(address, msg)
	}
	msg.Config = s.packConfig()
	for _, address := range zone {
		s.send(address, msg)
	}
}
