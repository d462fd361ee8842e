package link

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
)

// reader reads the frames of a connection and remembers when it last heard one.
type reader struct {
	conn Conn
	peer Peer
	log  *slog.Logger
	last atomic.Int64 // UnixNano of the last frame, at first of the start
}

func newReader(conn Conn, peer Peer, log *slog.Logger) *reader {
	r := &reader{conn: conn, peer: peer, log: log}
	r.last.Store(time.Now().UnixNano())
	return r
}

// heard returns the time of the last frame.
func (r *reader) heard() time.Time { return time.Unix(0, r.last.Load()) }

// run hands the frames to the function until the connection is closed, a frame is invalid or the function fails.
func (r *reader) run(handle func(wire.Frame) error) error {
	for {
		// The end of a link closes its connection, which ends the read. A context that can end costs the library 14
		// allocations for each frame.
		b, err := r.conn.Read(context.Background())
		if err != nil {
			return err
		}
		r.last.Store(time.Now().UnixNano())
		f, err := wire.Decode(b)
		if err != nil {
			event.Log(r.log, event.FrameInvalid, slog.String("peer", r.peer.Address), slog.String("error", err.Error()))
			return err
		}
		if err := handle(f); err != nil {
			return err
		}
	}
}
