package settings

import "github.com/wigeoncleat/wigeoncleat/internal/version/schema"

// Schema returns the schema of the node's settings file. It drives parsing, checking and docs/settings.md.
func Schema() schema.Schema {
	return schema.Schema{nodeSection, targetSection, peersSection, platformSection, linkSection, drainSection, logSection, policySection}
}

var nodeSection = schema.Section{
	Name: "node",
	Doc:  "Where the node runs and listens. Every address is an IP address with a port; port 0 picks a free port.",
	Keys: []schema.Key{
		{Name: "site", Type: schema.Name, Required: true, Doc: "Site of the node. It decides which overlay the node runs."},
		{Name: "region", Type: schema.Name, Required: true, Doc: "Region of the VM."},
		{Name: "availability_zone", Type: schema.Name, Required: true, Doc: "Availability zone of the VM. Targets in the same zone are preferred."},
		{Name: "caller_address", Type: schema.Listen, Required: true, Doc: "Address for callers (HTTP)."},
		{Name: "peer_address", Type: schema.Listen, Required: true, Doc: "Address for other nodes, which they also dial: `0.0.0.0` and `::` are refused."},
		{Name: "target_interface_address", Type: schema.Listen, Required: true, Doc: "Loopback address for the calls and announcements of the node's own target. Other VMs must not reach it, because its calls are trusted."},
		{Name: "admin_address", Type: schema.Listen, Required: true, Doc: "Address for health, readiness, metrics, status, audit and `wigeonctl`."},
	},
}

var targetSection = schema.Section{
	Name: "target",
	Doc:  "The target beside the node. A target announces itself with a lease; a lease outside the limits is cut to them.",
	Keys: []schema.Key{
		{Name: "service", Type: schema.Name, Required: true, Doc: "Service that the target serves. An announcement of another service is refused."},
		{Name: "address", Type: schema.Address, Required: true, Doc: "Address of the target (HTTP)."},
		{Name: "lease_min", Type: schema.Duration, Default: "1s", Min: "100ms", Max: "10m", Doc: "Shortest lease of an announcement. Longer: fewer announcements; shorter: a dead target expires sooner."},
		{Name: "lease_max", Type: schema.Duration, Default: "15s", Min: "100ms", Max: "10m", Doc: "Longest lease of an announcement. Longer: a slow target stays announced; shorter: a dead target expires sooner."},
	},
}

var peersSection = schema.Section{
	Name: "peers",
	Doc:  "Nodes through which this node joins when the platform is down.",
	Keys: []schema.Key{
		{Name: "seeds", Type: schema.AddressList, Doc: "Peer addresses of other nodes, best in several availability zones."},
	},
}

var platformSection = schema.Section{
	Name: "platform",
	Doc:  "The platform. Both URLs are needed unless the node runs a trial with `[policy]`.",
	Keys: []schema.Key{
		{Name: "table_url", Type: schema.URL, Doc: "URL of the table service."},
		{Name: "objects_url", Type: schema.URL, Doc: "URL of the object store."},
		{Name: "timeout", Type: schema.Duration, Default: "1s", Min: "10ms", Max: "1m", Doc: "Longest wait for one call. Longer: fewer writes end in doubt when the platform is slow; shorter: an outage is noticed sooner."},
	},
}

var linkSection = schema.Section{
	Name: "link",
	Doc:  "Links to other nodes. `heartbeat_timeout` must be at least twice `heartbeat_interval`, so that one lost heartbeat does not close a link.",
	Keys: []schema.Key{
		{Name: "heartbeat_interval", Type: schema.Duration, Default: "250ms", Min: "10ms", Max: "1m", Doc: "Time between heartbeats of a link. Longer: less control traffic; shorter: a silent link is found sooner."},
		{Name: "heartbeat_timeout", Type: schema.Duration, Default: "1s", Min: "20ms", Max: "5m", Doc: "Silence after which a link is closed and its pending requests are resolved. Longer: a paused peer keeps its requests; shorter: callers get their final response sooner."},
		{Name: "idle_timeout", Type: schema.Duration, Default: "2m", Min: "1s", Max: "24h", Doc: "Time without requests after which a link is closed. Longer: more open links; shorter: more calls wait for a new link."},
		{Name: "max_links", Type: schema.Count, Default: "1000", Min: "16", Max: "100000", Doc: "Links to other nodes that stay open. Above it the least recently used idle link is closed when another one is opened. More: more memory, about 41 KB for a link at each of its two nodes; fewer: more calls wait for a new link."},
	},
}

var drainSection = schema.Section{
	Name: "drain",
	Doc:  "Graceful stop.",
	Keys: []schema.Key{
		{Name: "limit", Type: schema.Duration, Default: "30s", Min: "0s", Max: "1h", Doc: "Longest wait for requests in flight before the node exits. Longer: slow requests complete; shorter: faster replacement of VMs."},
	},
}

var logSection = schema.Section{
	Name: "log",
	Doc:  "The log, one JSON object per line.",
	Keys: []schema.Key{
		{Name: "level", Type: schema.Enum, Allowed: []string{"debug", "info", "warn", "error"}, Default: "info", Doc: "Lowest level that is logged."},
	},
}

var policySection = schema.Section{
	Name: "policy",
	Doc:  "Policy files for trials without a platform. A node with a platform takes its policy from there and refuses this section.",
	Keys: []schema.Key{
		{Name: "base", Type: schema.FileName, Doc: "Base file."},
		{Name: "overlay", Type: schema.FileName, Doc: "Overlay of the node's site."},
	},
}
