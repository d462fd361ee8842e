package policy

import "github.com/wigeoncleat/wigeoncleat/internal/version/schema"

// Values of the key "repeat" of a route.
const (
	repeatSafe = "safe"
	repeatOnce = "once"
)

// Schema returns the schema of the base file and the overlays. It drives parsing, checking and docs/settings.md.
func Schema() schema.Schema {
	return schema.Schema{siteSection, classSection, serviceSection, routeSection, retrySection, queueSection, shedSection, limitsSection, balanceSection, onceSection}
}

var siteSection = schema.Section{
	Name: "site", LastOnly: true,
	Doc: "The site of the overlay. The base file must not have this section.",
	Keys: []schema.Key{
		{Name: "name", Type: schema.Name, Required: true, Doc: "Name of the site. It is the value of `site` in the settings of the site's nodes."},
	},
}

var classSection = schema.Section{
	Name: "class", Named: true,
	Doc: "A class of requests. Every class of a route with `repeat = once` needs a higher rank than every class of a route with `repeat = safe`.",
	Keys: []schema.Key{
		{Name: "rank", Type: schema.Count, Required: true, Min: "0", Max: "255", Doc: "Order of shedding: the lowest rank is shed first."},
	},
}

var serviceSection = schema.Section{
	Name: "service", Named: true,
	Doc: "A set of equal targets. Its name is the first segment of the path of its requests.",
	Keys: []schema.Key{
		{Name: "slots", Type: schema.Count, Required: true, Min: "1", Max: "100000", Doc: "Requests that one target runs at once. Upper limit on the in-flight limit, which measurement lowers. Too high: the target slows down before the limit takes effect; too low: capacity stays unused."},
		{Name: "connections", Type: schema.Count, Required: true, Min: "1", Max: "1000000", Doc: "Connections that one target accepts. The in-flight limit never exceeds it."},
	},
}

var routeSection = schema.Section{
	Name: "route", Named: true,
	Doc: "The requests of one method and path prefix of a service. The route with the longest matching prefix applies; of two with the same prefix, the one that names a method. A request without a route is refused.",
	Keys: []schema.Key{
		{Name: "service", Type: schema.Name, Required: true, Doc: "Service that the route belongs to."},
		{Name: "method", Type: schema.Enum, Allowed: []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}, Doc: "HTTP method. Without it, the route matches every method."},
		{Name: "path", Type: schema.Path, Default: "/", Doc: "Prefix of the path below the service."},
		{Name: "class", Type: schema.Name, Required: true, Doc: "Class, which decides when the requests are shed."},
		{Name: "repeat", Type: schema.Enum, Allowed: []string{repeatSafe, repeatOnce}, Required: true, Doc: "`safe`: the request may run more than once and is retried even when it may have been delivered. `once`: it runs at most once and needs an idempotency key."},
		{Name: "timeout", Type: schema.Duration, Default: "2s", Min: "1ms", Max: "10m", Doc: "Time for the whole call with its retries, unless the caller asks for less. Longer: fewer late responses are lost; shorter: less work is wasted on callers that have left."},
	},
}

var retrySection = schema.Section{
	Name: "retry",
	Doc:  "Bounds on retries.",
	Keys: []schema.Key{
		{Name: "budget", Type: schema.Count, Default: "3", Min: "0", Max: "20", Doc: "Retries of one root request over its whole call chain. Higher: more failures are hidden from callers; lower: less extra load in an overload."},
		{Name: "ratio", Type: schema.Share, Default: "10%", Min: "0%", Max: "100%", Doc: "Retries of a service as a share of its first attempts. Bounds the extra load that retries add to an overload."},
	},
}

var queueSection = schema.Section{
	Name: "queue",
	Doc:  "The queue in front of each target.",
	Keys: []schema.Key{
		{Name: "length", Type: schema.Share, Default: "100%", Min: "0%", Max: "1000%", Doc: "Longest queue as a share of the target's slots. Longer: bursts are absorbed; shorter: requests wait less and recovery is faster."},
		{Name: "max_wait", Type: schema.Duration, Default: "200ms", Min: "1ms", Max: "10s", Doc: "Longest wait that admission accepts. Longer: fewer requests are shed in a burst; shorter: faster recovery."},
	},
}

var shedSection = schema.Section{
	Name: "shed",
	Doc:  "The shedding of requests under overload.",
	Keys: []schema.Key{
		{Name: "return_step", Type: schema.Share, Default: "30%", Min: "5%", Max: "100%", Doc: "Part of a class that a target whose slots stand idle admits again at most in each 100 ms. Higher: faster recovery when an overload ends; lower: less work of earlier hops is lost to requests that are admitted too soon."},
	},
}

var limitsSection = schema.Section{
	Name: "limits",
	Doc:  "Bounds on what one request may take. A response is held in memory until it is complete.",
	Keys: []schema.Key{
		{Name: "request_body", Type: schema.Size, Default: "1MiB", Min: "1KiB", Max: "64MiB", Doc: "Largest request body. Higher: more memory per request in flight."},
		{Name: "response_body", Type: schema.Size, Default: "4MiB", Min: "1KiB", Max: "64MiB", Doc: "Largest response body. Higher: more memory per request in flight."},
		{Name: "header", Type: schema.Size, Default: "16KiB", Min: "1KiB", Max: "1MiB", Doc: "Largest sum of the URL and the names and values of the headers."},
	},
}

var balanceSection = schema.Section{
	Name: "balance",
	Doc:  "The choice of a target.",
	Keys: []schema.Key{
		{Name: "eject_failures", Type: schema.Count, Default: "5", Min: "1", Max: "1000", Doc: "Consecutive failures that eject a target. Lower: faster reaction; higher: fewer healthy targets are ejected by chance."},
		{Name: "eject_time", Type: schema.Duration, Default: "1s", Min: "10ms", Max: "10m", Doc: "How long a target stays ejected at first."},
		{Name: "eject_share", Type: schema.Share, Default: "50%", Min: "0%", Max: "90%", Doc: "Largest share of a service's targets that may be ejected. Higher: more failing targets are avoided; lower: more capacity stays in use when a failure is not the targets' own."},
	},
}

var onceSection = schema.Section{
	Name: "once",
	Doc:  "Idempotency keys. `record_retention` must be longer than `key_validity`.",
	Keys: []schema.Key{
		{Name: "key_validity", Type: schema.Duration, Default: "10m", Min: "1s", Max: "24h", Doc: "How long a node-issued key may be used. Longer: callers may repeat later; shorter: less memory."},
		{Name: "record_retention", Type: schema.Duration, Default: "20m", Min: "2s", Max: "48h", Doc: "How long the record of a key is kept after its first use. Longer: late repeats still get the recorded response; shorter: less memory."},
	},
}
