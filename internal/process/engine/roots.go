package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/request/retry"
)

const (
	rootShards = 64
	// rootMemory is how long a node remembers the retry budget of a root request at least, so that a caller that repeats a
	// request ID does not get a new budget with every repeat.
	rootRetention = 30 * time.Second
	// maxRootsPerShard bounds the memory for budgets. Requests beyond it get no retries.
	maxRootsPerShard = 1024
)

// root is what a node remembers of a root request between the attempts of its caller.
type root struct {
	ledger     *retry.Ledger
	mayHaveRun atomic.Bool  // an attempt has run or may have run
	inFlight   atomic.Int32 // attempts that have not been answered
}

func newRoot(budget int) *root { return &root{ledger: retry.NewLedger(budget)} }

// begin counts an attempt, which end must end.
func (r *root) begin() { r.inFlight.Add(1) }

// end corrects the response of an attempt by what others have done: a request that may have run, or that another attempt
// may still run, is never reported as not run. An attempt leaves its doubt before it stops counting as open, so that the
// last one open sees the doubts of all others.
func (r *root) end(resp *message.Response) *message.Response {
	if resp.Outcome != message.NotRun {
		r.mayHaveRun.Store(true)
	}
	if others := r.inFlight.Add(-1); resp.Outcome == message.NotRun && (others > 0 || r.mayHaveRun.Load()) {
		resp.Outcome = message.Unknown
	}
	return resp
}

// roots remembers root requests in two generations: when the present one is older than rootMemory, it replaces the
// previous one.
type roots struct {
	shards [rootShards]rootShard
}

type rootShard struct {
	mu        sync.Mutex
	rotatedAt time.Time
	current   map[message.ID]*root
	previous  map[message.ID]*root
}

func newRoots() *roots {
	r := &roots{}
	for i := range r.shards {
		r.shards[i] = rootShard{rotatedAt: time.Now(), current: map[message.ID]*root{}}
	}
	return r
}

// get returns the root request, new with a retry ledger of the given bound if it is not known.
func (r *roots) get(id message.ID, budget int) *root {
	return r.shards[id[1]%rootShards].get(id, budget)
}

// known returns the root request, or nil if it is not known.
func (r *roots) lookup(id message.ID) *root {
	s := &r.shards[id[1]%rootShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.current[id]; ok {
		return known
	}
	return s.previous[id]
}

func (s *rootShard) get(id message.ID, budget int) *root {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.rotatedAt) > rootRetention {
		s.previous, s.current, s.rotatedAt = s.current, make(map[message.ID]*root, len(s.current)), now
	}
	r, ok := s.current[id]
	if ok {
		return r
	}
	r, ok = s.previous[id]
	if len(s.current) >= maxRootsPerShard {
		if !ok {
			r = newRoot(0)
		}
		return r
	}
	if !ok {
		r = newRoot(budget)
	}
	s.current[id] = r
	return r
}

// buckets holds the retry bucket of every service. Readers load a map that is replaced as a whole.
type buckets struct {
	mu        sync.Mutex // held while the map is replaced
	byService atomic.Pointer[map[string]*retry.Bucket]
}

func newBuckets() *buckets {
	b := &buckets{}
	b.byService.Store(&map[string]*retry.Bucket{})
	return b
}

// get returns the bucket of a service with the ratio of the present policy.
func (b *buckets) get(service string, ratio float64) *retry.Bucket {
	bucket, ok := (*b.byService.Load())[service]
	if !ok {
		bucket = b.add(service, ratio)
	}
	bucket.SetRatio(ratio)
	return bucket
}

func (b *buckets) add(service string, ratio float64) *retry.Bucket {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.byService.Load()
	if bucket, ok := old[service]; ok {
		return bucket
	}
	byService := make(map[string]*retry.Bucket, len(old)+1)
	for name, bucket := range old {
		byService[name] = bucket
	}
	bucket := retry.NewBucket(ratio)
	byService[service] = bucket
	b.byService.Store(&byService)
	return bucket
}
