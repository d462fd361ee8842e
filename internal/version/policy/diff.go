package policy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/wigeoncleat/wigeoncleat/internal/version/schema"
)

// FileSet is a base file with the overlays of all sites.
type FileSet struct {
	Base     File
	Overlays []File
}

// Difference is an effective value of a site that differs between two sets. Old or New is nil if that set has no such value.
type Difference struct {
	Site    string          `json:"site"`
	Section string          `json:"section"`
	Key     string          `json:"key"`
	Old     *schema.Setting `json:"old,omitempty"`
	New     *schema.Setting `json:"new,omitempty"`
}

// Diff lists the effective differences of every site, in the order of sites, sections and keys. A value that moved to
// another file or line, or is written in another unit, is not a difference. If either set has findings of severity error,
// Diff returns the findings with an error that wraps ErrRejected.
func Diff(old, new FileSet) ([]Difference, []Finding, error) {
	oldSites, findings := old.resolve()
	newSites, newFindings := new.resolve()
	findings = append(findings, newFindings...)
	if schema.HasErrors(findings) {
		return nil, findings, fmt.Errorf("%w: %s", ErrRejected, firstError(findings))
	}
	names := map[string]bool{}
	before, after := map[string]*schema.Values{}, map[string]*schema.Values{}
	for _, r := range oldSites {
		before[r.name], names[r.name] = r.values, true
	}
	for _, r := range newSites {
		after[r.name], names[r.name] = r.values, true
	}
	var out []Difference
	for _, site := range slices.Sorted(maps.Keys(names)) {
		out = append(out, diffSite(site, before[site], after[site])...)
	}
	return out, findings, nil
}

func diffSite(site string, before, after *schema.Values) []Difference {
	type settingID struct{ section, key string }
	index := func(v *schema.Values) (map[settingID]schema.Setting, []settingID) {
		m := map[settingID]schema.Setting{}
		var order []settingID
		if v == nil {
			return m, nil
		}
		for _, s := range v.Settings() {
			m[settingID{s.Section, s.Key}] = s
			order = append(order, settingID{s.Section, s.Key})
		}
		return m, order
	}
	old, oldOrder := index(before)
	cur, curOrder := index(after)
	ids := curOrder
	for _, i := range oldOrder {
		if _, ok := cur[i]; !ok {
			ids = append(ids, i)
		}
	}
	var out []Difference
	for _, i := range ids {
		a, inOld := old[i]
		b, inNew := cur[i]
		if inOld && inNew && a.Equal(b) {
			continue
		}
		d := Difference{Site: site, Section: i.section, Key: i.key}
		if inOld {
			d.Old = &a
		}
		if inNew {
			d.New = &b
		}
		out = append(out, d)
	}
	slices.SortStableFunc(out, func(a, b Difference) int { return cmp.Compare(a.Section, b.Section) })
	return out
}
