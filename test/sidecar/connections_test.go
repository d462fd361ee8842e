package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/platform/standin"
)

// maxDue bounds the requests of an openConnection that wait for their responses.
const maxDue = 32

// callOnOpenConnections opens one connection after the other to random nodes and uses each until its node ends it. It returns the results
// of all requests.
func (s *site) callOnOpenConnections(rng *rand.Rand, name string, stop <-chan struct{}) (results []result) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return results
		case <-time.After(randomDuration(rng, 50*time.Millisecond)):
		}
		v := s.vms[rng.IntN(len(s.vms))]
		c, err := net.DialTimeout("tcp", at(v.ip, portCallers), time.Second)
		if err != nil {
			continue
		}
		attempt := fmt.Sprintf("%s-c%d", name, n)
		if rng.IntN(4) == 0 {
			results = append(results, sendSlowly(c, attempt+originSuffix(v.number), randomDuration(rng, 4*time.Second)))
			continue
		}
		results = append(results, sendPipelined(rng, c, attempt, v.number, stop)...)
	}
}

// sendSlowly sends an order whose body arrives in two parts with a pause between them, and closes the connection.
func sendSlowly(c net.Conn, attempt string, pause time.Duration) result {
	defer c.Close()
	r := result{attempt: attempt, order: true}
	body := "order of " + attempt
	_ = c.SetDeadline(time.Now().Add(pause + 2*callerTimeout))
	half := len(body) / 2
	_, err := fmt.Fprintf(c, "%s%s", standin.Head("site.example", "POST", "/order/x", attempt, pause+callerTimeout, len(body)), body[:half])
	sent := make(chan time.Time, 1)
	go func() {
		time.Sleep(pause)
		_, _ = io.WriteString(c, body[half:]) // fails if the order is refused meanwhile
		sent <- time.Now()
	}()
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(bufio.NewReader(c), nil)
	}
	if err == nil {
		r.Result = standin.ReadResult(resp)
	}
	select {
	case at := <-sent:
		r.took = time.Since(at)
	default: // answered before the order was complete
	}
	return r
}

// sendPipelined sends requests on a connection without waiting for the responses to earlier ones, until the node ends the connection.
func sendPipelined(rng *rand.Rand, c net.Conn, name string, vm int, stop <-chan struct{}) []result {
	defer c.Close()
	type sent struct {
		attempt string
		at      time.Time
	}
	due := make(chan sent, maxDue)
	ended := make(chan struct{})
	var writing sync.WaitGroup
	writing.Go(func() {
		defer close(due)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ended:
				return
			case <-time.After(time.Duration(1+rng.IntN(15)) * time.Millisecond):
			}
			attempt := fmt.Sprintf("%s-n%d%s", name, n, originSuffix(vm))
			_, err := io.WriteString(c, standin.Head("site.example", "GET", "/menu/x", attempt, callerTimeout, 0))
			if err != nil {
				return
			}
			select {
			case due <- sent{attempt, time.Now()}:
			case <-ended:
				return
			}
		}
	})
	defer writing.Wait()
	br := bufio.NewReader(c)
	var results []result
	open, announced := true, false
	for x := range due {
		r := result{attempt: x.attempt, unread: announced}
		if open {
			_ = c.SetReadDeadline(x.at.Add(2 * callerTimeout))
			resp, err := http.ReadResponse(br, nil)
			if err == nil {
				r.Result = standin.ReadResult(resp)
				announced = resp.Close
			}
			if err != nil || announced {
				open = false
				close(ended)
			}
		}
		r.took = time.Since(x.at)
		results = append(results, r)
	}
	return results
}
