// Command lab shows faults of the deployed program: it starts its processes on loopback addresses, beside small stand-ins for the
// platform, backends and clients that follow the pages. The names of the wire are in words.json.
package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed words.json
var wordsFile []byte

var words = mustWords()

func mustWords() map[string]string {
	var w map[string]string
	if err := json.Unmarshal(wordsFile, &w); err != nil {
		panic(err)
	}
	return w
}
