package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wigeoncleat/wigeoncleat/internal/process/directory"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/process/report"
)

const (
	// leavingsCallTimeout bounds one call of the store for a row of leavings. It is short enough for a second call before the target,
	// which waits a second, gives up.
	leavingsCallTimeout = 350 * time.Millisecond
	// recordTimeout bounds the wait of an acknowledgement for the store.
	recordTimeout = 800 * time.Millisecond
)

// leavingsPrefix begins the keys of the rows of leavings, before the address of the node. They are in the table of nodes, which every
// node reads when it starts. No address begins so.
const leavingsPrefix = "leaving:"

// leavingsRecord keeps what this node has acknowledged of targets that leave in the store, because all nodes may be restarted at the
// same time. Every write has a condition on the row's version, so that one that the store performs late replaces nothing newer.
//
// All methods are safe for concurrent use, but run must be called once.
type leavingsRecord struct {
	store Store
	key   string
	// restore is called with the content of each row that was read.
	restore func([]report.Leaving)
	state   storeState // only accessed by run

	mu       sync.Mutex
	list     []report.Leaving // what the row has to contain
	changes  uint64           // counts the changes of list, from a number that no earlier process has reached
	recorded uint64           // value of changes at which the row had that content
	known    bool             // the row, at version, was read
	version  platform.Version // zero: there is no row
	changed  chan struct{}    // closed and replaced at each change of the fields above
}

func newLeavingsRecord(store Store, address string, log *slog.Logger, restore func([]report.Leaving)) *leavingsRecord {
	first := uint64(time.Now().UnixNano())
	return &leavingsRecord{
		store: store, key: leavingsPrefix + address, restore: restore, state: storeState{log: log, step: "leavings"},
		changes: first, recorded: first, changed: make(chan struct{}),
	}
}

// run writes what add has added, until ctx ends.
func (l *leavingsRecord) run(ctx context.Context) {
	retry := backoff{limit: maxStoreBackoff}
	for l.await(ctx, func() bool { return l.changes != l.recorded }) {
		err := l.sync(ctx)
		if errors.Is(err, platform.ErrConflict) { // another node, or a call that was in doubt, has written the row
			l.forgetRow()
			continue
		}
		l.state.record(err)
		if err != nil {
			retry.delay(ctx)
			continue
		}
		retry.next = 0
	}
}

// sync reads the row if it is not known, and otherwise writes it.
func (l *leavingsRecord) sync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leavingsCallTimeout)
	defer cancel()
	l.mu.Lock()
	list, changes, known, version := l.list, l.changes, l.known, l.version
	l.mu.Unlock()
	if !known {
		row, err := l.store.Get(ctx, l.key)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		l.load(row)
		return nil
	}
	value, err := cbor.Marshal(list)
	if err != nil {
		return fmt.Errorf("encode leavings: %w", err)
	}
	written, err := l.store.Put(ctx, l.key, value, platform.Condition{Absent: version == platform.Version{}, Version: version})
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.recorded = written, changes
	l.notifyLocked()
	return nil
}

func (l *leavingsRecord) forgetRow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = false
}

// load takes over the content of the row as it was read; the zero value stands for none.
func (l *leavingsRecord) load(row platform.Row) {
	list, err := decodeLeavings(row.Value)
	if err != nil {
		event.Log(l.state.log, event.RowIgnored, slog.String("key", l.key), slog.String("error", err.Error()))
	}
	l.restore(list)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known, l.version = true, row.Version
	l.mergeLocked(list)
	if _, missing := report.MergeAllLeavings(list, l.list); !missing {
		l.recorded = l.changes
	}
	l.notifyLocked()
}

// await waits until the condition, which is called with the mutex held, is met, and returns false once ctx has ended.
func (l *leavingsRecord) await(ctx context.Context, met func() bool) bool {
	for {
		l.mu.Lock()
		ok, changed := met(), l.changed
		l.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return false
		case ok:
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// add adds to the list and returns the last change, as awaitRecorded and recordedElsewhere take it.
func (l *leavingsRecord) add(list []report.Leaving) (change uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeLocked(list)
	l.notifyLocked()
	return l.changes
}

// awaitRecorded waits until the store has a change, and reports whether that happened before ctx ended.
func (l *leavingsRecord) awaitRecorded(ctx context.Context, change uint64) bool {
	return l.await(ctx, func() bool { return l.recorded >= change })
}

// recordedElsewhere records that another node has written the list up to a change. A late answer to an earlier process has no effect.
func (l *leavingsRecord) recordedElsewhere(change uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.recorded < change && change <= l.changes {
		l.recorded, l.known = change, false
		l.notifyLocked()
	}
}

// remove deletes the row.
func (l *leavingsRecord) remove(ctx context.Context) error {
	l.mu.Lock()
	version := l.version
	l.mu.Unlock()
	if version == (platform.Version{}) {
		return nil
	}
	return l.store.Delete(ctx, l.key, platform.Condition{Version: version})
}

func (l *leavingsRecord) mergeLocked(list []report.Leaving) {
	merged, changed := report.MergeAllLeavings(l.list, list)
	if l.list = merged; changed {
		l.changes++
	}
}

func (l *leavingsRecord) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func decodeLeavings(value []byte) ([]report.Leaving, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var list []report.Leaving
	if err := cbor.Unmarshal(value, &list); err != nil {
		return nil, fmt.Errorf("decode leavings: %w", err)
	}
	return list, nil
}

// recordLeavings keeps the row of this node's leavings until the process ends.
func (s *Sidecar) recordLeavings() { s.leavings.run(s.ctx) }

// restoreLeavings applies what an earlier process of this node has recorded.
func (s *Sidecar) restoreLeavings(list []report.Leaving) {
	for _, l := range list {
		s.tracker.Restore(l.Instance, l.Born, l.Sequence, l.Phase)
	}
	s.leavingsRead.Store(true)
	s.updateOwnState()
}

// confirmLeavings waits until what this process knows of targets that leave outlives it: in the store and, if one answers soon, at
// another node. Its error is report.ErrUnavailable.
func (s *Sidecar) confirmLeavings() error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, recordTimeout)
	defer cancel()
	change := s.leavings.add(s.tracker.Leavings())
	s.background.Go(func() { s.askToRecord(ctx, change) })
	if !s.leavings.awaitRecorded(ctx, change) {
		s.failures.Log(s.log, event.LeavingUnrecorded)
		return fmt.Errorf("%w: the store has not recorded that the target leaves", report.ErrUnavailable)
	}
	s.awaitDrainConfirmation(confirmTimeout - time.Since(start))
	return nil
}

