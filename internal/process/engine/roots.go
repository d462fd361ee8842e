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
	rootMemory = 30 * time.Second
	// maxRootsPerShard bounds the memory for budgets. Requests beyond it get no retries.
	maxRootsPerShard = 1024
)

// root is what a node remembers of a root request between the attempts of its caller.
type root struct {
	ledger *retry.Ledger
	doubt  atomic.Bool  // an attempt has run or may have run
	open   atomic.Int32 // attempts that have not been answered
}

func newRoot(bound int) *root { return &root{ledger: retry.NewLedger(bound)} }

// begin counts an attempt, which end must end.
func (r *root) begin() { r.open.Add(1) }

// end corrects the response of an attempt by what others have done: a request that may have run, or that another attempt
// may still run, is never reported as not run. An attempt leaves its doubt before it stops counting as open, so that the
// last one open sees the doubts of all others.
func (r *root) end(resp *message.Response) *message.Response {
	if resp.Outcome != message.NotRun {
		r.doubt.Store(true)
	}
	if others := r.open.Add(-1); resp.Outcome == message.NotRun && (others > 0 || r.doubt.Load()) {
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
	mu       sync.Mutex
	since    time.Time
	present  map[message.ID]*root
	previous map[message.ID]*root
}

func newRoots() *roots {
	r := &roots{}
	for i := range r.shards {
		r.shards[i] = rootShard{since: time.Now(), present: map[message.ID]*root{}}
	}
	return r
}

// get returns the root request, new with a retry ledger of the given bound if it is not known.
func (r *roots) get(id message.ID, bound int) *root {
	return r.shards[id[1]%rootShards].get(id, bound)
}

// known returns the root request, or nil if it is not known.
func (r *roots) known(id message.ID) *root {
	s := &r.shards[id[1]%rootShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.present[id]; ok {
		return known
	}
	return s.previous[id]
}

func (s *rootShard) get(id message.ID, bound int) *root {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.since) > rootMemory {
		s.previous, s.present, s.since = s.present, make(map[message.ID]*root, len(s.present)), now
	}
	r, ok := s.present[id]
	if ok {
		return r
	}
	r, ok = s.previous[id]
	if len(s.present) >= maxRootsPerShard {
		if !ok {
			r = newRoot(0)
		}
		return r
	}
	if !ok {
		r = newRoot(bound)
	}
	s.present[id] = r
	return r
}

// buckets holds the retry bucket of every service. Readers load a map that is replaced as a whole.
type buckets struct {
	mu  sync.Mutex // held while the map is replaced
	all atomic.Pointer[map[string]*retry.Bucket]
}

func newBuckets() *buckets {
	b := &buckets{}
	b.all.Store(&map[string]*retry.Bucket{})
	return b
}

// get returns the bucket of a service with the ratio of the present policy.
func (b *buckets) get(service string, ratio float64) *retry.Bucket {
	bucket, ok := (*b.all.Load())[service]
	if !ok {
		bucket = b.add(service, ratio)
	}
	bucket.SetRatio(ratio)
	return bucket
}

func (b *buckets) add(service string, ratio float64) *retry.Bucket {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.all.Load()
	if bucket, ok := old[service]; ok {
		return bucket
	}
	all := make(map[string]*retry.Bucket, len(old)+1)
	for name, bucket := range old {
		all[name] = bucket
	}
	bucket := retry.NewBucket(ratio)
	all[service] = bucket
	b.all.Store(&all)
	return bucket
}
