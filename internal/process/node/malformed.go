package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// maxHeaderBytes bounds the request line and the headers that are read. It is the largest value of the policy's limit on
	// headers, which is checked after they have been read.
	maxHeaderBytes = 1 << 20
	// refusalReadTime is how long the rest of a refused request is read and discarded. Closing a connection with unread data
	// resets it, and the caller could lose the refusal.
	refusalReadTime = 500 * time.Millisecond
)

// net/http answers a request that it cannot parse without calling the handler. Its response consists of a status line, these
// headers and a line of text.
var (
	serverErrorStart   = []byte("HTTP/1.1 ")
	serverErrorHeaders = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")
	serverErrorTooLong = []byte("431 ")
)

// refuseMalformed configures a server so that a request that it cannot parse gets a refusal in the format of docs/callers.md
// and not the plain text of net/http. The server's listener must be a refusingListener.
func refuseMalformed(s *khttp.Server) *khttp.Server {
	s.MaxHeaderBytes = maxHeaderBytes
	s.DisableGeneralOptionsHandler = true // pass OPTIONS * to the handler too
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if rc, ok := c.(*refusingConn); ok && state == http.StateIdle {
			rc.inHandler.Store(false)
		}
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rc, ok := r.Context().Value(connKey{}).(*refusingConn); ok {
			rc.inHandler.Store(true)
		}
		next.ServeHTTP(w, r)
	})
	return s
}

type connKey struct{}

// refusingListener wraps accepted connections in a refusingConn.
type refusingListener struct {
	net.Listener
	peer string // address of this node, named in refusals
}

// Accept implements net.Listener.
func (l refusingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &refusingConn{TCPConn: tcp, peer: l.peer}, err
	}
	return c, err
}

// refusingConn replaces error responses that net/http writes by itself, which it does only while no request of the connection
// is in the handler. Everything written from the call of the handler to the end of its response is passed on unchanged, even
// if it looks like such an error response.
type refusingConn struct {
	*net.TCPConn
	peer      string
	inHandler atomic.Bool // a request was passed to the handler and its response is not complete
}

// Write implements net.Conn.
func (c *refusingConn) Write(b []byte) (int, error) {
	if c.inHandler.Load() {
		return c.TCPConn.Write(b)
	}
	line, text, ok := bytes.Cut(b, serverErrorHeaders)
	status, found := bytes.CutPrefix(line, serverErrorStart)
	if !ok || !found {
		return c.TCPConn.Write(b)
	}
	refusal := message.Refuse(message.ReasonInvalid, message.Errorf(message.StepAccept, c.peer, "%s", text))
	if bytes.HasPrefix(status, serverErrorTooLong) {
		refusal = message.Refuse(message.ReasonTooLarge,
			message.Errorf(message.StepAccept, c.peer, "URL and headers exceed %d bytes", maxHeaderBytes))
	}
	if err := c.refuse(refusal); err != nil {
		return 0, err
	}
	return len(b), nil
}

// refuse writes a refusal as the last response on the connection. It has no request ID, because the ID is not known.
func (c *refusingConn) refuse(refusal *message.Response) error {
	w := &responseBuffer{header: http.Header{}}
	writeResponse(w, nil, message.ID{}, refusal)
	r := http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header,
		Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()), Close: true,
	}
	if err := r.Write(c.TCPConn); err != nil {
		return err
	}
	// Errors mean that the caller has closed the connection.
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(refusalReadTime))
	_, _ = io.Copy(io.Discard, c.TCPConn)
	return nil
}

// responseBuffer is an http.ResponseWriter that buffers the response in memory.
type responseBuffer struct {
	status int
	header http.Header
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *responseBuffer) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseBuffer) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *responseBuffer) Write(b []byte) (int, error) { return w.body.Write(b) }
