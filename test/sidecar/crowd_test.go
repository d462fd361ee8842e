package sidecar

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/platform/standin"
)

// crowd is a number of callers that hold their connections until it leaves.
type crowd struct {
	t     *testing.T
	s     *site
	left  chan struct{}
	calls sync.WaitGroup
	count atomic.Int64
}

func newCrowd(t *testing.T, s *site) *crowd {
	return &crowd{t: t, s: s, left: make(chan struct{})}
}

// join opens connections to an address and runs the caller on each of them until it returns or the crowd leaves.
func (c *crowd) join(callers int, address string, caller func(conn net.Conn, name string)) {
	for range callers {
		name := fmt.Sprintf("crowd-%d%s", c.count.Add(1), originSuffix(0))
		c.calls.Go(func() {
			conn, err := net.DialTimeout("tcp", address, 5*time.Second)
			if err != nil {
				return
			}
			defer conn.Close()
			_ = conn.(*net.TCPConn).SetReadBuffer(callerBuffer)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				caller(conn, name)
			}()
			<-c.left
			_ = conn.Close()
			<-ended
		})
	}
}

// callerBuffer is the receive buffer of the crowd's connections, in bytes.
const callerBuffer = 4 << 10

// watch checks for some time that no node exceeds the memory and the descriptors of its settings. Then the crowd leaves, and each node
// must answer an ordinary request.
func (c *crowd) watch(d time.Duration) {
	c.t.Helper()
	memory, descriptors := make([]int64, len(c.s.vms)), make([]int, len(c.s.vms))
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for i, v := range c.s.vms {
			memory[i], descriptors[i] = max(memory[i], v.residentMemory()), max(descriptors[i], v.descriptors())
		}
	}
	close(c.left)
	c.calls.Wait()
	for i := range c.s.vms {
		c.t.Logf("node %d: at most %.1f of %d MB resident, %d of %d descriptors", i, float64(memory[i])/(1<<20), c.s.limits.memoryMB,
			descriptors[i], c.s.limits.descriptors)
		if memory[i] > int64(c.s.limits.memoryMB)<<20 || descriptors[i] > c.s.limits.descriptors {
			c.t.Errorf("node %d exceeds its limits", i)
		}
	}
	for i, v := range c.s.vms {
		n := 0
		require.Eventually(c.t, func() bool {
			n++
			return send(v.ip, fmt.Sprintf("after-%d-%d%s", i, n, originSuffix(i)), "/menu/after", "").Status == 200
		}, 30*time.Second, 200*time.Millisecond, "node %d does not answer an ordinary request", i)
	}
}

// descriptors returns the number of open descriptors of the node's process.
func (v *vm) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.process().Process.Pid))
	if err != nil {
		return 0 // the process has ended
	}
	return len(entries)
}

// readSlowly requests a long response and reads it at about 10 KiB/s.
func readSlowly(bytes int) func(net.Conn, string) {
	return func(conn net.Conn, name string) {
		request(conn, name, bytes, 0)
		for buffer := make([]byte, 1<<10); ; time.Sleep(100 * time.Millisecond) {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
		}
	}
}

// stopReading requests a number of long responses on one connection and reads none of them. Each request has a header field of the given
// size.
func stopReading(requests, bytes, headerBytes int) func(net.Conn, string) {
	return func(conn net.Conn, name string) {
		for i := range requests {
			request(conn, fmt.Sprintf("%s-%d", name, i), bytes, headerBytes)
		}
	}
}

func request(conn net.Conn, name string, bytes, headerBytes int) {
	head := standin.Head("site.example", "GET", fmt.Sprintf("/menu/x?pad=%d", bytes), name, callerTimeout, 0)
	if headerBytes > 0 {
		head = strings.TrimSuffix(head, "\r\n") + "Filler: " + strings.Repeat("x", headerBytes) + "\r\n\r\n"
	}
	_, _ = io.WriteString(conn, head)
}

// upload sends orders with large bodies one after the other, as fast as the node takes them.
func upload(bytes int) func(net.Conn, string) {
	return func(conn net.Conn, name string) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		for i, piece := 0, make([]byte, 32<<10); ; i++ {
			_, err := io.WriteString(conn, standin.Head("site.example", "POST", "/order/x", fmt.Sprintf("%s-%d", name, i), callerTimeout, bytes))
			for sent := 0; err == nil && sent < bytes; sent += len(piece) {
				_, err = conn.Write(piece[:min(len(piece), bytes-sent)])
			}
			if err != nil {
				return
			}
		}
	}
}
