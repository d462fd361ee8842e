package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// departedWhileSending has clients that send reads behind each other and leave before their time budget (the disruption). They write
// through a buffer of 4 KiB, as many HTTP clients do, and leave before it is flushed for the last time, so that their last request is cut.
// The places where the six clients' requests are cut are spread evenly over a request.
func departedWhileSending(rec *record, dir string, trouble bool) (bool, error) {
	s, err := startSite(rec, dir, configuration(3,
		route{Name: "r-read", Prefix: "/read/", Kind: "idempotent", Timeout: 5, Objective: 4, Priority: 1, Service: "records", MaxAttempt: 2},
	), []string{"records", "records", "front"}, 139, 284)
	defer s.close()
	if err != nil {
		return false, err
	}
	const (
		clients = 20
		leaving = 6 // give_up, share 0.3
		buffer  = 4096
	)
	path := plan{After: 3000}.path("/read/")
	text := func(client, i, agent int) (id, all string) {
		id = number("5e4d0000", 1000000+1000*client+i)
		return id, request(id, http.MethodGet, path, 5*time.Second, "User-Agent: lab/"+strings.Repeat("1", agent)+"\r\nAccept: */*\r\n")
	}
	// agentFor returns the length of a User-Agent header with which the buffer ends near the given share of a request.
	agentFor := func(share float64) (agent int) {
		least := 1.0
		for n := 1; n < 120; n++ {
			_, all := text(0, 0, n)
			at := float64(buffer%len(all)) / float64(len(all))
			if d := max(at-share, share-at); d < least {
				least, agent = d, n
			}
		}
		return agent
	}
	conns := make([]net.Conn, clients)
	sent := map[string]int{} // client by request
	for k := range conns {
		conn, err := net.Dial("tcp", s.machines[2].at(portOutbound))
		if err != nil {
			return false, err
		}
		defer conn.Close()
		conns[k] = conn
		w := bufio.NewWriterSize(conn, buffer)
		agent, n := 3, 1
		if k < leaving {
			agent = agentFor((float64(k) + 0.5) / leaving)
			_, all := text(k, 0, agent)
			n = buffer / len(all)
		}
		for i := range n {
			id, all := text(k, i, agent)
			sent[id] = k
			_, _ = io.WriteString(w, all)
		}
		if k >= leaving {
			_ = w.Flush()
			continue
		}
		_, last := text(k, n, agent)
		_, _ = io.WriteString(w, last) // fills the buffer, which is sent; the rest of the request stays in it
		rec.printf("client %d sends %d requests, time left 5000 ms each, and the first %d bytes of another one, which end in %q", k, n,
			len(last)-w.Buffered(), last[:len(last)-w.Buffered()][strings.LastIndexByte(last[:len(last)-w.Buffered()], '\n')+1:])
		if !trouble {
			_ = w.Flush()
		}
	}
	time.Sleep(400 * time.Millisecond)
	at := time.Now()
	if trouble {
		for k, conn := range conns[:leaving] {
			rec.printf("client %d leaves", k)
			_ = conn.Close()
		}
	}
	time.Sleep(5 * time.Second)
	working, lasting := map[int]int{}, map[int]int{} // by client
	allWorking, allLasting := 0, 0
	for _, m := range s.machines[:2] {
		for _, x := range m.backend.all() {
			k, ok := sent[x.id]
			if !ok || k >= leaving || !trouble {
				continue
			}
			lasting[k]++
			allLasting++
			if x.end.Sub(at) > 500*time.Millisecond {
				working[k]++
				allWorking++
				rec.printf("the backend was at work on %s of client %d until %.3f s after it had left", x.id, k, x.end.Sub(at).Seconds())
			}
		}
	}
	for k := range leaving {
		rec.printf("client %d: at work half a second after it had left: %d of %d requests", k, working[k], lasting[k])
	}
	rec.printf("half a second after the clients had left, backends were at work on %d of %d of their requests", allWorking, allLasting)
	return 4*allWorking > allLasting, nil
}
