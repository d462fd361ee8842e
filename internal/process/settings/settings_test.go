package settings

import (
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/version/schema"
	"github.com/wigeoncleat/wigeoncleat/internal/version/schema/schematest"
)

const text = `[node]
site = haetsal
region = kr-central
availability_zone = kr-central-1
caller_address = 0.0.0.0:8000
peer_address = 10.0.0.1:8001
target_interface_address = 127.0.0.1:8002
admin_address = 10.0.0.1:8003
[target]
service = menu-board
address = 127.0.0.1:9000
[peers]
seeds = 10.0.0.2:8001, [fd00::3]:8001
[platform]
table_url = http://10.0.0.9:7000/table
objects_url = http://10.0.0.9:7000
`

func load(body string) (*Settings, []schema.Finding, error) {
	return Load(schema.File{Name: "node.ini", Body: []byte(body)})
}

// Guards against a settings page that disagrees with the schema.
func TestPageMatchesSchema(t *testing.T) {
	schematest.RequirePage(t, "../../../docs/settings.md", "settings", Schema())
}

// Guards against keys whose values or defaults are not copied to the settings.
func TestLoad(t *testing.T) {
	s, findings, err := load(text)
	require.NoError(t, err)
	require.Empty(t, findings)
	require.Equal(t, &Settings{
		Node: Node{
			Site: "haetsal", Region: "kr-central", AvailabilityZone: "kr-central-1", CallerAddress: "0.0.0.0:8000",
			PeerAddress: "10.0.0.1:8001", TargetInterfaceAddress: "127.0.0.1:8002", AdminAddress: "10.0.0.1:8003",
		},
		Target:   Target{Service: "menu-board", Address: "127.0.0.1:9000", LeaseMin: time.Second, LeaseMax: 15 * time.Second},
		Seeds:    []string{"10.0.0.2:8001", "[fd00::3]:8001"},
		Platform: Platform{TableURL: "http://10.0.0.9:7000/table", ObjectsURL: "http://10.0.0.9:7000", Timeout: time.Second},
		Link:     Link{HeartbeatInterval: 250 * time.Millisecond, HeartbeatTimeout: time.Second, IdleTimeout: 2 * time.Minute, MaxLinks: 1000},
		Drain:    Drain{Limit: 30 * time.Second},
		LogLevel: slog.LevelInfo,
	}, s)
}

// Guards against an example file that Load rejects, as operators start from a copy of it.
func TestExample(t *testing.T) {
	body, err := os.ReadFile("../../../examples/node.ini")
	require.NoError(t, err)
	_, findings, err := load(string(body))
	require.NoError(t, err)
	require.Empty(t, findings)
}

// Guards against accepting settings with which a node would start, but then fail or put requests at risk.
func TestFindings(t *testing.T) {
	cases := map[string]struct {
		old, new string // replacement in the text
		key      string
		want     string
	}{
		"missing key":               {"region = kr-central\n", "", "region", "required key is missing"},
		"unknown key":               {"region =", "regoin =", "regoin", "unknown key"},
		"host name":                 {"10.0.0.1:8001", "vm1:8001", "peer_address", "not an IP address with a port"},
		"no port":                   {"127.0.0.1:9000", "127.0.0.1", "address", "not an IP address with a port"},
		"port 0 to dial":            {"127.0.0.1:9000", "127.0.0.1:0", "address", "has port 0"},
		"undialable peer address":   {"10.0.0.1:8001", "0.0.0.0:8001", "peer_address", "cannot be dialled"},
		"open target interface":     {"127.0.0.1:8002", "10.0.0.1:8002", "target_interface_address", "not a loopback address"},
		"address used twice":        {"admin_address = 10.0.0.1:8003", "admin_address = 10.0.0.1:8001", "admin_address", "is in use by peer_address"},
		"address of all interfaces": {"admin_address = 10.0.0.1:8003", "admin_address = [::]:8002", "admin_address", "is in use by target_interface_address"},
		"node is its own target":    {"address = 127.0.0.1:9000", "address = 127.0.0.1:8000", "address", "is the node's caller_address"},
		"seed listed twice":         {"[fd00::3]:8001", "10.0.0.2:8001", "seeds", "listed twice"},
		"lease limits crossed":      {"[peers]", "lease_min = 20s\n[peers]", "lease_max", "shorter than lease_min"},
		"early heartbeat timeout":   {"[peers]", "[link]\nheartbeat_interval = 600ms\n[peers]", "heartbeat_timeout", "shorter than twice"},
		"no unit":                   {"[peers]", "[drain]\nlimit = 30\n[peers]", "limit", "not a duration with a unit"},
		"unknown level":             {"[peers]", "[log]\nlevel = loud\n[peers]", "level", "not one of debug"},
		"URL scheme":                {"http://10.0.0.9:7000/table", "ftp://10.0.0.9", "table_url", "not an http or https URL"},
		"URL with credentials":      {"http://10.0.0.9:7000/table", "http://a:b@10.0.0.9", "table_url", "not an http or https URL"},
		"one URL":                   {"objects_url = http://10.0.0.9:7000\n", "", "", "needed together"},
		"platform and policy files": {"[peers]", "[policy]\nbase = b.ini\noverlay = o.ini\n[peers]", "", "takes its policy from there"},
		"overlay without base":      {"[peers]", "[policy]\noverlay = o.ini\n[peers]", "", "needed together"},
		"neither":                   {"table_url = http://10.0.0.9:7000/table\nobjects_url = http://10.0.0.9:7000\n", "", "", "neither a platform nor policy files"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, text, c.old)
			s, findings, err := load(strings.Replace(text, c.old, c.new, 1))
			require.ErrorIs(t, err, ErrRejected)
			require.Nil(t, s)
			require.NotEmpty(t, findings)
			require.Equal(t, c.key, findings[0].Key, findings)
			require.Contains(t, findings[0].Text, c.want)
			require.Equal(t, "node.ini", findings[0].File)
		})
	}
}
