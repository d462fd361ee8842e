// Package link multiplexes requests between two nodes over one WebSocket connection.
//
// A node dials one link to every peer that it sends requests to. The Pool keeps these links open, closes those whose peer
// has gone silent, dials a new one for the next request, and serves the links that peers dialed. All exported methods are
// safe for concurrent use.
package link

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/coder/websocket"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Conn is a message-oriented connection. At most one goroutine calls Read and at most one calls Write at a time.
type Conn interface {
	// Read returns the next message. Its bytes are valid until the next Read.
	Read(ctx context.Context) ([]byte, error)
	Write(ctx context.Context, b []byte) error
	// Close ends the connection at once, without waiting for the other side.
	Close()
}

// Dialer opens a connection to the peer interface of a node, the address on which it accepts links (see Path).
type Dialer func(ctx context.Context, address string) (Conn, error)

// Handler handles the requests that peers send on links that they dialed, and their control messages: one-way messages between
// the modules of two nodes (see wire.Channel).
type Handler interface {
	// HandleRequest returns the response to a request. Its context ends at the deadline, when the peer cancels the request, when
	// the pool is closed, and, if the request is idempotent, when the link is lost. Other requests go on without their link: the
	// peer may ask for the response on its next one.
	HandleRequest(ctx context.Context, from Peer, req *message.Request) *message.Response
	// HandleControl receives a control message. It must not block.
	HandleControl(from Peer, channel wire.Channel, payload []byte)
}

// Peer describes the other side of a link.
type Peer struct {
	Address     string // of its peer interface
	Incarnation uint64 // start of the process in Unix milliseconds; tells it from earlier processes at the same address
	Zone        string // availability zone

	grants bool // understands wire.Grant
}

// Config configures links.
type Config struct {
	Self Peer
	// HeartbeatInterval is the time after which the node that dialed the link sends a ping, if it has received no frame or
	// has written none for that time while a request waits for its response or a control message for any frame of the peer.
	// A shorter interval finds silent connections sooner and costs more messages. Default 250 ms.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the time after which a link is closed if no frame arrives while requests or control messages wait
	// on it, or if a write is blocked. It bounds how long a request waits on a silent connection. The node that accepted the
	// link waits one HeartbeatInterval longer for a frame, since the other node only pings after that interval. If a peer
	// pauses for longer, idempotent requests that wait for it end with an unknown outcome, so that their senders can retry
	// elsewhere; for other requests the peer is asked for the response on a new link. Default 1 s.
	HeartbeatTimeout time.Duration
	// IdleTimeout is the time without requests after which a link is closed, to free memory on both sides. Default 5 min.
	IdleTimeout time.Duration
	// MaxLinks is the number of links that this node keeps open to peers. Above it the least recently used idle links are
	// closed when another one is opened. A link takes about 41 KB at each end. Default 1,000.
	MaxLinks int
	// DialTimeout bounds the dial and the handshake of a link. Default 500 ms.
	DialTimeout time.Duration
	// DialBackoff is the time after a failed dial in which further requests to the peer fail at once. It is also the pause
	// between two attempts to get the response to a request whose link was lost. Default 100 ms.
	DialBackoff time.Duration
	// MaxBody bounds the body of a request or response, in bytes. Default 16 MiB.
	MaxBody int
	// Budget bounds the memory for bodies of requests of peers; nil: it is not bounded.
	Budget *memory.Budget
}

func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, 250*time.Millisecond)
	setDefault(&c.HeartbeatTimeout, time.Second)
	setDefault(&c.IdleTimeout, 5*time.Minute)
	setDefault(&c.DialTimeout, 500*time.Millisecond)
	setDefault(&c.DialBackoff, 100*time.Millisecond)
	if c.MaxLinks == 0 {
		c.MaxLinks = 1000
	}
	if c.MaxBody == 0 {
		c.MaxBody = 16 << 20
	}
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

var (
	errSilent   = errors.New("no frame within the heartbeat timeout")
	errStalled  = errors.New("a write took longer than the heartbeat timeout")
	errIdle     = errors.New("idle") // the link was unused for Config.IdleTimeout
	errClosed   = errors.New("link closed")
	errProtocol = errors.New("peer violated the protocol")
)

// maxRetainedReadBuffer bounds the read buffer that a link keeps between messages, in bytes: a node has a link to each of its
// peers.
const maxRetainedReadBuffer = 8 << 10

// webSocket adapts a WebSocket connection to Conn.
type webSocket struct {
	c   *websocket.Conn
	buf *bytes.Buffer // last message that was read
}

// NewWebSocket returns a Conn over a WebSocket connection.
func NewWebSocket(c *websocket.Conn) Conn {
	c.SetReadLimit(wire.MaxFrame)
	return webSocket{c: c, buf: new(bytes.Buffer)}
}

func (w webSocket) Read(ctx context.Context) ([]byte, error) {
	if w.buf.Cap() > maxRetainedReadBuffer {
		*w.buf = bytes.Buffer{}
	}
	w.buf.Reset()
	_, r, err := w.c.Reader(ctx)
	if err == nil {
		_, err = w.buf.ReadFrom(r)
	}
	return w.buf.Bytes(), err
}

func (w webSocket) Write(ctx context.Context, b []byte) error {
	return w.c.Write(ctx, websocket.MessageBinary, b)
}

func (w webSocket) Close() { _ = w.c.CloseNow() }
