package link

import (
	"context"
	"log/slog"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
)

// reader reads the frames of a connection and remembers when it last heard one.
type reader struct {
	conn      Conn
	peer      Peer
	log       *slog.Logger
	lastFrame atomicTime // last frame, at first the start
}

func newReader(conn Conn, peer Peer, log *slog.Logger) *reader {
	return &reader{conn: conn, peer: peer, log: log, lastFrame: atomicTime{base: time.Now()}}
}

// lastFrameTime returns the time of the last frame.
func (r *reader) lastFrameTime() time.Time { return r.lastFrame.load() }

// run hands the frames to the function until the connection is closed, a frame is invalid or the function fails.
func (r *reader) run(handle func(wire.Frame) error) error {
	for {
		// The end of a link closes its connection, which ends the read. A context that can end costs the library 14
		// allocations for each frame.
		b, err := r.conn.Read(context.Background())
		if err != nil {
			return err
		}
		r.lastFrame.setNow()
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
