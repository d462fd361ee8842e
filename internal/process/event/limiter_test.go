package event

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a volume of logs that grows with an overload, and against suppressed lines that are not counted in the log.
func TestLimiterBoundsAndCountsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := slog.New(slog.NewJSONHandler(&out, nil))
		l := NewLimiter(5)
		for range 100 {
			l.Log(log, RequestRefused)
		}
		require.Equal(t, 5, strings.Count(out.String(), "\n"))
		time.Sleep(time.Second)
		out.Reset()
		l.Log(log, RequestRefused)
		require.Equal(t, 2, strings.Count(out.String(), "\n"))
		require.Contains(t, out.String(), `"lines":95`)
	})
}
