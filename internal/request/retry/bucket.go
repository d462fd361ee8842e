package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Bucket is a token bucket that caps the retries to a service at a fraction of its first attempts, so that retries cannot
// amplify an overload. Unused retries are kept for a burst, up to a fixed number plus, after SetCarryOver, a fraction of the
// latest first attempts (the carry-over). A Bucket is safe for concurrent use and takes no lock.
type Bucket struct {
	ratio  atomic.Int64 // milli-retries earned by a first attempt
	burst  atomic.Int64 // maximum of milli-retries kept, apart from the carry-over
	tokens atomic.Int64 // milli-retries
	recent atomic.Pointer[recent]
	random func() float64 // in [0, 1); safe for concurrent use; replaced by tests
}

const (
	milli = 1000
	// maxBucketRetries bounds the burst of retries after a quiet time, unless SetBurst changes it.
	maxBucketRetries = 10
)

// NewBucket returns a full bucket. The ratio is the fraction of first attempts that may be retried, for example 0.1.
func NewBucket(ratio float64) *Bucket {
	b := &Bucket{random: rand.Float64}
	b.SetRatio(ratio)
	b.burst.Store(maxBucketRetries * milli)
	b.tokens.Store(maxBucketRetries * milli)
	return b
}

// SetRatio changes the fraction of first attempts that may be retried.
func (b *Bucket) SetRatio(ratio float64) { b.ratio.Store(int64(ratio * milli)) }

// SetBurst changes the number of retries that are kept for a burst. If operators bound the burst of all nodes together, each
// node sets its part, which may be less than one retry. A value of zero or less is ignored.
func (b *Bucket) SetBurst(retries float64) {
	if retries <= 0 {
		return
	}
	b.burst.Store(int64(retries * milli))
	b.add(0)
}

// SetCarryOver lets the bucket keep more retries than its burst: the given fraction of the first attempts within about one
// window up to now. These retries were earned by earlier attempts; a sudden loss, for example of a node with all its requests
// in progress, can then be made up for at once. A window of zero or less is ignored.
func (b *Bucket) SetCarryOver(share float64, window time.Duration) {
	if window <= 0 {
		return
	}
	b.recent.Store(&recent{share: int64(share * milli), halfWindow: window / 2, origin: time.Now()})
}

// Earn records a first attempt.
func (b *Bucket) Earn() {
	if r := b.recent.Load(); r != nil {
		r.count()
	}
	b.add(b.ratio.Load())
}

// capacity returns the largest number of milli-retries that is kept at present.
func (b *Bucket) capacity() int64 {
	capacity := b.burst.Load()
	if r := b.recent.Load(); r != nil {
		capacity += r.share * r.attempts()
	}
	return capacity
}

// recent counts the first attempts of the present and the previous half window.
type recent struct {
	share      int64 // milli-retries per first attempt
	halfWindow time.Duration
	origin     time.Time
	current    atomic.Int64 // number of the present half window since origin
	last, now  atomic.Int64 // attempts in the previous and in the present half window
}

// advance starts a new half window if the present one has ended.
func (r *recent) advance() {
	current, old := int64(time.Since(r.origin)/r.halfWindow), r.current.Load()
	if current <= old || !r.current.CompareAndSwap(old, current) {
		return
	}
	n := r.now.Swap(0)
	if current > old+1 {
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
		available := b.tokens.Load()
		next := min(available+tokens, b.capacity())
		if next == available || b.tokens.CompareAndSwap(available, next) {
			return
		}
	}
}

// Take uses one retry and reports whether there was one. If the bucket can never keep a whole retry, because many nodes
// share the operators' bound (see SetBurst), it uses the fraction that it has and succeeds with that probability. Over all nodes
// this gives the same number of retries, and no fraction is left unused.
func (b *Bucket) Take() bool {
	b.add(0) // the carry-over of a busier time may have expired
	for {
		available := b.tokens.Load()
		use := min(available, milli)
		if use < milli && b.capacity() >= milli {
			return false
		}
		if b.tokens.CompareAndSwap(available, available-use) {
			return use == milli || b.random() < float64(use)/milli
		}
	}
}
