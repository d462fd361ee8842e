package policy

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/wigeoncleat/wigeoncleat/internal/version/schema"
)

// File is a base file or an overlay.
type File = schema.File

// Finding is one error or warning about a file.
type Finding = schema.Finding

// ErrRejected reports that a file has findings of severity error.
var ErrRejected = errors.New("policy rejected")

// Load applies the site's overlay to the base file. With findings of severity error it returns no policy and an error
// that wraps ErrRejected; warnings alone do not reject a policy. The policy's version is 0 until WithVersion sets it.
func Load(base, overlay File) (*Policy, []Finding, error) {
	values, findings := resolve(base, overlay)
	if schema.HasErrors(findings) {
		return nil, findings, fmt.Errorf("%w: %s with %s: %s", ErrRejected, base.Name, overlay.Name, firstError(findings))
	}
	return newPolicy(values), findings, nil
}

// Effective lists every effective value with its origin. The list is complete only if no finding has severity
// error.
func Effective(base, overlay File) ([]schema.Setting, []Finding) {
	values, findings := resolve(base, overlay)
	return values.Settings(), findings
}

func firstError(findings []Finding) string {
	i := slices.IndexFunc(findings, func(f Finding) bool { return f.Severity == schema.Error })
	return findings[i].String()
}

func resolve(base, overlay File) (*schema.Values, []Finding) {
	values, findings := Schema().Resolve(base, overlay)
	// The checks below compare values with each other, so all of them must have been read without an error.
	if !schema.HasErrors(findings) {
		findings = append(findings, checkReferences(values)...)
	}
	if !schema.HasErrors(findings) {
		findings = append(findings, checkRoutes(values)...)
		findings = append(findings, checkClassOrder(values)...)
		findings = append(findings, checkOnce(values)...)
	}
	return values, findings
}

func checkReferences(v *schema.Values) []Finding {
	var findings []Finding
	for _, r := range v.All("route") {
		for _, key := range []string{"service", "class"} {
			if name := r.Get(key).Text; v.Named(key, name) == nil {
				findings = append(findings, r.Finding(key, "there is no section [%s %s]", key, name))
			}
		}
	}
	return findings
}

// checkRoutes reports routes that match the same requests, because only one of them could ever apply.
func checkRoutes(v *schema.Values) []Finding {
	var findings []Finding
	first := map[[3]string]*schema.Group{}
	for _, r := range v.All("route") {
		id := [3]string{r.Get("service").Text, r.Get("method").Text, r.Get("path").Text}
		if other := first[id]; other != nil {
			findings = append(findings, r.Finding("path", "matches the same requests as [%s] at %s", other.Header(), other.Origin))
			continue
		}
		first[id] = r
	}
	return findings
}

// checkClassOrder reports routes that must not run twice but would be shed before, or together with, an idempotent route.
// Routes of all services are compared, because priorities are compared across the services of a call chain.
func checkClassOrder(v *schema.Values) []Finding {
	rank := func(r *schema.Group) schema.Item { return v.Named("class", r.Get("class").Text).Get("rank") }
	var highestSafe *schema.Group
	for _, r := range v.All("route") {
		if r.Get("repeat").Text == repeatSafe && (highestSafe == nil || rank(r).Int > rank(highestSafe).Int) {
			highestSafe = r
		}
	}
	if highestSafe == nil {
		return nil
	}
	var findings []Finding
	for _, r := range v.All("route") {
		if r.Get("repeat").Text != repeatOnce || rank(r).Int > rank(highestSafe).Int {
			continue
		}
		findings = append(findings, r.Finding("class",
			"class %s of rank %d (%s) would shed this route, which must not repeat, before or together with [%s], whose class %s has rank %d (%s)",
			r.Get("class").Text, rank(r).Int, rank(r).Origin,
			highestSafe.Header(), highestSafe.Get("class").Text, rank(highestSafe).Int, rank(highestSafe).Origin))
	}
	return findings
}

// checkOnce requires that records of idempotency keys are kept longer than keys are valid. Otherwise a request whose key is
// still valid but whose record is gone could run again.
func checkOnce(v *schema.Values) []Finding {
	once := v.Section("once")
	validity, retention := once.Get("key_validity"), once.Get("record_retention")
	if retention.Duration > validity.Duration {
		return nil
	}
	at := "record_retention"
	if retention.Origin.IsDefault() {
		at = "key_validity"
	}
	return []Finding{once.Finding(at, "record_retention %s (%s) is not longer than key_validity %s (%s)",
		retention.Text, retention.Origin, validity.Text, validity.Origin)}
}

func newPolicy(v *schema.Values) *Policy {
	p := &Policy{Site: v.Section("site").Get("name").Text, Services: map[string]*Service{}, Classes: map[string]uint8{}}
	retry, queue, limits, balance, once := v.Section("retry"), v.Section("queue"), v.Section("limits"), v.Section("balance"), v.Section("once")
	p.Retry = Retry{Budget: int(retry.Get("budget").Int), Ratio: retry.Get("ratio").Share}
	p.Queue = Queue{Length: queue.Get("length").Share, MaxWait: queue.Get("max_wait").Duration}
	p.Shed = Shed{ReturnStep: v.Section("shed").Get("return_step").Share}
	p.Limits = Limits{
		RequestBody:  int(limits.Get("request_body").Int),
		ResponseBody: int(limits.Get("response_body").Int),
		Header:       int(limits.Get("header").Int),
	}
	p.Balance = Balance{
		EjectFailures: int(balance.Get("eject_failures").Int),
		EjectTime:     balance.Get("eject_time").Duration,
		EjectShare:    balance.Get("eject_share").Share,
	}
	p.Once = Once{KeyValidity: once.Get("key_validity").Duration, RecordRetention: once.Get("record_retention").Duration}
	for _, c := range v.All("class") {
		p.Classes[c.Name] = uint8(c.Get("rank").Int)
	}
	for _, s := range v.All("service") {
		p.Services[s.Name] = &Service{Name: s.Name, Slots: int(s.Get("slots").Int), Connections: int(s.Get("connections").Int)}
	}
	for _, r := range v.All("route") {
		s := p.Services[r.Get("service").Text]
		s.Routes = append(s.Routes, Route{
			Name: r.Name, Method: r.Get("method").Text, Prefix: r.Get("path").Text,
			Class: r.Get("class").Text, Rank: p.Classes[r.Get("class").Text],
			Idempotent: r.Get("repeat").Text == repeatSafe, Timeout: r.Get("timeout").Duration,
		})
	}
	for _, s := range p.Services {
		slices.SortFunc(s.Routes, matchOrder)
	}
	return p
}

// matchOrder sorts the most specific route first: by falling length of the prefix, then routes with a method before those
// without, then by name.
func matchOrder(a, b Route) int {
	return cmp.Or(
		cmp.Compare(len(b.Prefix), len(a.Prefix)),
		cmp.Compare(min(len(b.Method), 1), min(len(a.Method), 1)),
		cmp.Compare(a.Name, b.Name),
	)
}
