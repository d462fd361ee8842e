package platform

import (
	"fmt"
	"sync/atomic"
	"time"
)

// Epoch counts how often the platform's store has come back from an older copy of its data. Writes that were acknowledged after
// that copy are lost then: rows are gone, deleted rows are back, and versions are given out a second time. Zero means that the
// store states no epoch.
type Epoch uint64

// MaxCopyAge is the greatest age of a copy from which the platform is restored. What was written before that is never lost.
const MaxCopyAge = time.Minute

// NewestEpoch is the newest epoch that the responses of a store have stated. It is safe for concurrent use.
type NewestEpoch struct{ epoch atomic.Uint64 }

// Observe records the epoch of a response, and returns the newest epoch before and whether the store has been restored since.
// Responses may arrive out of order.
func (n *NewestEpoch) Observe(e Epoch) (before Epoch, restored bool) {
	for {
		old := n.epoch.Load()
		if uint64(e) <= old {
			return Epoch(old), false
		}
		if n.epoch.CompareAndSwap(old, uint64(e)) {
			return Epoch(old), old != 0
		}
	}
}

// Load returns the newest epoch.
func (n *NewestEpoch) Load() Epoch { return Epoch(n.epoch.Load()) }

// CheckConditions returns ErrConflict if a condition names a version of an epoch before the given one, the newest known. That
// version is gone, but the store may have given out its text again.
func CheckConditions(writes []Write, newest Epoch) error {
	for _, w := range writes {
		if v := w.Cond.Version; v != (Version{}) && v.Epoch < newest {
			return fmt.Errorf("%w: %q: version %v is of an earlier epoch than %d", ErrConflict, w.Key, v, newest)
		}
	}
	return nil
}

// CheckApplied returns ErrInDoubt if writes took effect in a later epoch than that of a condition: the store was restored on the
// way, and the version that it compared is not the one that the writer read.
func CheckApplied(writes []Write, applied Epoch) error {
	for _, w := range writes {
		if v := w.Cond.Version; v != (Version{}) && v.Epoch < applied {
			return fmt.Errorf("%w: %q: the condition on version %v was met in epoch %d", ErrInDoubt, w.Key, v, applied)
		}
	}
	return nil
}
