package entry

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// buffers pools the buffers of writeResponse.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBuffer is the capacity, in bytes, above which a buffer is not returned to the pool.
const maxPooledBuffer = 64 << 10

// writePiece is the size of the parts in which a long body is written. The first one is copied behind the header, so that an ordinary
// response takes a single call of Write.
const writePiece = 16 << 10

// statusLineStart begins every response.
const statusLineStart = "HTTP/1.1 "

// writeResponse writes a response. If last is set, the response announces the end of the connection. It fails if the caller does not
// take writePiece bytes within the stall time.
func (c *conn) writeResponse(method string, a *Response, last bool) error {
	b := buffers.Get().(*bytes.Buffer)
	defer func() {
		if b.Cap() <= maxPooledBuffer {
			buffers.Put(b)
		}
	}()
	b.Reset()
	b.WriteString(statusLineStart)
	b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(a.Status), 10))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(a.Status))
	b.WriteString("\r\n")
	bodyless := method == http.MethodHead || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	for name, values := range a.Header {
		if name == "Content-Length" && !bodyless {
			continue
		}
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if !bodyless {
		b.WriteString("Content-Length: ")
		b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(len(a.Body)), 10))
		b.WriteString("\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	var rest []byte
	if !bodyless {
		first := min(len(a.Body), writePiece)
		b.Write(a.Body[:first])
		rest = a.Body[first:]
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	piece := b.Bytes()[c.sentAhead:]
	for c.sentAhead = 0; ; {
		_ = c.nc.SetWriteDeadline(time.Now().Add(c.srv.stallTime))
		n, err := c.nc.Write(piece)
		c.out.moved.Add(int64(n))
		if err != nil || len(rest) == 0 {
			return err
		}
		piece = rest[:min(len(rest), writePiece)]
		rest = rest[len(piece):]
	}
}
