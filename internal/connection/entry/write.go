package entry

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// buffers pools the buffers of writeResponse.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBuffer is the capacity, in bytes, above which a buffer is not returned to the pool.
const maxPooledBuffer = 64 << 10

// writeResponse writes a response with a single call of Write. If last is set, the response announces the end of the
// connection.
func writeResponse(nc net.Conn, r *http.Request, a *Response, last bool) error {
	b := buffers.Get().(*bytes.Buffer)
	defer func() {
		if b.Cap() <= maxPooledBuffer {
			buffers.Put(b)
		}
	}()
	b.Reset()
	b.WriteString("HTTP/1.1 ")
	b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(a.Status), 10))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(a.Status))
	b.WriteString("\r\n")
	bodyless := r.Method == http.MethodHead || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
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
	if !bodyless {
		b.Write(a.Body)
	}
	_, err := nc.Write(b.Bytes())
	return err
}
