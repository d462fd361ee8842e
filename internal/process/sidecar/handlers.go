package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/entry"
	"github.com/wigeoncleat/wigeoncleat/internal/connection/link"
	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// entryHandler handles requests of callers and of the target on this VM. It implements entry.Handler.
type entryHandler struct{ s *Sidecar }

// stopRetryAfter is when callers should come back that were refused because the node stops: it has exited by then, and they connect to
// another one.
const stopRetryAfter = 300 * time.Millisecond

// interfaceEntry is the metrics label of this interface.
const interfaceEntry = "entry"

// Serve implements entry.Handler.
func (h entryHandler) Serve(ctx context.Context, r *entry.Request) *entry.Response {
	req, err := h.s.opts.Codec.DecodeRequest(r)
	if err != nil {
		var reject *entry.RejectError
		if !errors.As(err, &reject) {
			reject = &entry.RejectError{Status: http.StatusBadRequest, Detail: err.Error()}
		}
		return h.Reject(reject.Status, reject.Detail)
	}
	req.Memory = h.s.memory.NewReservation(memory.Responses)
	var resp *message.Response
	if h.s.refusesNew(req) {
		resp = message.Refuse(message.ReasonLeaving, message.Errorf(message.StepAccept, "", "the node stops"))
		resp.RetryAfter = stopRetryAfter
	} else if resp = reserveResponse(req); resp == nil || h.s.path.IsCall(req.Attempt) { // a refused call would waste its run
		resp = h.s.path.Serve(ctx, req)
	}
	req.Memory.Shrink(int64(len(resp.Body)))
	if resp.Reason == message.ReasonCancelled && errors.Is(context.Cause(ctx), message.ErrStopping) {
		resp.Reason = message.ReasonLeaving
	}
	took := time.Since(r.Arrived)
	h.s.metrics.Request(interfaceEntry, resp, took)
	if req.Organisation != "" && req.Hop == 0 {
		h.s.metrics.Organisation(req.Organisation)
	}
	h.s.logRequest(req, resp, took)
	a := h.s.opts.Codec.EncodeResponse(req, resp)
	a.Memory, a.ID = req.Memory, req.Attempt
	return a
}

// Reject implements entry.Handler.
func (h entryHandler) Reject(status int, detail string) *entry.Response {
	a := &entry.Response{
		Status: status,
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body:   []byte(detail + "\n"),
	}
	if status == http.StatusServiceUnavailable {
		a.Header.Set(message.HeaderRetryAfter, "1")
	}
	h.s.failures.Log(h.s.log, event.RequestRejected, slog.Int("status", status), slog.String("detail", detail))
	return a
}

// Limits implements entry.Handler.
func (h entryHandler) Limits() entry.Limits {
	limits := routing.DefaultLimits()
	if t := h.s.routes.Load(); t != nil {
		limits = t.Limits
	}
	return entry.Limits(limits)
}

// version returns the active configuration version, or zero if there is none.
func (s *Sidecar) version() routing.Version {
	if t := s.routes.Load(); t != nil {
		return t.Version
	}
	return 0
}

// stamp returns the stamp of the active configuration; without one, that is the zero value.
func (s *Sidecar) stamp() routing.Stamp {
	if t := s.routes.Load(); t != nil {
		return t.Stamp
	}
	return routing.Stamp{}
}

// linkHandler handles requests and control messages of other nodes. It implements link.Handler.
type linkHandler struct{ s *Sidecar }

// interfacePeer is the metrics label of this interface.
const interfacePeer = "peer"

// HandleRequest implements link.Handler.
func (h linkHandler) HandleRequest(ctx context.Context, from link.Peer, req *message.Request) *message.Response {
	start := time.Now()
	if from.Zone == h.s.settings.Zone {
		h.s.recentCallers.record(from.Address, start)
	}
	r := reserveResponse(req) // the link has made the reservation and releases it
	if r == nil {
		r = h.s.path.Deliver(ctx, req)
	}
	req.Memory.Shrink(int64(len(r.Body)))
	h.s.metrics.Request(interfacePeer, r, time.Since(start))
	return r
}

// HandleControl implements link.Handler.
func (h linkHandler) HandleControl(from link.Peer, channel wire.Channel, payload []byte) {
	switch channel {
	case wire.ChannelView:
	case wire.ChannelFreshness:
		h.s.receiveFreshness(from.Address, payload)
		return
	case wire.ChannelQuota:
		h.s.receiveQuota(from.Address, payload)
		return
	default:
		return
	}
	select {
	case h.s.inbox <- inboundMessage{from.Address, payload}:
	default: // inbox full: the next comparison of digests makes up for the dropped message
	}
}
