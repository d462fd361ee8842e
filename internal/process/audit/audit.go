// Package audit keeps the audit trail: who changed what, when and with which result, which nodes were drained, and which
// members came and went.
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

// Entry is one fact of the trail. Fields that do not apply to its kind are empty.
type Entry struct {
	ID      string    `cbor:"1,keyasint" json:"id"` // set by Add if empty
	Time    time.Time `cbor:"-" json:"time"`        // set by Add if zero
	Kind    Kind      `cbor:"2,keyasint" json:"kind"`
	Node    string    `cbor:"3,keyasint" json:"node"`              // that wrote the entry
	Actor   string    `cbor:"4,keyasint,omitempty" json:"actor"`   // who
	Subject string    `cbor:"5,keyasint,omitempty" json:"subject"` // change ID or address
	Base    uint64    `cbor:"6,keyasint,omitempty" json:"base,omitempty"`
	Version uint64    `cbor:"7,keyasint,omitempty" json:"version,omitempty"`
	Differs []string  `cbor:"8,keyasint,omitempty" json:"differs,omitempty"` // files
	Outcome string    `cbor:"9,keyasint,omitempty" json:"outcome,omitempty"`
	Reason  string    `cbor:"10,keyasint,omitempty" json:"reason,omitempty"`
	Comment string    `cbor:"11,keyasint,omitempty" json:"comment,omitempty"`
	Count   int       `cbor:"12,keyasint,omitempty" json:"count,omitempty"` // of dropped entries
	Nanos   int64     `cbor:"13,keyasint" json:"-"`                         // Time on the wire
}

// Limits and times.
const (
	// DefaultBuffer bounds the entries that wait while the platform is down: about 1 MB. Entries beyond it are dropped and
	// counted. A larger buffer survives a longer outage and takes more of the node's memory.
	DefaultBuffer = 2048
	batchSize     = 25
	flushEvery    = time.Second
	flushRetryMax = 30 * time.Second
	callTimeout   = 2 * time.Second
	prefix        = "audit/"
)

// Trail buffers entries and writes them to the platform.
type Trail struct {
	table platform.Table
	node  string
	log   *slog.Logger
	limit int

	writing  sync.Mutex // held while a batch is written
	mu       sync.Mutex // guards the fields below
	waiting  []Entry
	batch    []platform.Write // not known to be written; stays the same until it is
	dropped  int              // not recorded yet
	lost     int              // dropped since the start
	written  int
	reported bool // the drop was logged
}

// Stats are the counts of a trail since its start.
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

// Add records an entry. When the buffer is full, the entry is dropped and counted: the entries before it tell how the
// outage began.
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
	if len(t.waiting)+len(t.batch) < t.limit {
		t.waiting = append(t.waiting, e)
		return
	}
	t.dropped++
	t.lost++
	if !t.reported {
		t.reported = true
		event.Log(t.log, event.AuditDropped, slog.Int("limit", t.limit))
	}
}

// Stats returns the counts.
func (t *Trail) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Buffered: len(t.waiting) + len(t.batch), Dropped: t.lost, Written: t.written}
}

// Run writes the entries until the context ends, and then tries once to write what is left.
func (t *Trail) Run(ctx context.Context) {
	wait := flushEvery
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			_ = t.Flush(last) // the context ended, so there is nobody to tell
			return
		case <-timer.C:
		}
		if err := t.Flush(ctx); err != nil {
			wait = min(2*wait, flushRetryMax)
			continue
		}
		wait = flushEvery
	}
}

// Flush writes every entry that waits.
func (t *Trail) Flush(ctx context.Context) error {
	t.writing.Lock()
	defer t.writing.Unlock()
	for {
		batch, err := t.next()
		if err != nil || len(batch) == 0 {
			return err
		}
		if err := t.write(ctx, batch); err != nil {
			return fmt.Errorf("audit: %w", err)
		}
		t.mu.Lock()
		t.written += len(batch)
		t.batch = nil
		t.mu.Unlock()
	}
}

// next returns the batch to write: the one that is in doubt, or else the oldest entries.
func (t *Trail) next() ([]platform.Write, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.batch) > 0 {
		return t.batch, nil
	}
	if t.dropped > 0 && len(t.waiting) < t.limit {
		now := time.Now()
		t.waiting = append(t.waiting, Entry{
			ID: uuid.NewString(), Kind: KindDropped, Node: t.node, Count: t.dropped, Time: now,
		})
		t.dropped, t.reported = 0, false
	}
	n := min(len(t.waiting), batchSize)
	for _, e := range t.waiting[:n] {
		w, err := Row(e)
		if err != nil {
			return nil, err
		}
		t.batch = append(t.batch, w)
	}
	t.waiting = append([]Entry(nil), t.waiting[n:]...)
	return t.batch, nil
}

// write writes one batch. The batch is atomic and its keys are unique, so a conflict means that an earlier attempt whose
// answer was lost took effect; the first row is read to be sure.
func (t *Trail) write(ctx context.Context, batch []platform.Write) error {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := t.table.Commit(c, batch)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	row, getErr := t.table.Get(c, batch[0].Key)
	if getErr != nil {
		return getErr
	}
	if string(row.Value) != string(batch[0].Value) {
		return err
	}
	return nil
}

// Row returns the write of one entry, for a transaction that must record what it does. rollout.Options.Record uses it with
// ChangeEntry, so that a change and its entry are written together or not at all.
func Row(e Entry) (platform.Write, error) {
	e.Nanos = e.Time.UnixNano()
	value, err := cbor.Marshal(e)
	if err != nil {
		return platform.Write{}, fmt.Errorf("audit: encode %s: %w", e.ID, err)
	}
	return platform.Write{Key: key(e), Value: value, Cond: platform.Condition{Absent: true}}, nil
}

// ChangeEntry returns the entry of a definite result that the node writes at the given time.
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

// key sorts newer entries before older ones, because the table lists rows only in ascending order.
func key(e Entry) string {
	return fmt.Sprintf("%s%019d-%s", prefix, math.MaxInt64-e.Nanos, e.ID)
}

// List returns at most limit entries, newest first by the clocks of the nodes that wrote them. Entries that still wait in
// the buffers of nodes are missing.
func (t *Trail) List(ctx context.Context, limit int) ([]Entry, error) {
	rows, err := t.table.List(ctx, prefix, limit)
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	out := make([]Entry, len(rows))
	for i, row := range rows {
		if err := cbor.Unmarshal(row.Value, &out[i]); err != nil {
			return nil, fmt.Errorf("audit: row %s: %w", row.Key, err)
		}
		out[i].Time = time.Unix(0, out[i].Nanos)
	}
	return out, nil
}
