package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Change is a conditional write with a unique ID in its value, by which it can be recognized when the row is read back.
type Change struct {
	Key   string
	Value []byte
	Cond  Condition
	// ID is unique to the change and contained in Value. A writer that replaces the row may keep the ID in its own value as
	// proof that this change took effect.
	ID string
	// WriteOnce states that the row is never modified once it exists, as is the case for the rows that bind idempotency keys
	// to their home nodes. A row without the ID then proves that the change did not take effect and never will.
	WriteOnce bool
}

const (
	// The backoff before a retry starts short, because usually only a single response is lost. It grows to a mean of 1.5 s, at
	// which 2,300 nodes that wait for the end of an outage send about 1,500 reads per second; the platform handles about 2,000.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// ResolvePut writes the change and resolves a write in doubt: it reads the row back and retries the write under the same
// condition until one of them gives a definite result or ctx ends.
//
// On success it returns the row as last known: the change itself, or a later state of the row that contains the change's ID.
// It fails with ErrConflict or ErrUnavailable if the change did not take effect and never will, and with ErrInDoubt
// otherwise, in particular if another writer replaced the row between a lost response and the read-back without keeping the
// ID.
func ResolvePut(ctx context.Context, t Table, c Change) (Row, error) {
	if err := c.validate(); err != nil {
		return Row{}, err
	}
	version, err := t.Put(ctx, c.Key, c.Value, c.Cond)
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		if err == nil {
			return Row{Key: c.Key, Value: c.Value, Version: version}, nil
		}
		if backoff == initialBackoff && !errors.Is(err, ErrInDoubt) {
			return Row{}, err // the first attempt failed definitely
		}
		row, settled, readErr := c.readBack(ctx, t)
		if settled {
			return row, readErr
		}
		// The jitter spreads the retries of nodes that were hit by an outage at the same time.
		if !sleep(ctx, backoff/2+rand.N(backoff/2)) {
			// The causes are not wrapped: a conflict or an outage during a retry says nothing about the first attempt.
			return Row{}, fmt.Errorf("put %q: %w: %w (write: %v; read-back: %v)", c.Key, ErrInDoubt, ctx.Err(), err, readErr)
		}
		if readErr != nil {
			continue // the row must be read before the write is retried
		}
		version, err = t.Put(ctx, c.Key, c.Value, c.Cond)
	}
}

func (c Change) validate() error {
	if c.ID == "" || !bytes.Contains(c.Value, []byte(c.ID)) {
		return fmt.Errorf("put %q: the value does not contain the change ID %q", c.Key, c.ID)
	}
	if !c.Cond.Absent && c.Cond.Version == (Version{}) {
		return fmt.Errorf("put %q: an unconditional write cannot be retried safely", c.Key)
	}
	return nil
}

// readBack reads the row after a write in doubt. The second result reports whether the outcome of the change is definite.
func (c Change) readBack(ctx context.Context, t Table) (Row, bool, error) {
	row, err := t.Get(ctx, c.Key)
	switch {
	case errors.Is(err, ErrNotFound):
		if c.Cond.Absent {
			return Row{}, false, nil // the condition still holds: retry
		}
		return Row{}, true, fmt.Errorf("put %q: %w: the row was deleted", c.Key, ErrInDoubt)
	case err != nil:
		return Row{}, false, err
	case bytes.Contains(row.Value, []byte(c.ID)):
		return row, true, nil
	case !c.Cond.Absent && row.Version == c.Cond.Version:
		return Row{}, false, nil
	case c.WriteOnce && c.Cond.Absent:
		return row, true, fmt.Errorf("put %q: %w: another change took effect", c.Key, ErrConflict)
	default:
		return row, true, fmt.Errorf("put %q: %w: another writer replaced the row at version %s", c.Key, ErrInDoubt, row.Version)
	}
}

// sleep waits for d or until ctx ends, and reports whether ctx has not ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
