package event

import (
	"log/slog"
	"sync"
	"time"
)

// Limiter bounds the number of log lines per second and counts those that it suppresses. It is safe for concurrent use.
type Limiter struct {
	perSecond int

	mu         sync.Mutex
	second     int64
	written    int
	suppressed int
}

// NewLimiter returns a limiter that allows the given number of lines in each second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Log writes the event unless the limit of the current second is reached. If lines were suppressed, the first call in a later
// second logs their number before its own line.
func (l *Limiter) Log(log *slog.Logger, e Event, attrs ...slog.Attr) {
	suppressed, ok := l.allow(time.Now().Unix())
	if suppressed > 0 {
		Log(log, LinesSuppressed, slog.Int("lines", suppressed))
	}
	if ok {
		Log(log, e, attrs...)
	}
}

// allow reports whether a line may be written, and how many lines were suppressed before the current second.
func (l *Limiter) allow(second int64) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second {
		suppressed, l.suppressed = l.suppressed, 0
		l.second, l.written = second, 0
	}
	if l.written >= l.perSecond {
		l.suppressed++
		return suppressed, false
	}
	l.written++
	return suppressed, true
}
