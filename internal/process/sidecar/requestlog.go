package sidecar

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// failuresPerSecond limits the log lines for requests that were refused, retried, failed, or have an unknown outcome.
	failuresPerSecond = 20
	// samplesPerSecond limits the log lines for successful requests.
	samplesPerSecond = 1
)

// logRequest logs a finished request at its entry node: requests that were refused, failed or have an unknown outcome
// within one rate limit, and a sample of the others within a lower one.
func (s *Sidecar) logRequest(req *message.Request, r *message.Response, took time.Duration) {
	e, limiter := requestEvent(r), s.failures
	if e == event.RequestSampled {
		limiter = s.samples
	}
	attrs := []slog.Attr{
		slog.String("id", req.Attempt), slog.String("service", req.Service), slog.Int("hop", int(req.Hop)),
		slog.Int("priority", int(req.Priority)), slog.Uint64("version", uint64(s.version())),
		slog.Int64("took_ms", took.Milliseconds()), slog.Int64("left_ms", time.Until(req.Deadline).Milliseconds()),
		slog.Int("status", r.Status),
	}
	if req.Organisation != "" {
		attrs = append(attrs, slog.String("organisation", req.Organisation))
	}
	if r.DownstreamFailed {
		attrs = append(attrs, slog.Bool("below_failed", true))
	}
	if r.Err != nil {
		attrs = append(attrs, slog.String("reason", r.Reason.String()), slog.String("step", string(r.Err.Step)),
			slog.String("peer", r.Err.Peer), slog.String("detail", r.Err.Detail),
			slog.Int64("retry_after_ms", r.RetryAfter.Milliseconds()))
	}
	limiter.Log(s.log, e, attrs...)
}

func requestEvent(r *message.Response) event.Event {
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
