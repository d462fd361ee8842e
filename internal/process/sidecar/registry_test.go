package sidecar

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

// Guards against nodes that end, do not find each other or stop following the store because another writer has left odd rows among
// theirs and among the operator's.
func TestOddRowsDoNotStopANode(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		c.cluster.configure = func(s *Sidecar) {
			s.opts.CheckPeerAddress = func(address string) error {
				if len(address) != len("a1") {
					return errors.New("test")
				}
				return nil
			}
		}
		odd := map[string]string{
			strings.Repeat("[", 200):        strings.Repeat("[", 60<<10),
			"10.0.0.9:99999":                "a",
			"10.0.0.9:-1":                   "a",
			"10.0.0.9:1e400":                strings.Repeat(`{"a":`, 10<<10),
			"999999999999999999999":         "\xff\x00",
			"10.0.0.9:18446744073709551616": "",
		}
		put := func(key, value string) {
			_, err := c.store.Put(t.Context(), key, []byte(value), platform.Condition{})
			require.NoError(t, err)
		}
		for key, value := range odd {
			put("nodes/"+key, value)
			put("op/"+key, value)
		}
		addresses := []string{"a1", "a2", "a3", "b1"}
		c.startAll(addresses...)
		for n := byte(10); n < 13; n++ {
			c.configure(t, n, "next")
			put("op/odd", strings.Repeat("[", 60<<10))
			time.Sleep(configBound)
			for _, address := range addresses {
				require.EqualValues(t, n, c.nodes[address].version(), "node %s", address)
			}
		}
		for _, address := range addresses {
			require.NoError(t, c.nodes[address].reportReady(1))
		}
		time.Sleep(time.Second)
		for _, address := range addresses {
			require.Len(t, c.nodes[address].directory.Targets()["menu"], len(addresses))
			require.Equal(t, len(addresses), c.nodes[address].directory.Size(), "odd rows count as nodes")
		}
	})
}
