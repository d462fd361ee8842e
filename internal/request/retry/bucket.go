package retry

import "sync/atomic"

// Bucket caps the retries to a service at a share of its first attempts, so that retries cannot feed an overload. It
// is safe for concurrent use and takes no lock.
type Bucket struct {
	ratio  atomic.Int64 // milli-retries earned by a first attempt
	burst  atomic.Int64 // most milli-retries that are kept
	tokens atomic.Int64 // milli-retries
}

const (
	milli = 1000
	// maxBucketRetries bounds the burst of retries after a quiet time, unless SetBurst says otherwise.
	maxBucketRetries = 10
)

// NewBucket returns a full bucket. The ratio is the share of first attempts that may be retried, for example 0.1.
func NewBucket(ratio float64) *Bucket {
	b := &Bucket{}
	b.SetRatio(ratio)
	b.burst.Store(maxBucketRetries * milli)
	b.tokens.Store(maxBucketRetries * milli)
	return b
}

// SetRatio changes the share of first attempts that may be retried.
func (b *Bucket) SetRatio(ratio float64) { b.ratio.Store(int64(ratio * milli)) }

// SetBurst changes the number of retries that are kept for a burst. Zero or less keeps it.
func (b *Bucket) SetBurst(retries float64) {
	if retries <= 0 {
		return
	}
	b.burst.Store(int64(retries * milli))
	b.add(0)
}

// Earn records a first attempt.
func (b *Bucket) Earn() { b.add(b.ratio.Load()) }

// GiveBack undoes a Take whose attempt was not made.
func (b *Bucket) GiveBack() { b.add(milli) }

func (b *Bucket) add(tokens int64) {
	for {
		have := b.tokens.Load()
		next := min(have+tokens, b.burst.Load())
		if next == have || b.tokens.CompareAndSwap(have, next) {
			return
		}
	}
}

// Take uses one retry and reports whether there was one.
func (b *Bucket) Take() bool {
	for {
		have := b.tokens.Load()
		if have < milli {
			return false
		}
		if b.tokens.CompareAndSwap(have, have-milli) {
			return true
		}
	}
}
