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
	// maxHeaderBytes bounds the request line and the headers that are read, in bytes. It is the largest value of the policy's limit
	// on headers, which is checked once they were read.
	maxHeaderBytes = 1 << 20
	// refusalReadTime is how long the rest of a refused request is read and dropped. A connection that is closed with unread bytes
	// is reset, and the caller could lose the refusal.
	refusalReadTime = 500 * time.Millisecond
)

// The HTTP server answers a request that it cannot read by itself, before the handler sees it, with a status line, the
// headers below and a line of text.
var (
	serverErrorStart   = []byte("HTTP/1.1 ")
	serverErrorHeaders = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")
	serverErrorTooLong = []byte("431 ")
)

// refuseMalformed makes a server refuse requests that it cannot read in the form of docs/callers.md. Its listener must be
// a refusingListener.
func refuseMalformed(s *khttp.Server) *khttp.Server {
	s.MaxHeaderBytes = maxHeaderBytes
	s.DisableGeneralOptionsHandler = true // OPTIONS * goes to the handler too
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

// refusingListener accepts connections on which the server's own errors are replaced.
type refusingListener struct {
	net.Listener
	peer string // address of this node
}

// Accept implements net.Listener.
func (l refusingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &refusingConn{TCPConn: tcp, peer: l.peer}, err
	}
	return c, err
}

// refusingConn replaces what the server writes while the handler has no request of the connection: its own errors. What is
// written for a request of the handler, up to the end of the response, is passed on as it is, whatever it looks like.
type refusingConn struct {
	*net.TCPConn
	peer      string
	inHandler atomic.Bool // a request was handed to the handler and its response has not been written
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

// refuse writes a refusal as the last response of the connection. The request's ID is not known.
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
	// Errors mean that the caller has left.
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(refusalReadTime))
	_, _ = io.Copy(io.Discard, c.TCPConn)
	return nil
}

// responseBuffer is a http.ResponseWriter that keeps the response.
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
