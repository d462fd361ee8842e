package schema

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two syntaxes in one file: a line that is split without the ini library must give the same key and value as
// with it.
func FuzzKeyValue(f *testing.F) {
	for _, line := range []string{
		"a = b", "a=b=c", "a =", "= b", "a", "- = 1", "a b = c  d", "a = \"b ; c\"", "a = b # c", "a = b#c", "a = `b`", "\"a\" = b",
		"a = \"\"\"b", "a = b\\", "a = %(b)s", "a : b = c", "a = 'b'", "a\t=\tb", "a = \u00a0b", "a = [b]", "a = b,c",
	} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '[' || line[0] == '#' || line[0] == ';' || checkLine(line) != nil {
			return
		}
		key, value, err := keyValue(line)
		wantKey, wantValue, wantErr := iniKeyValue(line)
		require.Equal(t, wantErr, err)
		require.Equal(t, []string{wantKey, wantValue}, []string{key, value})
	})
}
