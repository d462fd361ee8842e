package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Bucket caps the retries to a service at a share of its first attempts, so that retries cannot feed an overload. It
// is safe for concurrent use and takes no lock.
type Bucket struct {
	ratio  atomic.Int64 // milli-retries earned by a first attempt
	burst  atomic.Int64 // most milli-retries that are kept
	tokens atomic.Int64 // milli-retries
	recent atomic.Pointer[recent]
	random func() float64 // from zero to one; replaced by tests, safe for concurrent use
}

const (
	milli = 1000
	// maxBucketRetries bounds the burst of retries after a quiet time, unless SetBurst says otherwise.
	maxBucketRetries = 10
)

// NewBucket returns a full bucket. The ratio is the share of first attempts that may be retried, for example 0.1.
func NewBucket(ratio float64) *Bucket {
	b := &Bucket{random: rand.Float64}
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

// SetCarryOver lets the bucket keep more retries than its burst: the given share of the first attempts of about the last
// window. These retries were earned, so that a sudden loss, for example of a node with all its requests in progress, can be made
// up for at once. Without a window nothing is carried over.
func (b *Bucket) SetCarryOver(share float64, window time.Duration) {
	if window <= 0 {
		return
	}
	b.recent.Store(&recent{share: int64(share * milli), half: window / 2, origin: time.Now()})
}

// Earn records a first attempt.
func (b *Bucket) Earn() {
	if r := b.recent.Load(); r != nil {
		r.count()
	}
	b.add(b.ratio.Load())
}

// most returns the milli-retries that are kept at most.
func (b *Bucket) most() int64 {
	most := b.burst.Load()
	if r := b.recent.Load(); r != nil {
		most += r.share * r.attempts()
	}
	return most
}

// recent counts the first attempts of the present and the last half window.
type recent struct {
	share     int64 // milli-retries per first attempt
	half      time.Duration
	origin    time.Time
	turn      atomic.Int64 // half windows since origin
	last, now atomic.Int64
}

// advance starts a new half window if the present one has passed.
func (r *recent) advance() {
	turn, old := int64(time.Since(r.origin)/r.half), r.turn.Load()
	if turn <= old || !r.turn.CompareAndSwap(old, turn) {
		return
	}
	n := r.now.Swap(0)
	if turn > old+1 {
		n = 0
	}
	r.last.Store(n)
}

func (r *recent) count() {
	r.advance()
	r.now.Add(1)
}

func (r *recent) attempts() int64 {
	r.advance()
	return r.last.Load() + r.now.Load()
}

// GiveBack undoes a Take whose attempt was not made.
func (b *Bucket) GiveBack() { b.add(milli) }

func (b *Bucket) add(tokens int64) {
	for {
		have := b.tokens.Load()
		next := min(have+tokens, b.most())
		if next == have || b.tokens.CompareAndSwap(have, next) {
			return
		}
	}
}

// Take uses one retry and reports whether there was one. Where less than one can ever be kept, because many nodes share the
// operators' bound, what was kept is the chance to get one: over all nodes that makes the same number, and none is left unused.
func (b *Bucket) Take() bool {
	b.add(0) // what was saved in a busier time may have lapsed
	for {
		have := b.tokens.Load()
		use := min(have, milli)
		if use < milli && b.most() >= milli {
			return false
		}
		if b.tokens.CompareAndSwap(have, have-use) {
			return use == milli || b.random() < float64(use)/milli
		}
	}
}
