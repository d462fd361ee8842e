package event

import (
	"log/slog"
	"sync"
	"time"
)

// Limiter bounds the lines that are written in a second, and counts those that are left out. It is safe for concurrent use.
type Limiter struct {
	perSecond int

	mu     sync.Mutex
	second int64
	lines  int
	left   int
}

// NewLimiter returns a limiter.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Log writes the event unless the lines of the present second are used up. The first line of a later second is preceded by
// the number of those that were left out.
func (l *Limiter) Log(log *slog.Logger, e Event, attrs ...slog.Attr) {
	left, ok := l.take(time.Now().Unix())
	if left > 0 {
		Log(log, LinesSuppressed, slog.Int("lines", left))
	}
	if ok {
		Log(log, e, attrs...)
	}
}

// take reports whether a line may be written, and how many were left out before the present second.
func (l *Limiter) take(second int64) (left int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second {
		left, l.left = l.left, 0
		l.second, l.lines = second, 0
	}
	if l.lines >= l.perSecond {
		l.left++
		return left, false
	}
	l.lines++
	return left, true
}
