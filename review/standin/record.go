package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the account of a case, one line for each event.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// since returns the time since the start of the case, in seconds.
func (r *record) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
