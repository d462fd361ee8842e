package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// host is the host of all routes.
const host = "lab.example"

// client sends requests to the outbound address of one machine.
type client struct {
	rec     *record
	name    string
	address string
}

// answer is what a client got for a request.
type answer struct {
	status int // zero: none
	stamp  string
	body   string
	err    error
	sent   time.Time
	at     time.Time
}

func request(id, method, path string, left time.Duration, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n",
		method, path, host, words["attempt"], id, words["time_left"], left.Milliseconds(), more)
}

// once sends one request on a new connection and waits for its answer.
func (c *client) once(ctx context.Context, id, method, path string, left time.Duration) answer {
	a := c.exchange(ctx, id, method, path, left)
	own := ""
	if a.status != 0 && a.stamp == "" {
		own = fmt.Sprintf(", the node's own: %q", a.body)
	}
	c.rec.printf("%s gets %d for %s after %.3f s, stamp %q, error %v%s", c.name, a.status, id, a.at.Sub(a.sent).Seconds(), a.stamp, a.err, own)
	return a
}

func (c *client) exchange(ctx context.Context, id, method, path string, left time.Duration) (a answer) {
	a.sent = time.Now()
	defer func() { a.at = time.Now() }()
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(left + time.Second))
	c.rec.printf("%s sends %s to %s: %s, time left %d ms", c.name, id, c.address, method, left.Milliseconds())
	a.sent = time.Now()
	if _, a.err = io.WriteString(conn, request(id, method, path, left, "")); a.err != nil {
		return a
	}
	return readAnswer(bufio.NewReader(conn), a)
}

func readAnswer(br *bufio.Reader, a answer) answer {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.stamp, a.body = resp.StatusCode, resp.Header.Get(words["stamp"]), string(body)
	return a
}

// ready reports whether a node says that it is ready.
func ready(address string) bool {
	hc := http.Client{Timeout: time.Second}
	resp, err := hc.Get("http://" + address + words["ready"])
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func number(prefix string, i int) string { return prefix + strconv.Itoa(i) }
