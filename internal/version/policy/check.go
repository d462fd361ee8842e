package policy

import (
	"cmp"
	"slices"

	"github.com/wigeoncleat/wigeoncleat/internal/version/schema"
)

// Site is the effective policy of one site as listed for an operator.
type Site struct {
	Name      string           `json:"site"`
	Overlay   string           `json:"overlay"` // file name
	Effective []schema.Setting `json:"effective"`
}

// Check resolves the set for each of its sites, in the order of the overlays. A fault of the base file is reported once,
// not once per site. The effective values are complete only without findings of severity error.
func Check(set FileSet) ([]Site, []Finding) {
	resolved, findings := set.resolve()
	var sites []Site
	for i, r := range resolved {
		sites = append(sites, Site{r.name, set.Overlays[i].Name, r.values.Settings()})
	}
	return sites, findings
}

// resolvedSite is the result of one overlay.
type resolvedSite struct {
	name   string
	values *schema.Values
}

// resolve applies each overlay to the base file.
func (s FileSet) resolve() ([]resolvedSite, []Finding) {
	var out []resolvedSite
	var findings []Finding
	for _, overlay := range s.Overlays {
		values, faults := resolve(s.Base, overlay)
		site := values.Section("site")
		r := resolvedSite{site.Get("name").Text, values}
		if r.name != "" && slices.ContainsFunc(out, func(o resolvedSite) bool { return o.name == r.name }) {
			faults = append(faults, site.Finding("name", "two overlays are for site %s", r.name))
		}
		out = append(out, r)
		findings = append(findings, faults...)
	}
	return out, s.order(findings)
}

// order sorts findings by file and line and removes those that several overlays share.
func (s FileSet) order(findings []Finding) []Finding {
	rank := map[string]int{}
	for i, f := range s.Overlays {
		rank[f.Name] = i + 1
	}
	seen := map[Finding]bool{}
	findings = slices.DeleteFunc(findings, func(f Finding) bool {
		again := seen[f]
		seen[f] = true
		return again
	})
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(rank[a.File], rank[b.File]), cmp.Compare(a.Line, b.Line))
	})
	return findings
}
