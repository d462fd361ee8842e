package link

import (
	"context"
	"fmt"
	"net/http"

	"github.com/coder/websocket"
)

// Path is the path of the peer interface.
const Path = "/-/peer"

// WebSocketDialer returns a Dialer that opens WebSocket connections with the client.
func WebSocketDialer(client *http.Client) Dialer {
	return func(ctx context.Context, address string) (Conn, error) {
		c, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: client})
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		return NewWebSocket(c), nil
	}
}

// ServeHTTP upgrades a request of a peer to a link and serves it.
func (p *Pool) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered
	}
	_ = p.Accept(r.Context(), NewWebSocket(c)) // logged where it arose
}
