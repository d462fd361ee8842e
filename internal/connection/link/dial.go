package link

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"

	"github.com/coder/websocket"
)

// Path is the path of the peer interface.
const Path = "/-/peer"

// WebSocketDialer returns a Dialer that opens WebSocket connections.
func WebSocketDialer() Dialer {
	client := &http.Client{Transport: &http.Transport{DialContext: dialSocket}}
	return func(ctx context.Context, address string) (Conn, error) {
		var s *socket
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) { s, _ = info.Conn.(*socket) },
		})
		c, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: client})
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		if s == nil {
			return newWebSocket(c), nil
		}
		return dialedSocket{webSocket: newWebSocket(c), s: s}, nil
	}
}

// ServeHTTP upgrades a request of a peer to a link and serves it.
func (p *Pool) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered
	}
	_ = p.Accept(r.Context(), newWebSocket(c)) // logged where it arose
}
