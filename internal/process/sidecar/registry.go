package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/directory"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

// The registry is the table through which nodes find each other, with a row for each node. A node writes its own row when it
// starts and removes it when its target leaves. What the table loses when the store comes back from an older copy, the followers
// of the store restore from their directories.

const (
	// maxNodes bounds the rows read from the registry, up to two for each node.
	maxNodes = 10000
	// registryCheckInterval is the time between checks of whether the store has been restored.
	registryCheckInterval = 250 * time.Millisecond
	// rowsPerWrite is the number of rows in one transaction; the store accepts 100.
	rowsPerWrite = 100
)

// register registers the node in the store and learns of the other nodes, once. Every node writes its own row before it
// reads the others, so of two nodes that start concurrently at least the later one sees the other and introduces itself.
func (s *Sidecar) register() {
	state := storeState{log: s.log, step: "register"}
	retry := backoff{limit: maxStoreBackoff}
	for {
		n, err := s.tryRegister()
		state.record(err)
		s.observeEpoch(state.step, s.opts.Nodes.Epoch())
		if err == nil {
			event.Log(s.log, event.NodeRegistered, slog.Int("nodes", n), slog.Uint64("epoch", uint64(s.storeEpoch.Load())))
			if n > 1 {
				s.sleep(peerAnswerTime)
			}
			s.registered.Store(true)
			return
		}
		if !retry.delay(s.ctx) {
			return
		}
	}
}

// tryRegister writes the node's row, reads those of the others, and introduces the node to them. It returns the number
// of rows.
func (s *Sidecar) tryRegister() (int, error) {
	ctx, cancel := context.WithTimeout(s.ctx, StoreTimeout)
	defer cancel()
	written, err := s.opts.Nodes.Put(ctx, s.settings.PeerAddress, []byte(s.settings.Zone), platform.Condition{})
	if err != nil {
		return 0, err
	}
	rows, leavings, err := s.listNodes(ctx)
	if err == nil && s.opts.Nodes.Epoch() != written.Epoch {
		err = fmt.Errorf("%w: the store was restored after the node had written its row", platform.ErrUnavailable)
	}
	if err != nil {
		return 0, err
	}
	s.registryEpoch.Observe(written.Epoch)
	s.leavings.load(leavings[s.settings.PeerAddress])
	for _, row := range rows {
		s.directory.Introduce(row.Key, string(row.Value))
	}
	s.introduce()
	return len(rows), nil
}

// maxZoneName bounds the name of an availability zone, in bytes. The keys of rows have the same limit.
const maxZoneName = 200

// listNodes returns the rows of the registry, without those that cannot be of a node: other programs can write to the table too. The
// rows of leavings are returned by the address of their node.
func (s *Sidecar) listNodes(ctx context.Context) (nodes []platform.Row, leavings map[string]platform.Row, err error) {
	rows, err := s.opts.Nodes.List(ctx, "", maxNodes)
	if err != nil {
		return nil, nil, err
	}
	leavings = map[string]platform.Row{}
	for _, row := range rows {
		if address, ok := strings.CutPrefix(row.Key, leavingsPrefix); ok {
			leavings[address] = row
			continue
		}
		if err := s.checkRow(row); err != nil {
			s.failures.Log(s.log, event.RowIgnored, slog.String("key", row.Key), slog.String("error", err.Error()))
			continue
		}
		nodes = append(nodes, row)
	}
	return nodes, leavings, nil
}

func (s *Sidecar) checkRow(row platform.Row) error {
	if len(row.Value) > maxZoneName {
		return fmt.Errorf("availability zone of %d bytes", len(row.Value))
	}
	if s.opts.CheckPeerAddress == nil {
		return nil
	}
	return s.opts.CheckPeerAddress(row.Key)
}

// deregister removes the node's row, so that nodes that start later do not try to reach it. The removal has a condition: it may take
// effect late, when a new process at this address has registered.
func (s *Sidecar) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), StoreTimeout)
	defer cancel()
	row, err := s.opts.Nodes.Get(ctx, s.settings.PeerAddress)
	if err == nil {
		err = s.opts.Nodes.Delete(ctx, row.Key, platform.Condition{Version: row.Version})
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrConflict) { // gone, or written by the next process
		event.Log(s.log, event.StoreLost, slog.String("step", "deregister"), slog.String("error", err.Error()))
	}
	s.removeLeavings(ctx)
}

