// Package schematest checks that documentation pages match schemas. Only tests use it.
package schematest

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/version/schema"
)

var update = flag.Bool("update", false, "write the tables of docs/settings.md instead of checking them")

// RequirePage fails the test unless the page has the tables of the schema between the markers with the given name. With the
// flag -update it writes the tables instead.
func RequirePage(t *testing.T, path, name string, s schema.Schema) {
	t.Helper()
	require.NoError(t, s.Check())
	page, err := os.ReadFile(path)
	require.NoError(t, err)
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
	before, rest, ok := strings.Cut(string(page), begin)
	require.True(t, ok, "%s lacks the line %q", path, begin)
	tables, after, ok := strings.Cut(rest, end)
	require.True(t, ok, "%s lacks %q", path, end)
	want := "\n" + s.Markdown()
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(before+begin+want+end+after), 0o644))
		return
	}
	require.Equal(t, want, tables, "%s differs from the schema; go test with -update writes it", path)
}
