package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a caller got for a request.
type answer struct {
	attempt string
	status  int // 0: no complete answer
	stamped bool
	err     error
	at      time.Time // when it was complete, or the connection ended
	close   bool      // it announced the end of the connection
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("%s: no complete answer: %v", a.attempt, a.err)
	}
	return fmt.Sprintf("%s: status %d, stamped %v, closes %v", a.attempt, a.status, a.stamped, a.close)
}

// caller is a caller with one open connection to a node.
type caller struct {
	l  *lab
	nc net.Conn
	br *bufio.Reader
}

func (l *lab) connect(n *node) (*caller, error) {
	nc, err := net.DialTimeout("tcp", at(n.ip, portCallers), time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{l: l, nc: nc, br: bufio.NewReader(nc)}, nil
}

// head returns the head of a request without a body.
func head(method, path, attempt string, budget time.Duration, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: site.example\r\n%s: %s\r\n%s: %d\r\n%s\r\n",
		method, path, names["attempt"], attempt, names["budget"], budget.Milliseconds(), fields)
}

func (c *caller) send(text string) error {
	_, err := io.WriteString(c.nc, text)
	return err
}

// receive reads the answer to the given attempt.
func (c *caller) receive(attempt string) answer {
	a := answer{attempt: attempt}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: http.MethodGet})
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	a.at = time.Now()
	if err != nil {
		a.err = err
	} else {
		a.status, a.stamped, a.close = resp.StatusCode, resp.Header.Get(names["stamp"]) != "", resp.Close
	}
	c.l.note("caller: %v", a)
	return a
}

// get sends a request over a new connection and reads the answer.
func (l *lab) get(n *node, path, attempt string, budget time.Duration) answer {
	c, err := l.connect(n)
	if err != nil {
		return answer{attempt: attempt, err: err}
	}
	defer c.nc.Close()
	if err := c.send(head(http.MethodGet, path, attempt, budget, "")); err != nil {
		return answer{attempt: attempt, err: err}
	}
	return c.receive(attempt)
}

// awaitServed waits until the node answers requests to the path with 200.
func (l *lab) awaitServed(n *node, path string) error {
	i := 0
	return await(15*time.Second, "node "+n.ip+" serves "+path, func() bool {
		i++
		return n.ready() && l.get(n, path, fmt.Sprintf("warm-%s-%d", n.ip, i), 2*time.Second).status == http.StatusOK
	})
}