// removeLeavings removes the row of this node's leavings if the target has ended. While it runs, a process that is started here later
// has to know that it leaves.
func (s *Sidecar) removeLeavings(ctx context.Context) {
	if !s.targetHasEnded() {
		return
	}
	err := s.leavings.remove(ctx)
	if err != nil && !errors.Is(err, platform.ErrConflict) { // conflict: written by the next process
		event.Log(s.log, event.StoreLost, slog.String("step", "remove leavings"), slog.String("error", err.Error()))
	}
}

// maintainRegistry repairs the registry after each restore of the store while this node is a follower. If the role passes to
// another node, that one does so again, and finds nothing to do.
func (s *Sidecar) maintainRegistry() {
	state := storeState{log: s.log, step: "registry"}
	retry := backoff{limit: maxStoreBackoff}
	for s.ctx.Err() == nil {
		epoch := s.storeEpoch.Load()
		if !s.following.Load() || !s.registered.Load() || epoch <= s.registryEpoch.Load() {
			s.sleep(registryCheckInterval)
			continue
		}
		err := s.repairRegistry()
		state.record(err)
		s.observeEpoch(state.step, s.opts.Nodes.Epoch())
		if err == nil {
			retry.next = 0
			s.registryEpoch.Observe(epoch)
			continue
		}
		retry.delay(s.ctx)
	}
}

// repairRegistry writes the rows that the registry lacks, removes those of nodes that have left, and introduces this node to those
// that it does not know. A node that registers meanwhile is found in any case: it writes its row before it reads the others, so
// that either it sees the restored rows or this node sees its row when it reads the registry once more.
func (s *Sidecar) repairRegistry() error {
	for {
		written, err := s.repairRegistryOnce()
		if err != nil || written == 0 {
			return err
		}
	}
}

// repairRegistryOnce returns the number of rows that it has written.
func (s *Sidecar) repairRegistryOnce() (written int, err error) {
	ctx, cancel := context.WithTimeout(s.ctx, StoreTimeout)
	defer cancel()
	rows, leavings, err := s.listNodes(ctx)
	if err != nil {
		return 0, err
	}
	if err := s.repairLeavings(ctx, leavings); err != nil {
		return 0, err
	}
	repair := compareRegistry(rows, s.directory.All(), s.settings.Zone)
	for _, row := range repair.unknown {
		s.directory.Introduce(row.Key, string(row.Value))
		s.send(row.Key, s.introduction(row.Key))
	}
	for _, row := range repair.left {
		err := s.opts.Nodes.Delete(ctx, row.Key, platform.Condition{Version: row.Version})
		if err != nil && !errors.Is(err, platform.ErrConflict) { // conflict: a new process at the address has registered
			return 0, err
		}
	}
	for missing := repair.missing; len(missing) > 0; {
		n := min(rowsPerWrite, len(missing))
		if _, err := s.opts.Nodes.Commit(ctx, missing[:n]); err != nil {
			return 0, err
		}
		missing = missing[n:]
	}
	if repair.changes() > 0 {
		event.Log(s.log, event.RegistryRepaired, slog.Int("written", len(repair.missing)), slog.Int("removed", len(repair.left)),
			slog.Int("introduced", len(repair.unknown)), slog.Uint64("epoch", uint64(s.opts.Nodes.Epoch())))
	}
	return len(repair.missing), nil
}

// registryRepair is the difference between the registry and what a node knows.
type registryRepair struct {
	missing []platform.Write // rows of nodes of the own availability zone; followers of the other zones write theirs
	left    []platform.Row   // rows of nodes of the own availability zone that have left
	unknown []platform.Row   // rows of nodes that are not in the directory
}

func (r *registryRepair) changes() int { return len(r.missing) + len(r.left) + len(r.unknown) }

func compareRegistry(rows []platform.Row, members []directory.Member, zone string) registryRepair {
	var out registryRepair
	registered := make(map[string]platform.Row, len(rows))
	for _, row := range rows {
		registered[row.Key] = row
	}
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.Address] = true
		row, ok := registered[m.Address]
		switch {
		case m.Zone != zone || m.Incarnation == 0: // incarnation zero: only the row of the node is known
		case ok && m.Deregistered():
			out.left = append(out.left, row)
		case !ok && !m.NodeLeaving:
			out.missing = append(out.missing, platform.Write{Key: m.Address, Value: []byte(m.Zone)})
		}
	}
	for _, row := range rows {
		if !known[row.Key] {
			out.unknown = append(out.unknown, row)
		}
	}
	return out
}
