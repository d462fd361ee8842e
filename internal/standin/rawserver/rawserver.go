// Package rawserver is a stand-in for servers whose HTTP responses are broken. It writes the bytes of responses to TCP connections itself.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
)

// Handler serves one connection, which is closed when it returns.
type Handler func(c *net.TCPConn, br *bufio.Reader)

// Server is a server on loopback.
type Server struct {
	listener net.Listener
	handler  Handler
}

// Start returns a server that calls the handler for each connection, until Close is called. It panics if it cannot listen.
func Start(h Handler) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic("rawserver: " + err.Error())
	}
	s := &Server{listener: l, handler: h}
	go s.accept()
	return s
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return // closed
		}
		go func() {
			defer c.Close()
			s.handler(c.(*net.TCPConn), bufio.NewReader(c))
		}()
	}
}

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops accepting connections.
func (s *Server) Close() { _ = s.listener.Close() }

// ReadHead reads the head of a request and leaves its body. It returns false if there is none.
func ReadHead(br *bufio.Reader) bool {
	_, err := http.ReadRequest(br)
	return err == nil
}

// Respond returns a handler that answers the first request with the text and waits until the connection is closed.
func Respond(text string) Handler {
	return func(c *net.TCPConn, br *bufio.Reader) {
		if ReadHead(br) {
			_, _ = io.WriteString(c, text) // fails if the client has closed the connection
			_, _ = br.ReadByte()
		}
	}
}

// Reset closes the connection with a reset, as the kernel does for a process that has not read all that it was sent.
func Reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails if the connection is closed
	_ = c.Close()
}

// Body is the body of the responses that Malformed and Unusual return: an empty JSON object.
const Body = "{}"

// malformedLines are lines of a head that are no fields (RFC 9110, section 5).
var malformedLines = map[string]string{
	"blank in the name":               "Bad Name: x",
	"blank behind the name":           "Bad : x",
	"tab in the name":                 "Bad\tName: x",
	"tab behind the name":             "Bad\t: x",
	"control byte in the name":        "Bad\x01Name: x",
	"delete in the name":              "Bad\x7f: x",
	"carriage return in the name":     "Bad\rName: x",
	"byte above ASCII in the name":    "Bad\xe9: x",
	"delimiter in the name":           "Bad(Name): x",
	"empty name":                      ": x",
	"no colon":                        "Bad",
	"like Content-Length":             "Content-Length : 1",
	"like Transfer-Encoding":          "Transfer-Encoding : chunked",
	"like Content-Length in two":      "Content Length: 1",
	"zero byte in the value":          "Name: x\x00y",
	"carriage return in the value":    "Name: x\ry",
	"other control byte in the value": "Name: x\x02y",
}

// malformedStatusLines are no status lines: a status has three digits and is 100 or above.
var malformedStatusLines = []string{
	"HTTP/1.1 000 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 20 Odd", "HTTP/1.1 2000 Odd", "HTTP/1.1 +20 Odd", "HTTP/1.1 -00 Odd", "HTTP/1.1 2x0 Odd",
	"HTTP/1.1 Odd", "HTTP/1.1", "HTTP/2.0 200 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 200 O\x01K",
}

// Malformed returns malformed responses, by what is wrong with them. Each contains a complete response with the given fields, each of
// which ends with CRLF, to a reader that passes over that.
func Malformed(fields string) map[string]string {
	const start, end = "HTTP/1.1 200 OK\r\n", "\r\n" + Body
	length := "Content-Length: 2\r\n"
	valid := start + fields + length + end
	all := map[string]string{
		"folded first line":          start + " x: y\r\n" + fields + length + end,
		"folded first line, interim": "HTTP/1.1 103 Early Hints\r\n\tx: y\r\n\r\n" + valid,
		"two lengths":                start + fields + length + "Content-Length: 1\r\n" + end,
		"signed length":              start + fields + "Content-Length: +2\r\n" + end,
		"unknown encoding":           start + fields + "Transfer-Encoding: x\r\n" + end,
		"encoding in HTTP/1.0":       "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n2\r\n" + Body + "\r\n0\r\n\r\n",
		"signed chunk size":          start + fields + "Transfer-Encoding: chunked\r\n\r\n+2\r\n" + Body + "\r\n0\r\n\r\n",
	}
	for name, line := range malformedLines {
		line += "\r\n"
		all[name+", first"] = start + line + fields + length + end
		all[name+", in the middle"] = start + fields + line + length + end
		all[name+", last"] = start + fields + length + line + end
		all[name+", interim"] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + valid
		all[name+", trailer"] = start + fields + "Transfer-Encoding: chunked\r\n\r\n2\r\n" + Body + "\r\n0\r\n" + line + "\r\n"
	}
	for _, line := range malformedStatusLines {
		all[line+", alone"] = line + "\r\n" + fields + length + end
		all[line+", before a response"] = line + "\r\n\r\n" + valid
		all[line+", interim"] = "HTTP/1.1 103 Early Hints\r\n\r\n" + line + "\r\n" + fields + length + end
	}
	return all
}

// Unusual returns responses that are unusual and valid, with the same body.
func Unusual(fields string) map[string]string {
	const length, end = "Content-Length: 2\r\n", "\r\n" + Body
	return map[string]string{
		"no reason":         "HTTP/1.1 200\r\n" + fields + length + end,
		"line feeds":        strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields+length+end, "\r\n", "\n"),
		"folded line":       "HTTP/1.1 200 OK\r\n" + fields + "Folded: a\r\n b\r\n" + length + end,
		"bytes above ASCII": "HTTP/1.1 200 Schön\r\n" + fields + "X: sch\xf6n\tund\r\n" + length + end,
		"token":             "HTTP/1.1 200 OK\r\n" + fields + "!#$%&'*+-.^_`|~9z: x\r\n" + length + end,
		"empty value":       "HTTP/1.1 200 OK\r\nX:\r\n" + fields + length + end,
		"length twice":      "HTTP/1.1 200 OK\r\n" + fields + length + length + end,
		"interim":           "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + length + end,
		"chunks":            "HTTP/1.1 200 OK\r\n" + fields + "transfer-encoding: Chunked\r\n\r\n1;x=y\r\n{\r\n01\r\n}\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n" + fields + length + end,
		"status 299":        "HTTP/1.1 299 Odd\r\n" + fields + length + end,
	}
}
