package once

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

// When the platform comes back from an older copy, the rows of the keys that were bound last are lost, although their requests may
// have run. Every node then writes the bindings again that it has made or read within the greatest age of a copy. Until all nodes
// had time for that, nothing is bound and no row is believed, as while the platform is down.
//
// A key can run again if neither its home node nor a node that has read its row is alive and can reach the platform then.

const (
	// restorePeriod is the time from the moment at which a node learns of a restore until it binds keys again. It is longer than
	// the news takes to reach all nodes, two seconds, and their writes.
	restorePeriod   = 5 * time.Second
	restoreInterval = 200 * time.Millisecond // between two looks at the epoch
	// markerKey is the key of the row with the epoch in which the bindings are complete. It tells a process that has just started
	// that the restore is over.
	markerKey = rowPrefix + "epoch"
	// firstEpoch is the epoch of a platform that has never been restored.
	firstEpoch = 1
)

// restoreState is what a binder knows of restores of the platform. It is safe for concurrent use.
type restoreState struct {
	mu        sync.Mutex
	epoch     platform.Epoch // newest known
	since     time.Time      // when this process learned of it
	started   bool           // this process has seen no earlier epoch
	rewritten bool           // the recent bindings are written
	settled   platform.Epoch // newest epoch in which the bindings are complete
	marked    platform.Epoch // newest epoch that the marker is known to hold
	recent    []recentBinding
}

type recentBinding struct {
	key Key
	at  time.Time
}

// observe records the epoch of the platform, and reports whether bindings are complete in it.
func (r *restoreState) observe(epoch platform.Epoch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch > r.epoch {
		r.started = r.epoch == 0
		r.epoch, r.since, r.rewritten = epoch, time.Now(), r.started
	}
	if r.epoch <= firstEpoch || r.rewritten && time.Since(r.since) >= restorePeriod {
		r.settled = r.epoch
	}
	return r.settled >= epoch
}

// settle records that the marker holds the epoch.
func (r *restoreState) settle(epoch platform.Epoch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled, r.marked = max(r.settled, epoch), max(r.marked, epoch)
}

// record keeps a binding for the greatest age of a copy.
func (r *restoreState) record(k Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.recent) > 0 && time.Since(r.recent[0].at) > platform.MaxCopyAge {
		r.recent = r.recent[1:]
	}
	r.recent = append(r.recent, recentBinding{k, time.Now()})
}

// lost returns the bindings that the platform may have lost, and the epoch in which they are to be written again; false if there is
// nothing to do.
func (r *restoreState) lost() ([]Key, platform.Epoch, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.epoch <= firstEpoch || r.rewritten {
		return nil, 0, false
	}
	var keys []Key
	for _, b := range r.recent {
		if r.since.Sub(b.at) <= platform.MaxCopyAge {
			keys = append(keys, b.key)
		}
	}
	return keys, r.epoch, true
}

func (r *restoreState) setRewritten(epoch platform.Epoch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rewritten = r.rewritten || r.epoch == epoch
}

// marker returns the epoch in which the bindings are complete and the write of the marker with it. There is no write if the marker
// is known to hold it.
func (r *restoreState) marker() (platform.Epoch, []platform.Write) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.settled <= firstEpoch || r.marked >= r.settled {
		return r.settled, nil
	}
	return r.settled, []platform.Write{{Key: markerKey, Value: []byte(strconv.FormatUint(uint64(r.settled), 10))}}
}

// hasStarted reports whether this process has seen no epoch before the newest one.
func (r *restoreState) hasStarted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}

// Run writes bindings again after each restore of the platform, until the context ends.
func (b *Binder) Run(ctx context.Context) {
	ticker := time.NewTicker(restoreInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		b.restore.observe(b.table.Epoch())
		keys, epoch, due := b.restore.lost()
		if !due {
			continue
		}
		// After an error, the next tick tries again, and nothing is bound until then.
		if err := b.rewrite(ctx, keys); err == nil && b.table.Epoch() == epoch {
			b.restore.setRewritten(epoch)
		}
	}
}

// settledEpoch returns the epoch of the platform if bindings are complete in it, and otherwise an error.
func (b *Binder) settledEpoch() (platform.Epoch, error) {
	epoch := b.table.Epoch()
	if b.restore.observe(epoch) {
		return epoch, nil
	}
	if b.restore.hasStarted() {
		marked, err := b.readMarker()
		if err != nil {
			return 0, err
		}
		if marked >= epoch && b.table.Epoch() == epoch {
			b.restore.settle(epoch)
			return epoch, nil
		}
	}
	return 0, fmt.Errorf("the platform was restored, and keys bound before may be missing for up to %s", restorePeriod)
}

func (b *Binder) readMarker() (platform.Epoch, error) {
	ctx, cancel := context.WithTimeout(context.Background(), b.opts.CallTimeout)
	defer cancel()
	got, err := b.table.Get(ctx, markerKey)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(string(got.Value), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("row %s: %w", markerKey, err)
	}
	return platform.Epoch(n), nil
}

// rewrite writes the rows of bindings. Those of keys whose home is this process replace what is there: nobody believes a row that
// was written since the restore. Others are only written where a row is missing.
func (b *Binder) rewrite(ctx context.Context, keys []Key) error {
	var own []platform.Write
	for _, k := range keys {
		cond := platform.Condition{Absent: true}
		if b.store.Owns(k) {
			cond = platform.Condition{}
		}
		w, err := bindingRow(k, uuid.NewString(), cond)
		if err != nil {
			return err
		}
		if !cond.Absent {
			own = append(own, w)
			continue
		}
		if err := b.commitRows(ctx, []platform.Write{w}); err != nil && !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	for len(own) > 0 {
		n := min(len(own), b.opts.GroupSize)
		if err := b.commitRows(ctx, own[:n]); err != nil {
			return err
		}
		own = own[n:]
	}
	return nil
}

func (b *Binder) commitRows(ctx context.Context, writes []platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, b.opts.CallTimeout)
	defer cancel()
	_, err := b.table.Commit(ctx, writes)
	return err
}
