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
	// rootRetention is the minimum time for which a node remembers the retry budget of a root request, so that a caller that
	// repeats a request ID does not get a new budget with every repeat.
	rootRetention = 30 * time.Second
	// maxRootsPerShard bounds the memory for root requests. Requests beyond it get no retries.
	maxRootsPerShard = 1024
)

// root is the state of a root request (see message.ID) that a node keeps between the attempts of its caller.
type root struct {
	ledger     *retry.Ledger
	mayHaveRun atomic.Bool  // an attempt has run or may have run
	inFlight   atomic.Int32 // attempts that have not been answered
}

func newRoot(budget int) *root { return &root{ledger: retry.NewLedger(budget)} }

// begin registers an attempt. Each call must be followed by a call of end.
func (r *root) begin() { r.inFlight.Add(1) }

// end completes an attempt and corrects its response by the other attempts: if another attempt may have run the request or
// is still in flight, the outcome is Unknown instead of NotRun. An attempt sets mayHaveRun before it decrements inFlight, so
// that the last attempt in flight sees the results of all others.
func (r *root) end(resp *message.Response) *message.Response {
	if resp.Outcome != message.NotRun {
		r.mayHaveRun.Store(true)
	}
	if others := r.inFlight.Add(-1); resp.Outcome == message.NotRun && (others > 0 || r.mayHaveRun.Load()) {
		resp.Outcome = message.Unknown
	}
	return resp
}

// roots keeps root requests in two generations per shard. When the current generation is older than rootRetention, it
// becomes the previous one and the old previous one is dropped.
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

// get returns the root request with the ID. If there is none, it creates one whose retry ledger has the given budget.
func (r *roots) get(id message.ID, budget int) *root {
	return r.shards[id[1]%rootShards].get(id, budget)
}

// lookup returns the root request with the ID, or nil if there is none.
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

// buckets holds the retry bucket of every service. The map is copied on write, so that readers need no lock.
type buckets struct {
	mu        sync.Mutex // held while the map is replaced
	byService atomic.Pointer[map[string]*retry.Bucket]
}

func newBuckets() *buckets {
	b := &buckets{}
	b.byService.Store(&map[string]*retry.Bucket{})
	return b
}

// get returns the bucket of a service and sets its ratio, which a new policy may have changed.
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
