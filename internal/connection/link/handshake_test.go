package link

import (
	"bufio"
	"crypto/sha1"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/standin/rawserver"
)

// Guards against a link to something that is no node: what accepts it sends a head that no node sends.
func TestHandshakeWithAMalformedHeadFails(t *testing.T) {
	const accepted = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
	for name, c := range map[string]struct {
		before, fields string
		fails          bool
	}{
		"well-formed":           {"", "", false},
		"interim":               {"HTTP/1.1 103 Early Hints\r\n\r\n", "", false},
		"blank in a name":       {"", "Bad Name: x\r\n", true},
		"blank behind a name":   {"", "Upgrade : x\r\n", true},
		"blank in an interim":   {"HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n", "", true},
		"status below 100":      {"HTTP/1.1 000 Odd\r\n\r\n", "", true},
		"empty name":            {"", ": x\r\n", true},
		"control byte in value": {"", "X: a\x01b\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := rawserver.Start(func(conn *net.TCPConn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				sum := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
				_, _ = io.WriteString(conn, c.before+accepted+c.fields+"Sec-WebSocket-Accept: "+base64.StdEncoding.EncodeToString(sum[:])+"\r\n\r\n")
				_, _ = br.ReadByte() // until the connection is closed
			})
			t.Cleanup(s.Close)
			conn, err := WebSocketDialer()(t.Context(), s.Address())
			if err == nil {
				conn.Close()
			}
			require.Equal(t, c.fails, err != nil, "%v", err)
		})
	}
}
