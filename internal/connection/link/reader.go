package link

import (
	"context"
	"log/slog"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
)

// reader reads the frames of a connection and records when the last one arrived.
type reader struct {
	conn      Conn
	peer      Peer
	log       *slog.Logger
	lastFrame atomicTime // arrival of the last message; initially the creation of the reader
}

func newReader(conn Conn, peer Peer, log *slog.Logger) *reader {
	return &reader{conn: conn, peer: peer, log: log, lastFrame: atomicTime{base: time.Now()}}
}

func (r *reader) lastFrameTime() time.Time { return r.lastFrame.load() }

// run calls handle for each frame until the connection is closed, a frame is invalid or handle fails.
func (r *reader) run(handle func(wire.Frame) error) error {
	for {
		// No cancellable context: with one, the WebSocket library makes 14 allocations for each frame. Closing the
		// connection at the end of the link ends the read.
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
