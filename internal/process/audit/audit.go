// Package audit keeps the audit trail: who changed what, when and with which result, which nodes were drained, and which
// members joined, left, failed or were replaced.
//
// Add never blocks and never calls the platform. Run writes the buffered entries in batches. All methods are safe for
// concurrent use.
package audit

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/version/rollout"
)

// Kind is the kind of an entry.
type Kind string

// Kinds.
const (
	KindChange     Kind = "change"     // a configuration change was accepted or refused
	KindDrain      Kind = "drain"      // a node was told to stop gracefully
	KindMembership Kind = "membership" // a member joined, left, failed or was replaced
	KindDropped    Kind = "dropped"    // entries were lost because the buffer was full
)

// Entry is one record of the trail. Fields that do not apply to its kind are empty.
type Entry struct {
	ID      string    `cbor:"1,keyasint" json:"id"` // set by Add if empty
	Time    time.Time `cbor:"-" json:"time"`        // set by Add if zero
	Kind    Kind      `cbor:"2,keyasint" json:"kind"`
	Node    string    `cbor:"3,keyasint" json:"node"`              // node that wrote the entry
	Actor   string    `cbor:"4,keyasint,omitempty" json:"actor"`   // who caused it
	Subject string    `cbor:"5,keyasint,omitempty" json:"subject"` // change ID or address
	Base    uint64    `cbor:"6,keyasint,omitempty" json:"base,omitempty"`
	Version uint64    `cbor:"7,keyasint,omitempty" json:"version,omitempty"`
	Differs []string  `cbor:"8,keyasint,omitempty" json:"differs,omitempty"` // changed files
	Outcome string    `cbor:"9,keyasint,omitempty" json:"outcome,omitempty"`
	Reason  string    `cbor:"10,keyasint,omitempty" json:"reason,omitempty"`
	Comment string    `cbor:"11,keyasint,omitempty" json:"comment,omitempty"`
	Count   int       `cbor:"12,keyasint,omitempty" json:"count,omitempty"` // number of dropped entries
	Nanos   int64     `cbor:"13,keyasint" json:"-"`                         // Time as it is encoded, in Unix nanoseconds
}

// Limits and times.
const (
	// DefaultBuffer bounds the entries that are buffered while the platform is down, about 1 MB. Entries beyond it are dropped
	// and counted. A larger buffer covers a longer outage but takes more memory of the node.
	DefaultBuffer    = 2048
	batchSize        = 25
	flushInterval    = time.Second
	maxFlushInterval = 30 * time.Second
	callTimeout      = 2 * time.Second
	keyPrefix        = "audit/"
)

// Trail buffers entries and writes them to the platform.
type Trail struct {
	table platform.Table
	node  string
	log   *slog.Logger
	limit int

	writeMu sync.Mutex     // held while a batch is written
	recent  []recentBatch  // written within platform.MaxCopyAge, oldest first; guarded by writeMu
	epoch   platform.Epoch // of the platform that has all of recent; guarded by writeMu

	mu              sync.Mutex // guards the fields below
	pending         []Entry
	batch           []platform.Write // being written; kept unchanged until it is known to be written
	unrecordedDrops int              // dropped entries that no entry of KindDropped counts yet
	totalDrops      int              // since the start
	written         int
	dropLogged      bool // AuditDropped was logged for the unrecorded drops
}

// recentBatch is a batch that the platform can lose when it comes back from an older copy.
type recentBatch struct {
	writes  []platform.Write
	written time.Time
}

// Stats are the counts of a trail: Buffered at present, the others since its start.
type Stats struct {
	Buffered int
	Dropped  int
	Written  int
}

// New returns a trail of the node. A buffer of 0 means DefaultBuffer, a nil logger slog.Default().
func New(table platform.Table, node string, buffer int, log *slog.Logger) *Trail {
	if buffer == 0 {
		buffer = DefaultBuffer
	}
	if log == nil {
		log = slog.Default()
	}
	return &Trail{table: table, node: node, log: log, limit: buffer}
}

// Add records an entry. If the buffer is full, the new entry is dropped and counted rather than an older one, because the
// older entries show how the outage began.
func (t *Trail) Add(e Entry) {
	if e.ID == "" {
		e.ID = uuid.NewString()
	}
	if e.Time.IsZero() {
		e.Time = time.Now()
	}
	e.Node = t.node
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending)+len(t.batch) < t.limit {
		t.pending = append(t.pending, e)
		return
	}
	t.unrecordedDrops++
	t.totalDrops++
	if !t.dropLogged {
		t.dropLogged = true
		event.Log(t.log, event.AuditDropped, slog.Int("limit", t.limit))
	}
}

// Stats returns the counts.
func (t *Trail) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Buffered: len(t.pending) + len(t.batch), Dropped: t.totalDrops, Written: t.written}
}

