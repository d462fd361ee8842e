// Package memory bounds the bytes that a process holds for message bodies. A Budget belongs to the process, a Reservation
// to one request.
//
// All methods are safe for concurrent use and take no lock.
package memory

import (
	"errors"
	"io"
	"sync/atomic"
)

// Errors of ReadAll.
var (
	ErrBudget = errors.New("memory budget for message bodies is exhausted")
	ErrSize   = errors.New("body exceeds its limit")
)

// Budget limits the memory that a process uses for message bodies.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// NewReservation returns an empty reservation. A nil Budget returns nil, a reservation without a limit.
func (b *Budget) NewReservation() *Reservation {
	if b == nil {
		return nil
	}
	return &Reservation{budget: b}
}

// Reservation counts the bytes reserved for one request. A nil Reservation has no limit.
type Reservation struct {
	budget   *Budget
	reserved atomic.Int64
	released atomic.Bool
}

// Reserve reserves n more bytes and reports whether the budget had room for them.
func (res *Reservation) Reserve(n int64) bool {
	if res == nil {
		return true
	}
	if res.budget.used.Add(n) > res.budget.limit {
		res.budget.used.Add(-n)
		return false
	}
	res.reserved.Add(n)
	if res.released.Load() { // the request has ended, and what is still read for it is dropped
		res.free()
		return false
	}
	return true
}

// Release returns all bytes to the budget. Later calls of Reserve fail.
func (res *Reservation) Release() {
	if res == nil {
		return
	}
	res.released.Store(true)
	res.free()
}

func (res *Reservation) free() { res.budget.used.Add(-res.reserved.Swap(0)) }

// initialBuffer is the size of the first buffer for a body. It does not depend on the declared length, so that a false length
// cannot reserve memory before the bytes arrive.
const initialBuffer = 4 << 10

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
			grown, err := res.grow(body, maxSize)
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

// grow copies the body into a buffer of twice the size, at most maxSize bytes.
func (res *Reservation) grow(body []byte, maxSize int) ([]byte, error) {
	next := min(max(initialBuffer, 2*cap(body)), maxSize)
	if !res.Reserve(int64(next - cap(body))) {
		return nil, ErrBudget
	}
	return append(make([]byte, 0, next), body...), nil
}
