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

// Check resolves the set for each of its sites, in the order of the overlays. A finding in the base file is reported once,
// not once per site. The effective values are complete only if no finding has severity error.
func Check(set FileSet) ([]Site, []Finding) {
	resolved, findings := set.resolve()
	var sites []Site
	for i, r := range resolved {
		sites = append(sites, Site{r.name, set.Overlays[i].Name, r.values.Settings()})
	}
	return sites, findings
}

// resolvedSite holds the effective values of the site of one overlay.
type resolvedSite struct {
	name   string
	values *schema.Values
}

// resolve applies each overlay to the base file.
func (s FileSet) resolve() ([]resolvedSite, []Finding) {
	var out []resolvedSite
	var findings []Finding
	for _, overlay := range s.Overlays {
		values, siteFindings := resolve(s.Base, overlay)
		site := values.Section("site")
		r := resolvedSite{site.Get("name").Text, values}
		if r.name != "" && slices.ContainsFunc(out, func(o resolvedSite) bool { return o.name == r.name }) {
			siteFindings = append(siteFindings, site.Finding("name", "two overlays are for site %s", r.name))
		}
		out = append(out, r)
		findings = append(findings, siteFindings...)
	}
	return out, s.sortFindings(findings)
}

// sortFindings sorts findings by file and line and removes the duplicates that several overlays report.
func (s FileSet) sortFindings(findings []Finding) []Finding {
	rank := map[string]int{}
	for i, f := range s.Overlays {
		rank[f.Name] = i + 1
	}
	seen := map[Finding]bool{}
	findings = slices.DeleteFunc(findings, func(f Finding) bool {
		duplicate := seen[f]
		seen[f] = true
		return duplicate
	})
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(rank[a.File], rank[b.File]), cmp.Compare(a.Line, b.Line))
	})
	return findings
}
