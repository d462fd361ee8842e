package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// departedUnnoticed has clients that leave before their time budget, while other clients read their answers slowly (the disruption).
// The slow ones take more than three quarters of the memory budget of their node, which then no longer notices who leaves.
func departedUnnoticed(rec *record, dir string, trouble bool) (bool, error) {
	s, err := startSite(rec, dir, configuration(3,
		route{Name: "r-read", Prefix: "/read/", Kind: "idempotent", Timeout: 5, Objective: 4, Priority: 1, Service: "records", MaxAttempt: 2},
		route{Name: "r-desk", Prefix: "/desk/", Kind: "idempotent", Timeout: 5, Objective: 4, Priority: 1, Service: "desk", MaxAttempt: 2},
		route{Name: "r-chart", Prefix: "/chart/", Kind: "idempotent", Timeout: 5, Objective: 4, Priority: 1, Service: "charts", MaxAttempt: 2},
	), []string{"records", "desk", "charts", "front"}, 36, 184)
	defer s.close()
	if err != nil {
		return false, err
	}
	records, desk, entry := s.machines[0], s.machines[1], s.machines[3]
	if trouble {
		slow, err := startSlowReaders(rec, entry.at(portOutbound))
		defer slow.stop()
		if err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
	}

	// Reads that run at once and take 3 s. Of 30 clients, 9 leave after half a second (give_up, share 0.3).
	reads, err := openRequests(rec, entry.at(portOutbound), "0ead000000000", 30, plan{After: 3000}.path("/read/"))
	defer reads.close()
	if err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	reads.leave(9)
	time.Sleep(3500 * time.Millisecond)
	working, lasting := 0, 0
	for _, x := range records.backend.all() {
		at, gone := reads.left[x.id]
		if !gone {
			continue
		}
		lasting++
		if x.end.Sub(at) > 500*time.Millisecond {
			working++
			rec.printf("the backend was at work on %s until %.3f s after its client had left", x.id, x.end.Sub(at).Seconds())
		}
	}
	rec.printf("half a second after their clients had left, the backend was at work on %d of %d requests", working, lasting)

	// Requests that wait for a slot, of which 33 are taken for 1.15 s. Of 33 + 12 clients, the 12 that wait leave.
	busy, err := openRequests(rec, entry.at(portOutbound), "b05f000000000", 33, plan{After: 1150}.path("/desk/"))
	defer busy.close()
	if err != nil {
		return false, err
	}
	time.Sleep(250 * time.Millisecond)
	waiting, err := openRequests(rec, entry.at(portOutbound), "3a17000000000", 12, plan{After: 300}.path("/desk/"))
	defer waiting.close()
	if err != nil {
		return false, err
	}
	time.Sleep(200 * time.Millisecond)
	waiting.leave(12)
	time.Sleep(2 * time.Second)
	late := 0
	for _, x := range desk.backend.all() {
		if at, gone := waiting.left[x.id]; gone && x.begin.Sub(at) > 500*time.Millisecond {
			late++
			rec.printf("%s reached a backend %.3f s after its client had left", x.id, x.begin.Sub(at).Seconds())
		}
	}
	rec.printf("%d requests reached a backend over half a second after their clients had left", late)
	if lasting < 5 {
		return false, fmt.Errorf("only %d of the requests reached the backend", lasting)
	}
	return 4*working > lasting || late > 5, nil
}

// slowReaders are clients that read a large answer slowly.
type slowReaders struct {
	stopping chan struct{}
	running  sync.WaitGroup
}

const (
	slowReaderCount = 17
	chartBytes      = 4 << 20
	slowReadRate    = 64 << 10 // bytes per second
)

func startSlowReaders(rec *record, address string) (*slowReaders, error) {
	s := &slowReaders{stopping: make(chan struct{})}
	for i := range slowReaderCount {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return s, err
		}
		id := number("c4a7000000000", 100+i)
		rec.printf("client %d asks for a chart of %d bytes with %s and reads %d bytes a second", i, chartBytes, id, slowReadRate)
		if _, err := io.WriteString(conn, request(id, http.MethodGet, plan{Size: chartBytes}.path("/chart/"), 10*time.Second, "")); err != nil {
			return s, err
		}
		s.running.Go(func() {
			defer conn.Close()
			var got int64
			for {
				n, err := io.CopyN(io.Discard, conn, slowReadRate/8)
				if got += n; err != nil {
					rec.printf("client %d has read %d bytes: %v", i, got, err)
					return
				}
				select {
				case <-s.stopping:
					rec.printf("client %d has read %d bytes so far", i, got)
					return
				case <-time.After(time.Second / 8):
				}
			}
		})
	}
	return s, nil
}

func (s *slowReaders) stop() {
	close(s.stopping)
	s.running.Wait()
}

// openRequest are requests, each on a connection of its own, whose answers nobody reads.
type openRequest struct {
	rec   *record
	ids   []string
	conns []net.Conn
	left  map[string]time.Time // when their clients left
}

func openRequests(rec *record, address, prefix string, n int, path string) (*openRequest, error) {
	o := &openRequest{rec: rec, left: map[string]time.Time{}}
	for i := range n {
		id := number(prefix, 100+i)
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return o, err
		}
		o.ids, o.conns = append(o.ids, id), append(o.conns, conn)
		if _, err := io.WriteString(conn, request(id, http.MethodGet, path, 5*time.Second, "")); err != nil {
			return o, err
		}
	}
	rec.printf("%d clients send a request each, %s to %s, time left 5000 ms", n, o.ids[0], o.ids[n-1])
	return o, nil
}

// leave closes the connections of the first n requests.
func (o *openRequest) leave(n int) {
	for i := range n {
		_ = o.conns[i].Close()
		o.left[o.ids[i]] = time.Now()
		o.rec.printf("the client of %s leaves", o.ids[i])
	}
}

func (o *openRequest) close() {
	for _, c := range o.conns {
		_ = c.Close()
	}
}
