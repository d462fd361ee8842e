package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

const (
	// StoreTimeout bounds one call of the store, which answers in milliseconds when it is well.
	StoreTimeout = 1500 * time.Millisecond
	// feedWait is the mean time for which a feed waits. A connection of the feed that has gone silent is noticed after it;
	// meanwhile other nodes pass changes on. The store keeps 20 s of history.
	feedWait = 14 * time.Second
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
			event.Log(s.log, event.NodeRegistered, slog.Int("nodes", n))
			return
		}
		if !wait.pause(s.ctx) {
			return
		}
	}
}

// tryRegister writes the node's row and introduces the node to all others.
func (s *Sidecar) tryRegister() (int, error) {
	ctx, cancel := context.WithTimeout(s.ctx, StoreTimeout)
	defer cancel()
	// The value is for people who look into the store; the key says everything.
	_, err := s.opts.Nodes.Put(ctx, s.settings.PeerAddress, []byte(s.settings.Node), platform.Condition{})
	if err != nil {
		return 0, err
	}
	rows, err := s.opts.Nodes.List(ctx, "", maxNodes)
	if err != nil {
		return 0, err
	}
	for _, row := range rows {
		if row.Key != s.settings.PeerAddress {
			s.directory.Introduce(row.Key)
			s.send(row.Key, s.introduction(row.Key))
		}
	}
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

// followConfig keeps the configuration up to date.
func (s *Sidecar) followConfig() {
	state := storeState{log: s.log, step: "configuration"}
	var wait backoff
	var after platform.Version
	for s.ctx.Err() == nil {
		var err error
		if after == "" {
			after, err = s.readConfig()
		} else {
			after, err = s.nextConfig(after)
		}
		if errors.Is(err, platform.ErrHistory) {
			after = ""
		}
		state.note(err)
		if err != nil {
			if !wait.pause(s.ctx) {
				return
			}
			continue
		}
		wait = backoff{}
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
	s.applyConfig(row.Value, "store")
	return row.Version, nil
}

func (s *Sidecar) nextConfig(after platform.Version) (platform.Version, error) {
	rows, next, err := s.opts.Operator.Follow(s.ctx, after, feedWait/2+rand.N(feedWait))
	if err != nil {
		return after, err
	}
	for _, r := range rows {
		if r.Key == s.opts.ConfigKey {
			s.applyConfig(r.Value, "store")
		}
	}
	return next, nil
}

// applyConfig puts a configuration in force unless it is older than the present one.
func (s *Sidecar) applyConfig(body []byte, source string) {
	table, err := s.opts.DecodeConfig(body)
	if err != nil {
		event.Log(s.log, event.RoutesRejected, slog.String("source", source), slog.String("error", err.Error()))
		return
	}
	for {
		old := s.routes.Load()
		if old != nil && old.Version >= table.Version {
			return
		}
		if s.routes.CompareAndSwap(old, table) {
			break
		}
	}
	event.Log(s.log, event.RoutesApplied, slog.Uint64("version", uint64(table.Version)),
		slog.String("source", source), slog.Int("routes", table.Routes()))
	s.path.SetLimits(s.limitsOf(s.tracker.State(time.Now())))
}
