package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/quota"
	"github.com/wigeoncleat/wigeoncleat/internal/version/organisation"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// withQuotas gives a node configurations with an organisation that may send 20 requests per second.
func withQuotas(s *Sidecar) {
	s.opts.DecodeConfig = func(body []byte) (*routing.Table, error) {
		table, err := routing.New(routing.Version(body[0]), nil, nil, routing.DefaultLimits())
		table.Organisations = organisation.NewSet()
		table.Organisations.Add(organisation.Organisation{Name: "org", Rate: 20, Burst: 20})
		table.Organisations.Add(organisation.Organisation{Name: "unlimited"})
		return table, err
	}
	s.quotas.clock = func() (time.Duration, bool) { return 0, false } // the time since the start, which the test controls
	s.quotas.started = time.Now().Add(-time.Minute)
	s.quotas.node = quota.New(s.settings.PeerAddress, quota.DefaultBounds(), 0)
	s.background.Go(s.runQuotas)
}

// sendFor has each node admit as many requests of the organisation as it can, and returns their number.
func sendFor(nodes []*Sidecar, d time.Duration) (admitted int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, s := range nodes {
			if ok, _ := s.quotas.Admit("org"); ok {
				admitted++
			}
		}
	}
	return admitted
}

// Guards against nodes that each admit the whole quota, against shares that do not reach nodes, and against limits that apply to
// organisations without one.
func TestNodesShareTheQuota(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.configure = withQuotas
		nodes := []*Sidecar{c.start("a1", "menu"), c.start("a2", "menu"), c.start("a3", "menu")}
		time.Sleep(3 * time.Second)
		for _, s := range nodes {
			for range 200 {
				ok, _ := s.quotas.Admit("unlimited")
				require.True(t, ok)
			}
		}
		const bound = (20*5+20)*1.1 + 20
		admitted := sendFor(nodes, 5*time.Second)
		require.LessOrEqual(t, admitted, int(bound))
		require.GreaterOrEqual(t, admitted, 100)
		for _, series := range nodes[0].quotaSeries() {
			require.Equal(t, "org", series.Organisation)
			require.True(t, series.Shares)
		}
		c.kill("a2")
		require.LessOrEqual(t, sendFor([]*Sidecar{nodes[0], nodes[2]}, 5*time.Second), int(bound))
	})
}
