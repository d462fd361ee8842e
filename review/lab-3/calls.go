package main

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// callIDs runs a site with organisations whose back ends call each other through the system, with attempt IDs of their own.
func callIDs(l *lab, trouble bool) (bool, error) {
	config := configuration(4, []any{
		route("orders", "/orders/", "non_idempotent", "orders", 5), route("stock", "/stock/", "idempotent", "stock", 5),
	}, "orders", "stock")
	config[names["organisations"]] = []any{map[string]any{
		"name": "workshop", names["keys"]: []string{"k3yofth3w0rksh0p"}, "priority": 1,
	}}
	if err := l.begin(config); err != nil {
		return false, err
	}
	orders, err := l.addNode(1, "orders", "z1")
	if err != nil {
		return false, err
	}
	stock, err := l.addNode(2, "stock", "z1")
	if err != nil {
		return false, err
	}
	var denied, calls atomic.Int64
	ordering := &backend{slots: 36}
	ordering.run = func(w http.ResponseWriter, r *http.Request) bool {
		parent := r.Header.Get(names["attempt"])
		id := parent + ".1"
		if trouble {
			id = rand.Text()[:16]
		}
		left, _ := strconv.Atoi(r.Header.Get(names["budget"])) // zero if it is missing
		a := l.get(orders, "/stock/slate", id, time.Duration(left)*time.Millisecond)
		calls.Add(1)
		l.note("backend orders: its call %s for %s got status %d", id, parent, a.status)
		if a.status == http.StatusUnauthorized {
			denied.Add(1)
		}
		if a.status != http.StatusOK {
			w.WriteHeader(http.StatusInternalServerError)
			return false
		}
		return true
	}
	if err := orders.startBackend(ordering); err != nil {
		return false, err
	}
	if err := stock.startBackend(&backend{slots: 36}); err != nil {
		return false, err
	}
	for _, n := range []*node{orders, stock} {
		if err := n.start(); err != nil {
			return false, err
		}
	}
	key := names["credentials"] + ": Bearer k3yofth3w0rksh0p\r\n"
	send := func(path, attempt string) answer {
		c, err := l.connect(orders)
		if err != nil {
			return answer{attempt: attempt, err: err}
		}
		defer c.nc.Close()
		if err := c.send(head(http.MethodGet, path, attempt, 5*time.Second, key)); err != nil {
			return answer{attempt: attempt, err: err}
		}
		return c.receive(attempt)
	}
	warm := 0
	if err := await(15*time.Second, "node "+orders.ip+" serves requests with a key", func() bool {
		warm++
		return orders.ready() && stock.ready() && send("/stock/warm", fmt.Sprintf("warm%d", warm)).status == http.StatusOK
	}); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // longer than the window after a start
	failed := 0
	const sent = 20
	for i := range sent {
		if a := send("/orders/place", fmt.Sprintf("order%d", i)); a.status != http.StatusOK {
			failed++
		}
	}
	allowed := 5 + (int64(sent)+calls.Load())/500
	l.note("%d of %d orders failed; %d of %d calls were denied with 401, %d of all requests may be", failed, sent, denied.Load(), calls.Load(), allowed)
	return denied.Load() > allowed, nil
}
