package retry

import (
	"sync/atomic"
	"time"
)

const (
	// reserve is the part of what a bucket keeps at most that only the most urgent requests may use. Where retries are scarce,
	// those of less urgent requests would otherwise use them up: they are more, and fail first.
	reserve = 0.5
	// rankMemory is the time for which requests of a rank count after the last one.
	rankMemory = 10 * time.Second
)

// RankedBucket is a Bucket whose retries go to the most urgent requests first when they are scarce. It is safe for concurrent use
// and takes no lock.
type RankedBucket struct {
	*Bucket
	origin time.Time
	seen   [256]atomic.Int64 // time of the last request of each rank, since origin, plus one
}

// NewRankedBucket returns a RankedBucket that draws on b.
func NewRankedBucket(b *Bucket) *RankedBucket { return &RankedBucket{Bucket: b, origin: time.Now()} }

// Earn records a first attempt of a rank.
func (r *RankedBucket) Earn(rank uint8) {
	r.seen[rank].Store(int64(time.Since(r.origin)) + 1)
	r.Bucket.Earn()
}

// Take uses one retry for a request of a rank and reports whether there was one for it.
func (r *RankedBucket) Take(rank uint8) bool {
	if r.outranked(rank) && float64(r.tokens.Load()) <= reserve*float64(r.most()) {
		return false
	}
	return r.Bucket.Take()
}

// outranked reports whether requests of a higher rank came lately.
func (r *RankedBucket) outranked(rank uint8) bool {
	since := int64(time.Since(r.origin) - rankMemory)
	for higher := int(rank) + 1; higher < len(r.seen); higher++ {
		if at := r.seen[higher].Load(); at != 0 && at > since {
			return true
		}
	}
	return false
}
