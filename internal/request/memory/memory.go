// Package memory bounds the bytes that a process holds for others: bodies, headers, responses, queued writes and buffers of
// connections. A Budget belongs to the process, a Reservation to one request or connection.
//
// It is made for a load of many slow peers, each of which holds little or much for long: bytes are reserved before they are read or
// allocated, large reservations leave room for small ones, and those that do not fit wait in the order of their arrival. The methods
// of all types are safe for concurrent use. Reserve and Release take no lock unless a reservation waits.
package memory

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of ReadAll and Acquire.
var (
	ErrBudget = errors.New("memory budget is exhausted")
	ErrSize   = errors.New("body exceeds its limit")
)

// Purpose says what reserved bytes are for.
type Purpose uint8

// Purposes.
const (
	Connections Purpose = iota // buffers of callers' connections
	Requests                   // headers and bodies of callers' requests
	Forwarded                  // bodies of requests of other nodes
	Responses                  // bodies of responses, of the target and of other nodes, until they are written
	purposes
)

// String returns the label of the purpose in metrics.
func (p Purpose) String() string {
	return [...]string{"connections", "requests", "forwarded", "responses"}[p]
}

// Purposes returns all purposes.
func Purposes() []Purpose { return []Purpose{Connections, Requests, Forwarded, Responses} }

const (
	// SmallSize is the size up to which a reservation may use the whole budget. Above it, the last part of the budget is left to
	// small ones, so that ordinary requests pass while large bodies fill the rest.
	SmallSize = 64 << 10
	// largeRequestShare and largeResponseShare are the shares of the budget that may be in use after a reservation that has grown
	// above SmallSize. More is left to responses: without that, requests that hold all memory would wait for each other's responses.
	largeRequestShare  = 0.9
	largeResponseShare = 0.95
	// shortShare is the share of the budget above which it is short.
	shortShare = 0.75
	// makeRoomInterval is the interval at which MakeRoom is called again while a reservation waits.
	makeRoomInterval = 50 * time.Millisecond
)

// Budget limits the memory that a process uses for others.
type Budget struct {
	limit   int64
	used    atomic.Int64
	byUse   [purposes]atomic.Int64
	waiting atomic.Int64
	refused atomic.Int64

	// MakeRoom is called when a reservation finds no room, to free some; nil: nothing is called. It must not block.
	MakeRoom func()

	mu      sync.Mutex
	waiters []*waiter // in the order of their arrival
}

