package sidecar

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/wigeoncleat/wigeoncleat/platform/standin"
)

// sendHeaders sends a header of many short lines up to the given size and then a line now and then, but never its end.
func sendHeaders(bytes int) func(net.Conn, string) {
	return func(conn net.Conn, name string) {
		head := strings.TrimSuffix(standin.Head("site.example", "GET", "/menu/x", name, callerTimeout, 0), "\r\n")
		var text strings.Builder
		text.WriteString(head)
		for i := 0; text.Len() < bytes; i++ {
			fmt.Fprintf(&text, "%x:\r\n", i)
		}
		_, err := io.WriteString(conn, text.String())
		for i := 0; err == nil; i++ {
			time.Sleep(500 * time.Millisecond)
			_, err = fmt.Fprintf(conn, "y%d:\r\n", i)
		}
	}
}

// sendBody sends the header and the first part of a body and then a byte now and then.
func sendBody(first, bytes int) func(net.Conn, string) {
	return func(conn net.Conn, name string) {
		_, err := io.WriteString(conn, standin.Head("site.example", "POST", "/order/x", name, callerTimeout, bytes))
		if err == nil {
			_, err = conn.Write(make([]byte, first))
		}
		for ; err == nil; time.Sleep(500 * time.Millisecond) {
			_, err = io.WriteString(conn, "x")
		}
	}
}

// Guards against headers that arrive slowly and take up the memory and the descriptors of the node.
func TestSlowSendersOfHeaders(t *testing.T) {
	s := newLimitedSite(t, 2, limits{memoryMB: 64, descriptors: 400, bodyBytes: 1 << 20})
	c := newCrowd(t, s)
	c.join(500, at(s.vms[0].ip, portCallers), sendHeaders(15<<10))
	c.watch(6 * time.Second)
}

// Guards against bodies that arrive slowly and take up the memory and the descriptors of the node.
func TestSlowSendersOfBodies(t *testing.T) {
	s := newLimitedSite(t, 2, limits{memoryMB: 64, descriptors: 400, bodyBytes: 16 << 20})
	c := newCrowd(t, s)
	c.join(500, at(s.vms[0].ip, portCallers), sendBody(256<<10, 8<<20))
	c.watch(6 * time.Second)
}

// Guards against connections to the interfaces for readiness, reports and metrics that never complete a request and take up all
// descriptors.
func TestSlowSendersAtOtherInterfaces(t *testing.T) {
	s := newLimitedSite(t, 2, limits{memoryMB: 64, descriptors: 400, bodyBytes: 1 << 20})
	c := newCrowd(t, s)
	for _, port := range []string{fmt.Sprint(portReadiness), fmt.Sprint(portControl), "9464"} {
		c.join(150, net.JoinHostPort(s.vms[0].ip, port), sendHeaders(1<<10))
	}
	c.watch(6 * time.Second)
}