const (
	// askDelay is the time after which other nodes are asked to record a leaving that the store has not taken from this one: a few
	// calls' usual time. askInterval is the time until further ones are asked, a few at a time.
	askDelay    = 100 * time.Millisecond
	askInterval = 150 * time.Millisecond
	askedAtOnce = 3
)

// askToRecord asks other nodes, one group after the other, to record the leavings in this node's entry, until ctx ends or the change is
// recorded: the store may be out of reach for this node only.
func (s *Sidecar) askToRecord(ctx context.Context, change uint64) {
	wait := askDelay
	var candidates []string
	for asked := 0; ; asked = min(asked+askedAtOnce, len(candidates)) {
		waiting, cancel := context.WithTimeout(ctx, wait)
		recorded := s.leavings.awaitRecorded(waiting, change)
		cancel()
		if recorded || ctx.Err() != nil {
			return
		}
		if wait = askInterval; candidates == nil {
			candidates = s.directory.StoreUsers()
		}
		msg := s.message()
		msg.Members, msg.WantRecorded = []directory.Member{s.directory.Self()}, change
		for _, address := range candidates[asked:min(asked+askedAtOnce, len(candidates))] {
			s.send(address, msg)
		}
	}
}

// recordFor records the leavings in another node's entry at its request, and tells it of the success. After a failure, requests are
// ignored for a time: the store is out of reach for this node too.
func (s *Sidecar) recordFor(from string, members []directory.Member, change uint64) {
	now := time.Since(s.started)
	if last := s.recordFailedAt.Load(); last != 0 && now-time.Duration(last) < recordFailurePause {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, leavingsCallTimeout)
	defer cancel()
	for _, m := range members {
		if m.Address != from {
			continue
		}
		row, err := s.opts.Nodes.Get(ctx, leavingsPrefix+from)
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			err = s.writeLeavings(ctx, m, row)
		}
		if err != nil {
			s.recordFailedAt.Store(int64(now))
			s.failures.Log(s.log, event.StoreLost, slog.String("step", "record for "+from), slog.String("error", err.Error()))
			return
		}
		s.send(from, viewMessage{Recorded: change})
	}
}

// recordFailurePause is the time for which a node that has failed to record a leaving for another one does not try again.
const recordFailurePause = time.Second

// writeLeavings adds what a node has been told of targets that leave to the row of its leavings, as it was read; the zero value stands
// for none.
func (s *Sidecar) writeLeavings(ctx context.Context, m directory.Member, row platform.Row) error {
	key := leavingsPrefix + m.Address
	list, err := decodeLeavings(row.Value)
	if err != nil {
		s.failures.Log(s.log, event.RowIgnored, slog.String("key", key), slog.String("error", err.Error()))
	}
	list, changed := report.MergeAllLeavings(list, m.Leavings)
	if !changed {
		return nil
	}
	value, err := cbor.Marshal(list)
	if err != nil {
		return fmt.Errorf("encode leavings: %w", err)
	}
	_, err = s.opts.Nodes.Put(ctx, key, value, platform.Condition{Absent: row.Version == platform.Version{}, Version: row.Version})
	return err
}

// repairLeavings writes the leavings again that a restore of the store has lost: those of targets whose nodes are in this node's
// availability zone.
func (s *Sidecar) repairLeavings(ctx context.Context, rows map[string]platform.Row) error {
	for _, m := range s.directory.All() {
		if m.Zone != s.settings.Zone || m.NodeLeaving {
			continue
		}
		err := s.writeLeavings(ctx, m, rows[m.Address])
		if err != nil && !errors.Is(err, platform.ErrConflict) { // conflict: its own node has written it
			return err
		}
	}
	return nil
}
