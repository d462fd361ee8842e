package sidecar

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

const (
	// failuresPerSecond bounds the lines on requests that were refused or failed.
	failuresPerSecond = 20
	// samplesPerSecond bounds the lines on requests that were answered.
	samplesPerSecond = 1
)

// requestLog writes one line for each request that was refused or failed, and for a sample of the others. Above a rate the
// lines are left out and counted.
type requestLog struct {
	log *slog.Logger

	mu       sync.Mutex
	second   int64
	failures int
	samples  int
	left     int // lines left out since the last count was written
}

func newRequestLog(log *slog.Logger) *requestLog { return &requestLog{log: log} }

// ended writes the line of a request that has ended at its entry node.
func (l *requestLog) ended(req *message.Request, r *message.Response, took time.Duration, version routing.Version) {
	e := eventOf(r)
	left, ok := l.take(e == event.RequestSampled, time.Now().Unix())
	if left > 0 {
		event.Log(l.log, event.LinesSuppressed, slog.Int("lines", left))
	}
	if !ok {
		return
	}
	attrs := []slog.Attr{
		slog.String("id", req.Attempt), slog.String("service", req.Service), slog.Int("hop", int(req.Hop)),
		slog.Int("priority", int(req.Priority)), slog.Uint64("version", uint64(version)),
		slog.Int64("took_ms", took.Milliseconds()), slog.Int64("left_ms", time.Until(req.Deadline).Milliseconds()),
		slog.Int("status", r.Status),
	}
	if r.Err != nil {
		attrs = append(attrs, slog.String("reason", r.Reason.String()), slog.String("step", string(r.Err.Step)),
			slog.String("peer", r.Err.Peer), slog.String("detail", r.Err.Detail),
			slog.Int64("retry_after_ms", r.RetryAfter.Milliseconds()))
	}
	event.Log(l.log, e, attrs...)
}

func eventOf(r *message.Response) event.Event {
	switch {
	case r.Outcome == message.NotRun:
		return event.RequestRefused
	case r.Outcome == message.Unknown:
		return event.RequestUnknown
	case r.Status >= http.StatusInternalServerError:
		return event.RequestFailed
	default:
		return event.RequestSampled
	}
}

// take reports whether a line may be written, and how many were left out if that is due to be written.
func (l *requestLog) take(sample bool, second int64) (left int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second {
		left, l.left = l.left, 0
		l.second, l.failures, l.samples = second, 0, 0
	}
	n, limit := &l.failures, failuresPerSecond
	if sample {
		n, limit = &l.samples, samplesPerSecond
	}
	if *n >= limit {
		if !sample {
			l.left++
		}
		return left, false
	}
	*n++
	return left, true
}
