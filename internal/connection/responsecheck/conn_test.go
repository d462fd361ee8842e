package responsecheck

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/standin/rawserver"
)

// stream is a connection from which the pieces of a text are read, each of at most size bytes.
type stream struct {
	net.Conn
	io.Reader
	size int
}

func (s stream) Read(p []byte) (int, error) { return s.Reader.Read(p[:min(len(p), s.size)]) }

// readAll reads responses up to the first that is not informational, and its body.
func readAll(br *bufio.Reader, method string) (resp *http.Response, body []byte, err error) {
	for {
		resp, err = http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			body, err = io.ReadAll(resp.Body)
			return resp, body, err
		}
	}
}

// Guards against responses that the check takes to end elsewhere than net/http does, however the stream is cut into reads: a body that is
// not the server's, or the rest of a response that is taken for the next one.
func FuzzCheckAgreesWithTheParser(f *testing.F) {
	for _, texts := range []map[string]string{rawserver.Malformed("X: y\r\n"), rawserver.Unusual("X: y\r\n")} {
		for _, text := range texts {
			f.Add([]byte(text), 5, false)
			f.Add([]byte(text+"HTTP/1.1 204 No Content\r\n\r\n"), 1000, true)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte, size int, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		in := bytes.NewReader(text)
		c := NewConn(stream{Reader: in, size: 1 + size&0xfff})
		c.Begin(&http.Request{Method: method})
		br := bufio.NewReader(c)
		checked, body, err := readAll(br, method)
		if err != nil {
			return
		}
		plain := bufio.NewReader(bytes.NewReader(text))
		resp, wantBody, err := readAll(plain, method)
		require.NoError(t, err)
		require.Equal(t, resp.StatusCode, checked.StatusCode)
		require.Equal(t, resp.Header, checked.Header)
		require.Equal(t, wantBody, body)
		require.Equal(t, resp.Trailer, checked.Trailer)
		rest, err := io.ReadAll(plain)
		require.NoError(t, err)
		unread, err := io.ReadAll(in)
		require.NoError(t, err)
		require.Zero(t, br.Buffered())
		require.Equal(t, string(rest), string(c.Behind())+string(unread))
	})
}
