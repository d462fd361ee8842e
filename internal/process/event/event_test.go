package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const docPath = "../../../docs/events.md"

// row returns the line of docs/events.md that describes the event.
func row(e Event) string {
	return fmt.Sprintf("| %d | %s | %s | %s |", e.Number, e.Level, e.Text, e.Action)
}

// Guards against log events that are missing from docs/events.md or differ from it, and against numbers that are used twice.
func TestCatalogueMatchesDocs(t *testing.T) {
	doc, err := os.ReadFile(docPath)
	require.NoError(t, err)
	rows := map[string]bool{}
	for line := range strings.Lines(string(doc)) {
		if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
			rows[strings.TrimSpace(line)] = true
		}
	}
	last := 0
	for _, e := range All() {
		require.Greater(t, e.Number, last, "numbers must ascend in All")
		last = e.Number
		require.True(t, rows[row(e)], "docs/events.md lacks the row:\n%s", row(e))
	}
	require.Len(t, rows, len(All()), "docs/events.md describes an event that does not exist")
}
