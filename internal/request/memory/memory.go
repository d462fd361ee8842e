// Package memory bounds the bytes that a process holds for the bodies of messages. A Budget belongs to the process, a Hold
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
	ErrBudget = errors.New("no memory left for bodies")
	ErrSize   = errors.New("body exceeds its limit")
)

// Budget is the memory of a process for bodies.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Hold returns an empty hold. A nil Budget returns nil, which counts nothing.
func (b *Budget) Hold() *Hold {
	if b == nil {
		return nil
	}
	return &Hold{budget: b}
}

// Hold counts the bytes that are held for one request. A nil Hold takes any number.
type Hold struct {
	budget   *Budget
	taken    atomic.Int64
	released atomic.Bool
}

// Take adds n bytes and reports whether the budget had them.
func (h *Hold) Take(n int64) bool {
	if h == nil {
		return true
	}
	if h.budget.used.Add(n) > h.budget.limit {
		h.budget.used.Add(-n)
		return false
	}
	h.taken.Add(n)
	if h.released.Load() { // the request ended meanwhile; what is read for it is dropped
		h.give()
		return false
	}
	return true
}

// Release gives back all bytes. The hold takes nothing afterwards.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.released.Store(true)
	h.give()
}

func (h *Hold) give() { h.budget.used.Add(-h.taken.Swap(0)) }

// firstRead is the size of the first buffer for a body. A stated length is not believed until the bytes arrive.
const firstRead = 4 << 10

// ReadAll reads a body of at most limit bytes, whose length is size, or unknown if size is negative. Memory is taken as bytes
// arrive. A body that is shorter than its size fails with io.ErrUnexpectedEOF.
func (h *Hold) ReadAll(r io.Reader, size int64, limit int) ([]byte, error) {
	if size > int64(limit) {
		return nil, ErrSize
	}
	most := limit + 1 // one more byte shows that the limit is passed
	if size >= 0 {
		most = int(size)
	}
	var body []byte
	for len(body) < most {
		if len(body) == cap(body) {
			grown, err := h.grow(body, most)
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
		case errors.Is(err, io.EOF) && len(body) < most:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, io.EOF):
			return nil, err
		}
	}
	return body, nil
}

// grow returns the bytes in a buffer of twice the size, at most that of the whole body.
func (h *Hold) grow(body []byte, most int) ([]byte, error) {
	next := min(max(firstRead, 2*cap(body)), most)
	if !h.Take(int64(next - cap(body))) {
		return nil, ErrBudget
	}
	return append(make([]byte, 0, next), body...), nil
}
