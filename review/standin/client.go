package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one attempt of a client.
type request struct {
	attempt  string
	path     string
	body     []byte // a request with a body is a POST, any other one a GET
	timeLeft time.Duration
}

// answer is what a client got.
type answer struct {
	status int    // 0: no complete answer
	stamp  string // of the backend; empty: the answer is the node's
	err    error
	sent   time.Time
	ended  time.Time
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no complete answer (%v)", a.err)
	}
	from := "of the node"
	if a.stamp != "" {
		from = "of a backend"
	}
	return fmt.Sprintf("%d %s", a.status, from)
}

// connection is a connection of a client to the node of a machine. It never sends a request twice.
type connection struct {
	conn net.Conn
	br   *bufio.Reader
}

// connectTimeout is the time that clients allow for a new connection.
const connectTimeout = time.Second

func connect(m *machine) (*connection, error) {
	c, err := net.DialTimeout("tcp", m.at(portClients), connectTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{c, bufio.NewReader(c)}, nil
}

// encode returns a request as it is written.
func (r request) encode() []byte {
	var b bytes.Buffer
	method := http.MethodGet
	if r.body != nil {
		method = http.MethodPost
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, r.path, host, words.Attempt, r.attempt, words.TimeLeft,
		r.timeLeft.Milliseconds())
	if r.body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// send sends a request and reads the answer. The second result reports whether the connection may be used again.
func (c *connection) send(r request) (a answer, again bool) {
	a.sent = time.Now()
	_ = c.conn.SetDeadline(a.sent.Add(r.timeLeft))
	_, err := c.conn.Write(r.encode())
	if err == nil && len(r.body) > 0 {
		_, err = c.conn.Write(r.body)
	}
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.br, &http.Request{Method: http.MethodGet})
	}
	if err == nil {
		a.status, a.stamp, again = resp.StatusCode, resp.Header.Get(words.Stamp), !resp.Close
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err == nil && a.stamp != "" && resp.Header.Get(words.Attempt) != r.attempt {
		err = fmt.Errorf("answer to %q", resp.Header.Get(words.Attempt))
	}
	a.ended = time.Now()
	if err != nil {
		a.status, a.err, again = 0, err, false
	}
	return a, again
}

// send sends a request on a new connection and reads the answer.
func send(m *machine, r request) answer {
	c, err := connect(m)
	if err != nil {
		return answer{err: err, sent: time.Now(), ended: time.Now()}
	}
	defer c.conn.Close()
	a, _ := c.send(r)
	return a
}