// waiter is a reservation that waits for room.
type waiter struct {
	n, ceiling int64
	purpose    Purpose
	granted    chan struct{}
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the size of the budget.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Short reports whether so much is in use that optional uses have to wait. A nil Budget is never short.
func (b *Budget) Short() bool {
	return b != nil && float64(b.used.Load()) > shortShare*float64(b.limit)
}

// UsedFor returns the number of bytes reserved for a purpose.
func (b *Budget) UsedFor(p Purpose) int64 { return b.byUse[p].Load() }

// Waiting returns the number of reservations that wait for room.
func (b *Budget) Waiting() int64 { return b.waiting.Load() }

// Refused returns the number of reservations for which there was no room.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// ceiling returns how much of the budget may be in use after a reservation that then holds the given number of bytes.
func (b *Budget) ceiling(held int64, p Purpose) int64 {
	switch {
	case held <= SmallSize:
		return b.limit
	case p == Requests, p == Forwarded:
		return int64(largeRequestShare * float64(b.limit))
	default:
		return int64(largeResponseShare * float64(b.limit))
	}
}

// take adds n bytes unless more than the ceiling would be in use then.
func (b *Budget) take(n, ceiling int64) bool {
	if b.used.Add(n) > ceiling {
		b.give(n)
		return false
	}
	return true
}

// give returns bytes and grants those that wait.
func (b *Budget) give(n int64) {
	b.used.Add(-n)
	if b.waiting.Load() > 0 {
		b.grant()
	}
}

// grant gives room to those that wait, in order. The first of a purpose that does not fit holds up the later ones of that purpose, so
// that a large one is not passed over for ever.
func (b *Budget) grant() {
	b.mu.Lock()
	defer b.mu.Unlock()
	var blocked [purposes]bool
	left := b.waiters[:0]
	for _, w := range b.waiters {
		if !blocked[w.purpose] {
			if b.used.Add(w.n) <= w.ceiling {
				b.waiting.Add(-1)
				close(w.granted)
				continue
			}
			b.used.Add(-w.n)
			blocked[w.purpose] = true
		}
		left = append(left, w)
	}
	clear(b.waiters[len(left):])
	b.waiters = left
}

// wait waits until n bytes are granted or ctx ends.
func (b *Budget) wait(ctx context.Context, n, ceiling int64, p Purpose) bool {
	w := &waiter{n: n, ceiling: ceiling, purpose: p, granted: make(chan struct{})}
	b.mu.Lock()
	b.waiters = append(b.waiters, w)
	b.waiting.Add(1)
	b.mu.Unlock()
	b.grant() // room may have come before the waiter was counted
	ticker := time.NewTicker(makeRoomInterval)
	defer ticker.Stop()
	for {
		b.makeRoom()
		select {
		case <-w.granted:
			return true
		case <-ticker.C:
		case <-ctx.Done():
			return !b.withdraw(w)
		}
	}
}

// withdraw removes a waiter and reports whether it was not granted before.
func (b *Budget) withdraw(w *waiter) bool {
	b.mu.Lock()
	defer func() {
		b.mu.Unlock()
		b.grant() // those behind it may fit
	}()
	for i, x := range b.waiters {
		if x == w {
			b.waiters = slices.Delete(b.waiters, i, i+1)
			b.waiting.Add(-1)
			return true
		}
	}
	return false
}

func (b *Budget) makeRoom() {
	if b.MakeRoom != nil {
		b.MakeRoom()
	}
}

// NewReservation returns an empty reservation. A nil Budget returns nil, a reservation without a limit.
func (b *Budget) NewReservation(p Purpose) *Reservation {
	if b == nil {
		return nil
	}
	return &Reservation{budget: b, purpose: p}
}

// Reservation counts the bytes reserved for one request or connection. A nil Reservation has no limit.
type Reservation struct {
	budget   *Budget
	purpose  Purpose
	reserved atomic.Int64
	ahead    atomic.Int64 // part of reserved that ReserveAhead has taken and nothing has used yet
	released atomic.Bool
}

// Reserved returns the number of bytes that are reserved.
func (res *Reservation) Reserved() int64 {
	if res == nil {
		return 0
	}
	return res.reserved.Load()
}

// Reserve reserves n more bytes and reports whether the budget had room for them.
func (res *Reservation) Reserve(n int64) bool {
	if res == nil {
		return true
	}
	if n = res.useAhead(n); n == 0 {
		return true
	}
	b := res.budget
	if !b.take(n, b.ceiling(res.reserved.Load()+n, res.purpose)) {
		b.refused.Add(1)
		b.makeRoom()
		return false
	}
	return res.add(n)
}

// Acquire reserves n more bytes. It waits for room until ctx ends. A reservation that would not fit into the empty budget fails at
// once.
func (res *Reservation) Acquire(ctx context.Context, n int64) error {
	if res == nil {
		return nil
	}
	if n = res.useAhead(n); n == 0 {
		return nil
	}
	b := res.budget
	ceiling := b.ceiling(res.reserved.Load()+n, res.purpose)
	first := b.waiting.Load() == 0 || res.reserved.Load()+n <= SmallSize // others wait before a large one
	if first && b.take(n, ceiling) || n <= ceiling && b.wait(ctx, n, ceiling, res.purpose) {
		if !res.add(n) {
			return ErrBudget
		}
		return nil
	}
	b.refused.Add(1)
	return ErrBudget
}

// ReserveOver reserves n more bytes even if that exceeds the budget.
func (res *Reservation) ReserveOver(n int64) {
	if res != nil {
		res.budget.used.Add(n)
		res.add(n)
	}
}

// ReserveAhead reserves n bytes that the next calls of Reserve and Acquire use first.
func (res *Reservation) ReserveAhead(n int64) bool {
	if res == nil {
		return true
	}
	if !res.Reserve(n) {
		return false
	}
	res.ahead.Add(n)
	return true
}

// useAhead takes up to n bytes of what was reserved ahead and returns how many are missing.
func (res *Reservation) useAhead(n int64) int64 {
	for {
		have := res.ahead.Load()
		if have == 0 {
			return n
		}
		if used := min(have, n); res.ahead.CompareAndSwap(have, have-used) {
			return n - used
		}
	}
}

// add counts bytes that were taken from the budget.
func (res *Reservation) add(n int64) bool {
	res.budget.byUse[res.purpose].Add(n)
	res.reserved.Add(n)
	if res.released.Load() { // the request has ended, and what is still read for it is dropped
		res.free()
		return false
	}
	return true
}

// Shrink returns what is reserved beyond n bytes, and what was reserved ahead with it.
func (res *Reservation) Shrink(n int64) {
	if res == nil {
		return
	}
	res.ahead.Store(0)
	for {
		have := res.reserved.Load()
		if have <= n {
			return
		}
		if res.reserved.CompareAndSwap(have, n) {
			res.budget.byUse[res.purpose].Add(n - have)
			res.budget.give(have - n)
			return
		}
	}
}

// giveBack returns n bytes to the budget, unless they were released already.
func (res *Reservation) giveBack(n int64) {
	if res != nil && n > 0 && !res.released.Load() {
		res.Shrink(max(0, res.reserved.Load()-n))
	}
}

// Release returns all bytes to the budget. Later calls of Reserve fail.
func (res *Reservation) Release() {
	if res == nil {
		return
	}
	res.released.Store(true)
	res.free()
}

func (res *Reservation) free() {
	if n := res.reserved.Swap(0); n != 0 {
		res.budget.byUse[res.purpose].Add(-n)
		res.budget.give(n)
	}
}

const (
	// initialBuffer is the size of the first buffer for a body. It does not depend on the declared length, so that a false length
	// cannot reserve memory before the bytes arrive.
	initialBuffer = 4 << 10
	// growthLimit is the factor by which a buffer grows at most. A body of which an eighth has arrived gets a buffer of its declared
	// length, so that both buffers together are little more than the body.
	growthLimit = 8
)

// ReadAllWaiting reads a body like ReadAll from a sender whose declared length is trusted. It reserves the whole length before it reads,
// and waits for room until ctx ends. Without a length it does not wait: bodies that each hold a part and wait for more would never end.
func (res *Reservation) ReadAllWaiting(ctx context.Context, r io.Reader, size int64, limit int) ([]byte, error) {
	if size < 0 || size > int64(limit) {
		return res.ReadAll(r, size, limit)
	}
	if err := res.Acquire(ctx, size); err != nil {
		return nil, err
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return body, nil
}

// ReadAll reads a body of at most limit bytes. The declared length is size; a negative size means that it is unknown. Memory
// is reserved as the bytes arrive. A body that is shorter than its declared length fails with io.ErrUnexpectedEOF.
func (res *Reservation) ReadAll(r io.Reader, size int64, limit int) ([]byte, error) {
	if size > int64(limit) {
		return nil, ErrSize
	}
	maxSize := limit + 1 // one byte more, to detect a body beyond the limit
	if size >= 0 {
		maxSize = int(size)
	}
	var body []byte
	for len(body) < maxSize {
		if len(body) == cap(body) {
			grown, err := res.grow(body, maxSize, size >= 0)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, ErrSize
		case errors.Is(err, io.EOF) && size < 0:
			return body, nil
		case errors.Is(err, io.EOF) && len(body) < maxSize:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, io.EOF):
			return nil, err
		}
	}
	return body, nil
}

// grow copies the body into a larger buffer of at most maxSize bytes. Both buffers are counted while the body is copied.
func (res *Reservation) grow(body []byte, maxSize int, declared bool) ([]byte, error) {
	next := min(max(initialBuffer, 2*cap(body)), maxSize)
	if declared && cap(body) >= SmallSize && growthLimit*cap(body) >= maxSize {
		next = maxSize
	}
	if !res.Reserve(int64(next)) {
		return nil, ErrBudget
	}
	grown := append(make([]byte, 0, next), body...)
	res.giveBack(int64(cap(body)))
	return grown, nil
}
