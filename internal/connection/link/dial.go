package link

import (
	"context"
	"fmt"
	"net/http"

	"github.com/coder/websocket"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/responsecheck"
)

// Path is the URL path of the peer interface.
const Path = "/-/peer"

// maxHandshakeBytes bounds the header with which a peer accepts a link. What answers at the address may be no node.
const maxHandshakeBytes = 16 << 10

// WebSocketDialer returns a Dialer that opens WebSocket connections.
func WebSocketDialer() Dialer {
	client := &http.Client{Transport: responsecheck.NewTransport(&http.Transport{
		Proxy: nil, DisableCompression: true, MaxResponseHeaderBytes: maxHandshakeBytes,
	})}
	return func(ctx context.Context, address string) (Conn, error) {
		c, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: client})
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		return NewWebSocket(c), nil
	}
}

// ServeHTTP upgrades a peer's HTTP request to a link and serves it until the link ends.
func (p *Pool) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // websocket.Accept has sent the error
	}
	_ = p.Accept(r.Context(), NewWebSocket(c)) // Accept logs refused links and silent peers
}
