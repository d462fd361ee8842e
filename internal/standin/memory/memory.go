// Package memory implements the platform in memory, for tests and for package platformserver. It can inject faults: outages,
// hanging and slow calls, and responses that are lost after the write took effect.
//
// All methods are safe for concurrent use.
package memory

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	Down       bool          // every call fails with ErrUnavailable
	Hang       bool          // every call waits until its context ends
	Delay      time.Duration // added to every call
	LoseAnswer bool          // writes take effect, but fail with ErrInDoubt
}

// Counts are the numbers of calls since the platform was created.
type Counts struct {
	Reads  int
	Writes int
}

// Platform implements platform.Table. Its method Objects returns the object store.
type Platform struct {
	mu          sync.Mutex
	rows        map[string]platform.Row
	objects     map[string][]byte
	lastVersion uint64
	epoch       platform.Epoch
	undo        []undo        // of the latest writes, oldest first
	changed     chan struct{} // closed at the next write, restore or change of the faults
	faults      Faults
	counts      Counts
}

// firstEpoch is the epoch of a platform that has never been restored.
const firstEpoch = 1

// New returns an empty platform without faults.
func New() *Platform {
	return &Platform{
		rows: map[string]platform.Row{}, objects: map[string][]byte{}, epoch: firstEpoch, changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notify()
}

// notify wakes the calls of Follow. The caller holds the mutex.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Counts returns the number of calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Epoch implements platform.Table.
func (p *Platform) Epoch() platform.Epoch {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch
}

// Observe implements platform.Table. The platform itself knows its epoch.
func (p *Platform) Observe(platform.Epoch) {}

// undo is the state before a write.
type undo struct {
	at          time.Time
	key         string // of a row, or empty
	row         platform.Row
	existed     bool
	object      string // hash of an object that did not exist, or empty
	lastVersion uint64
}

// remember records the state before a write. The caller holds the mutex.
func (p *Platform) remember(u undo) {
	u.at, u.lastVersion = time.Now(), p.lastVersion
	for len(p.undo) > 0 && u.at.Sub(p.undo[0].at) > platform.MaxCopyAge {
		p.undo = p.undo[1:]
	}
	p.undo = append(p.undo, u)
}

// Restore replaces the data by a copy of the given age, at most platform.MaxCopyAge: later writes are lost, their versions are given out
// again, and the epoch rises by one.
func (p *Platform) Restore(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := time.Now().Add(-age)
	for len(p.undo) > 0 {
		u := p.undo[len(p.undo)-1]
		if !u.at.After(from) {
			break
		}
		p.undo = p.undo[:len(p.undo)-1]
		p.lastVersion = u.lastVersion
		switch {
		case u.object != "":
			delete(p.objects, u.object)
		case u.existed:
			p.rows[u.key] = u.row
		default:
			delete(p.rows, u.key)
		}
	}
	p.epoch++
	for key, row := range p.rows {
		row.Version.Epoch = p.epoch
		p.rows[key] = row
	}
	p.notify()
}

// Objects returns the object store.
func (p *Platform) Objects() platform.Objects { return objects{p} }

// startCall counts a call and applies Hang, Delay and Down to it. It returns the faults at its start; the caller applies
// LoseAnswer.
func (p *Platform) startCall(ctx context.Context, write bool) (Faults, error) {
	p.mu.Lock()
	f := p.faults
	if write {
		p.counts.Writes++
	} else {
		p.counts.Reads++
	}
	p.mu.Unlock()
	if f.Hang {
		<-ctx.Done()
		return f, fmt.Errorf("%w: %w", interruptedError(write), ctx.Err())
	}
	if f.Delay > 0 {
		timer := time.NewTimer(f.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return f, fmt.Errorf("%w: %w", interruptedError(write), ctx.Err())
		}
	}
	if f.Down {
		return f, platform.ErrUnavailable
	}
	return f, nil
}

// interruptedError returns the error of a call whose context ended before the response, as the platform's client reports it.
func interruptedError(write bool) error {
	if write {
		return platform.ErrInDoubt
	}
	return platform.ErrUnavailable
}

// Get implements platform.Table.
func (p *Platform) Get(ctx context.Context, key string) (platform.Row, error) {
	if _, err := p.startCall(ctx, false); err != nil {
		return platform.Row{}, fmt.Errorf("get %q: %w", key, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.rows[key]
	if !ok {
		return platform.Row{}, fmt.Errorf("get %q: %w", key, platform.ErrNotFound)
	}
	row.Value = slices.Clone(row.Value)
	return row, nil
}

// Put implements platform.Table.
func (p *Platform) Put(ctx context.Context, key string, value []byte, c platform.Condition) (platform.Version, error) {
	versions, err := p.Commit(ctx, []platform.Write{{Key: key, Value: value, Cond: c}})
	if err != nil {
		return platform.Version{}, err
	}
	return versions[0], nil
}

// List implements platform.Table.
func (p *Platform) List(ctx context.Context, prefix string, limit int) ([]platform.Row, error) {
	if _, err := p.startCall(ctx, false); err != nil {
		return nil, fmt.Errorf("list %q: %w", prefix, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []platform.Row
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) {
			row.Value = slices.Clone(row.Value)
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return out[:min(limit, len(out))], nil
}

// Commit implements platform.Table.
func (p *Platform) Commit(ctx context.Context, writes []platform.Write) ([]platform.Version, error) {
	f, err := p.startCall(ctx, true)
	if err != nil {
		return nil, fmt.Errorf("commit: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range writes {
		row, ok := p.rows[w.Key]
		if (w.Cond.Absent && ok) || (w.Cond.Version != (platform.Version{}) && row.Version != w.Cond.Version) {
			return nil, fmt.Errorf("commit %q: %w", w.Key, platform.ErrConflict)
		}
	}
	versions := make([]platform.Version, len(writes))
	for i, w := range writes {
		row, existed := p.rows[w.Key]
		p.remember(undo{key: w.Key, row: row, existed: existed})
		p.lastVersion++
		versions[i] = platform.Version{Epoch: p.epoch, Text: strconv.FormatUint(p.lastVersion, 10)}
		p.rows[w.Key] = platform.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: versions[i]}
	}
	p.notify()
	if f.LoseAnswer {
		return nil, fmt.Errorf("commit: %w", platform.ErrInDoubt)
	}
	return versions, nil
}

// Delete deletes a row if the condition holds. Without a row it has no effect.
func (p *Platform) Delete(ctx context.Context, key string, c platform.Condition) error {
	if _, err := p.startCall(ctx, true); err != nil {
		return fmt.Errorf("delete %q: %w", key, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.rows[key]
	if c.Version != (platform.Version{}) && row.Version != c.Version {
		return fmt.Errorf("delete %q: %w", key, platform.ErrConflict)
	}
	if ok {
		p.remember(undo{key: key, row: row, existed: true})
		p.lastVersion++
		delete(p.rows, key)
	}
	return nil
}

// Follow implements platform.Feed. Like the connection of a feed, it fails when the platform goes down.
func (p *Platform) Follow(ctx context.Context, after platform.Version, wait time.Duration) ([]platform.Row, platform.Version, error) {
	if _, err := p.startCall(ctx, false); err != nil {
		return nil, after, fmt.Errorf("follow: %w", err)
	}
	from, err := strconv.ParseUint(after.Text, 10, 64)
	if err != nil {
		return nil, after, fmt.Errorf("follow after %v: %w: %w", after, platform.ErrHistoryUnavailable, err)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		rows, next, changed, down := p.changes(from)
		switch {
		case down:
			return nil, after, fmt.Errorf("follow: %w", platform.ErrUnavailable)
		case next.Epoch != after.Epoch:
			return nil, after, fmt.Errorf("follow after %v: %w", after, platform.ErrHistoryUnavailable)
		case len(rows) > 0:
			return rows, next, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, next, nil
		case <-ctx.Done():
			return nil, after, fmt.Errorf("follow: %w: %w", platform.ErrUnavailable, ctx.Err())
		}
	}
}

// changes returns the rows with a version above the given one, the newest version, what is closed at the next change, and whether
// the platform is down.
func (p *Platform) changes(from uint64) (rows []platform.Row, next platform.Version, changed chan struct{}, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range p.rows {
		if n, err := strconv.ParseUint(row.Version.Text, 10, 64); err == nil && n > from {
			rows = append(rows, row)
		}
	}
	next = platform.Version{Epoch: p.epoch, Text: strconv.FormatUint(p.lastVersion, 10)}
	return rows, next, p.changed, p.faults.Down || p.faults.Hang
}

type objects struct{ p *Platform }

// Put implements platform.Objects.
func (o objects) Put(ctx context.Context, body []byte) (string, error) {
	f, err := o.p.startCall(ctx, true)
	if err != nil {
		return "", fmt.Errorf("put object: %w", err)
	}
	sum := sha256.Sum256(body)
	hash := hex.EncodeToString(sum[:])
	o.p.mu.Lock()
	defer o.p.mu.Unlock()
	if _, existed := o.p.objects[hash]; !existed {
		o.p.remember(undo{object: hash})
	}
	o.p.objects[hash] = slices.Clone(body)
	if f.LoseAnswer {
		return "", fmt.Errorf("put object: %w", platform.ErrInDoubt)
	}
	return hash, nil
}

// Get implements platform.Objects.
func (o objects) Get(ctx context.Context, hash string) ([]byte, error) {
	if _, err := o.p.startCall(ctx, false); err != nil {
		return nil, fmt.Errorf("get object %s: %w", hash, err)
	}
	o.p.mu.Lock()
	defer o.p.mu.Unlock()
	body, ok := o.p.objects[hash]
	if !ok {
		return nil, fmt.Errorf("get object %s: %w", hash, platform.ErrNotFound)
	}
	return slices.Clone(body), nil
}
