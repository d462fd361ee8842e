package audit

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomised checks; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
