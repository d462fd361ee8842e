package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// scenarios play a case, with its disruption or without, and return whether the rule was broken.
var scenarios = map[string]func(rec *record, dir string, trouble bool) (bool, error){
	"calls-at-stop":          callsAtStop,
	"rolling-stop":           rollingStop,
	"departed-unnoticed":     departedUnnoticed,
	"departed-while-sending": departedWhileSending,
}

// processes are the node processes that were started. They are ended if the run is interrupted.
type processes struct {
	mu   sync.Mutex
	list []*os.Process
}

var started processes

func (p *processes) add(x *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, x)
}

func (p *processes) endAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.list {
		_ = x.Kill() // fails for those that have ended
	}
}

func main() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		started.endAll()
		os.Exit(cannotRun)
	}()
	os.Exit(start())
}

// start plays the scenario of the first argument. The second one is the folder for record.txt.
func start() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab SCENARIO FOLDER")
		return cannotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("scenario %s, disruption %v", os.Args[1], trouble)
	isBroken, err := scenarios[os.Args[1]](rec, dir, trouble)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	case isBroken:
		rec.printf("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return held
}
