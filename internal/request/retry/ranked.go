package retry

import (
	"sync/atomic"
	"time"
)

const (
	// urgentReserve is the fraction of a bucket's capacity that only requests of the highest recent rank may use. Otherwise
	// less urgent requests, which are more numerous and fail first, would use up scarce retries.
	urgentReserve = 0.5
	// rankMemory is the time for which a rank counts as recent after its last request.
	rankMemory = 10 * time.Second
)

// RankedBucket is a Bucket that gives scarce retries to the most urgent requests first. It is safe for concurrent use
// and takes no lock.
type RankedBucket struct {
	*Bucket
	origin   time.Time
	lastSeen [256]atomic.Int64 // last first attempt of each rank, in nanoseconds since origin, plus one; zero: none
}

// NewRankedBucket returns a RankedBucket that draws on b.
func NewRankedBucket(b *Bucket) *RankedBucket { return &RankedBucket{Bucket: b, origin: time.Now()} }

// Earn records a first attempt of a request of the given rank.
func (r *RankedBucket) Earn(rank uint8) {
	r.lastSeen[rank].Store(int64(time.Since(r.origin)) + 1)
	r.Bucket.Earn()
}

// Take uses one retry for a request of the given rank and reports whether there was one for it.
func (r *RankedBucket) Take(rank uint8) bool {
	if r.outranked(rank) && float64(r.tokens.Load()) <= urgentReserve*float64(r.capacity()) {
		return false
	}
	return r.Bucket.Take()
}

// TakeFor is Take for a call of a run that has the given share of its calls left. The more is left, the more retries are kept for
// calls of runs that are nearer to their end: one of these saves more work, and is more likely to save the chain. Requests of the highest
// recent rank get retries whatever they have left.
func (r *RankedBucket) TakeFor(rank uint8, left float64) bool {
	reserve := urgentReserve + (1-urgentReserve)*left
	if r.outranked(rank) && float64(r.tokens.Load()) <= reserve*float64(r.capacity()) {
		return false
	}
	return r.Bucket.Take()
}

// outranked reports whether there were requests of a higher rank within rankMemory.
func (r *RankedBucket) outranked(rank uint8) bool {
	since := int64(time.Since(r.origin) - rankMemory)
	for higher := int(rank) + 1; higher < len(r.lastSeen); higher++ {
		if at := r.lastSeen[higher].Load(); at != 0 && at > since {
			return true
		}
	}
	return false
}