// Run writes the entries until the context ends, and then makes one last attempt to write those that are left.
func (t *Trail) Run(ctx context.Context) {
	wait := flushInterval
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			_ = t.Flush(last) // the node is stopping, so there is no later attempt and nobody to report the error to
			return
		case <-timer.C:
		}
		if err := t.Flush(ctx); err != nil {
			wait = min(2*wait, maxFlushInterval)
			continue
		}
		wait = flushInterval
	}
}

// Flush writes all buffered entries.
func (t *Trail) Flush(ctx context.Context) error {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	for {
		batch, err := t.nextBatch()
		if err != nil {
			return err
		}
		if len(batch) == 0 {
			return t.restore(ctx)
		}
		if err := t.write(ctx, batch); err != nil {
			return fmt.Errorf("audit: %w", err)
		}
		t.mu.Lock()
		t.written += len(batch)
		t.batch = nil
		t.mu.Unlock()
		t.recent = append(t.recent, recentBatch{batch, time.Now()})
	}
}

// restore writes again what the platform may have lost, if it was restored since the last call.
func (t *Trail) restore(ctx context.Context) error {
	epoch, known := t.table.Epoch(), t.epoch
	t.recent = slices.DeleteFunc(t.recent, func(b recentBatch) bool { return time.Since(b.written) > platform.MaxCopyAge })
	if epoch == known {
		return nil
	}
	if known != 0 {
		for _, b := range t.recent {
			if err := t.write(ctx, b.writes); err != nil {
				return fmt.Errorf("audit: %w", err)
			}
		}
	}
	t.epoch = epoch
	return nil
}

// nextBatch returns the batch to write: the previous one if its outcome is unknown or it failed, or else the oldest entries.
func (t *Trail) nextBatch() ([]platform.Write, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.batch) > 0 {
		return t.batch, nil
	}
	if t.unrecordedDrops > 0 && len(t.pending) < t.limit {
		now := time.Now()
		t.pending = append(t.pending, Entry{
			ID: uuid.NewString(), Kind: KindDropped, Node: t.node, Count: t.unrecordedDrops, Time: now,
		})
		t.unrecordedDrops, t.dropLogged = 0, false
	}
	n := min(len(t.pending), batchSize)
	for _, e := range t.pending[:n] {
		w, err := Row(e)
		if err != nil {
			return nil, err
		}
		t.batch = append(t.batch, w)
	}
	t.pending = append([]Entry(nil), t.pending[n:]...)
	return t.batch, nil
}

// write writes one batch. The batch is written atomically and its keys are unique, so a conflict means that an earlier attempt
// whose response was lost took effect; write confirms that by reading the first row.
func (t *Trail) write(ctx context.Context, batch []platform.Write) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := t.table.Commit(callCtx, batch)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	row, getErr := t.table.Get(callCtx, batch[0].Key)
	if getErr != nil {
		return getErr
	}
	if string(row.Value) != string(batch[0].Value) {
		return err
	}
	return nil
}

// Row returns the write that stores one entry, for transactions that include an audit entry. rollout.Options.Record uses it
// with ChangeEntry, so that a change and its entry are written together or not at all.
func Row(e Entry) (platform.Write, error) {
	e.Nanos = e.Time.UnixNano()
	value, err := cbor.Marshal(e)
	if err != nil {
		return platform.Write{}, fmt.Errorf("audit: encode %s: %w", e.ID, err)
	}
	return platform.Write{Key: rowKey(e), Value: value, Cond: platform.Condition{Absent: true}}, nil
}

// ChangeEntry returns the entry with which a node records the definite result of a change at the given time.
func ChangeEntry(node string, now time.Time, r rollout.Result) Entry {
	e := Entry{
		ID: r.ID, Time: now, Kind: KindChange, Node: node, Actor: r.Author, Subject: r.ID, Base: r.Base, Version: r.Version,
		Differs: r.Changed, Outcome: string(r.State), Reason: string(r.Reason), Comment: r.Comment,
	}
	if r.Other != nil {
		e.Reason += fmt.Sprintf(": change %s by %s", r.Other.ID, r.Other.Author)
	}
	return e
}

// rowKey returns the key of the row of an entry. Keys of newer entries sort first, because the table lists rows only in
// ascending order of their keys.
func rowKey(e Entry) string {
	return fmt.Sprintf("%s%019d-%s", keyPrefix, math.MaxInt64-e.Nanos, e.ID)
}

// OutcomeUnreadable is the outcome of an entry that stands for a row that cannot be read; its ID is the key of the row.
const OutcomeUnreadable = "unreadable"

// List returns at most limit entries, newest first by the clocks of the nodes that wrote them. Entries that are still
// in the buffers of nodes are missing. One row that cannot be read does not hide the others.
func (t *Trail) List(ctx context.Context, limit int) ([]Entry, error) {
	rows, err := t.table.List(ctx, keyPrefix, limit)
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	out := make([]Entry, len(rows))
	for i, row := range rows {
		if err := cbor.Unmarshal(row.Value, &out[i]); err != nil {
			out[i] = Entry{ID: row.Key, Outcome: OutcomeUnreadable, Reason: err.Error()}
		}
		out[i].Time = time.Unix(0, out[i].Nanos)
	}
	return out, nil
}
