package schema

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Origin says where an effective value comes from.
type Origin struct {
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
}

// IsDefault reports whether the value is the schema's default.
func (o Origin) IsDefault() bool { return o.File == "" }

// String returns "file:line" or "default".
func (o Origin) String() string {
	if o.IsDefault() {
		return "default"
	}
	return fmt.Sprintf("%s:%d", o.File, o.Line)
}

// Item is an effective value with its origin.
type Item struct {
	Value
	Origin Origin
	Set    bool // a file sets the value or the key has a default
}

// Group holds the effective values of one section.
type Group struct {
	Kind   string // name of the section in the schema
	Name   string // X of "[kind X]"; empty for sections without a name
	Origin Origin // first header of the section; the default origin if no file has it
	items  map[string]Item
}

// Header returns the section's name as written between brackets.
func (g *Group) Header() string { return header(g.Kind, g.Name) }

// Get returns the value of a key. It panics if the schema lacks the key, which is a bug in the caller.
func (g *Group) Get(key string) Item {
	item, ok := g.items[key]
	if !ok {
		panic(fmt.Sprintf("schema: section [%s] has no key %q", g.Kind, key))
	}
	return item
}

// Finding returns a finding of severity error about a key, or about the whole section if the key is empty.
func (g *Group) Finding(key, format string, args ...any) Finding {
	at := g.Origin
	if item, ok := g.items[key]; ok && !item.Origin.IsDefault() {
		at = item.Origin
	}
	return Finding{Error, at.File, at.Line, g.Header(), key, fmt.Sprintf(format, args...)}
}

// Values are the effective values that result from a list of files.
type Values struct {
	schema Schema
	groups map[string]map[string]*Group // by section and name
}

// Section returns the values of a section without a name.
func (v *Values) Section(section string) *Group { return v.groups[section][""] }

// All returns the sections "[section X]" in the order of their names.
func (v *Values) All(section string) []*Group {
	return slices.SortedFunc(maps.Values(v.groups[section]), func(a, b *Group) int { return cmp.Compare(a.Name, b.Name) })
}

// Named returns the section "[section name]", or nil.
func (v *Values) Named(section, name string) *Group { return v.groups[section][name] }

// Setting is one effective value as listed for an operator.
type Setting struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Origin  Origin `json:"origin"`

	parsed Value
	typ    Type
}

// Equal reports whether both settings have the same value, however it is written and wherever it comes from.
func (s Setting) Equal(o Setting) bool { return s.typ == o.typ && s.parsed.equal(o.parsed, s.typ) }

// Settings lists every effective value in the order of the schema and of the section names.
func (v *Values) Settings() []Setting {
	var out []Setting
	for _, sec := range v.schema {
		for _, g := range v.All(sec.Name) {
			for _, k := range sec.Keys {
				if item := g.items[k.Name]; item.Set {
					out = append(out, Setting{g.Header(), k.Name, item.Text, item.Origin, item.Value, k.Type})
				}
			}
		}
	}
	return out
}

// Resolve applies the files in order, so that later files override earlier ones, and fills in the defaults. It returns the
// values of all keys even if there are findings; a value that could not be read leaves the value of an earlier file or the
// default in force.
func (s Schema) Resolve(files ...File) (*Values, []Finding) {
	v := &Values{schema: s, groups: map[string]map[string]*Group{}}
	for _, sec := range s {
		v.groups[sec.Name] = map[string]*Group{}
		if !sec.Named {
			v.addGroup(&sec, "", Origin{})
		}
	}
	var findings []Finding
	for i, f := range files {
		rawSections, fileFindings := readSections(f)
		findings = append(findings, fileFindings...)
		l := fileLayer{values: v, file: f.Name, last: i == len(files)-1, sections: map[string]int{}, keys: map[[2]string]int{}}
		for _, b := range rawSections {
			l.applySection(b)
		}
		findings = append(findings, l.findings...)
	}
	findings = append(findings, v.missingKeys(files)...)
	return v, findings
}

func (v *Values) addGroup(sec *Section, name string, origin Origin) *Group {
	g := &Group{Kind: sec.Name, Name: name, Origin: origin, items: make(map[string]Item, len(sec.Keys))}
	for _, k := range sec.Keys {
		var item Item
		if k.Default != "" {
			value, err := k.parse(k.Default)
			item = Item{Value: value, Set: err == nil}
		}
		g.items[k.Name] = item
	}
	v.groups[sec.Name][name] = g
	return g
}

// missingKeys returns a finding for each required key without a value.
func (v *Values) missingKeys(files []File) []Finding {
	var findings []Finding
	for _, sec := range v.schema {
		for _, g := range v.All(sec.Name) {
			for _, k := range sec.Keys {
				if !k.Required || g.items[k.Name].Set {
					continue
				}
				f := g.Finding("", "the required key is missing")
				f.Key = k.Name
				if f.File == "" && len(files) > 0 {
					f.File = files[len(files)-1].Name
				}
				findings = append(findings, f)
			}
		}
	}
	return findings
}

// fileLayer applies one file to the values.
type fileLayer struct {
	values   *Values
	file     string
	last     bool
	sections map[string]int    // line of each section header in this file
	keys     map[[2]string]int // line of each section and key in this file
	findings []Finding
}

func (l *fileLayer) report(severity Severity, line int, section, key, format string, args ...any) {
	l.findings = append(l.findings, Finding{severity, l.file, line, section, key, fmt.Sprintf(format, args...)})
}

func (l *fileLayer) applySection(b rawSection) {
	if b.name == "" {
		return // readSections has reported the malformed header
	}
	kind, name, _ := strings.Cut(b.name, " ")
	sec := l.values.schema.section(kind)
	switch {
	case sec == nil:
		l.report(Error, b.line, b.name, "", "unknown section")
		return
	case sec.Named && CheckName(name) != nil:
		l.report(Error, b.line, b.name, "", "the section needs a name: %v", CheckName(name))
		return
	case !sec.Named && name != "":
		l.report(Error, b.line, b.name, "", "the section [%s] takes no name", kind)
		return
	case sec.LastOnly && !l.last:
		l.report(Error, b.line, b.name, "", "the section belongs in the overlay")
		return
	}
	if first, ok := l.sections[b.name]; ok {
		l.report(Error, b.line, b.name, "", "the section appears twice, first in line %d", first)
	} else {
		l.sections[b.name] = b.line
	}
	g := l.values.Named(kind, name)
	origin := Origin{l.file, b.line}
	if g == nil {
		g = l.values.addGroup(sec, name, origin)
	} else if g.Origin.IsDefault() {
		g.Origin = origin
	}
	l.applyKeys(sec, g, b)
}

func (l *fileLayer) applyKeys(sec *Section, g *Group, b rawSection) {
	for _, e := range b.entries {
		k := sec.key(e.key)
		if k == nil {
			l.report(Error, e.line, b.name, e.key, "unknown key; the section has %s", sec.keyNames())
			continue
		}
		if first, ok := l.keys[[2]string{b.name, e.key}]; ok {
			l.report(Error, e.line, b.name, e.key, "the key appears twice, first in line %d", first)
			continue
		}
		l.keys[[2]string{b.name, e.key}] = e.line
		previous := g.items[e.key]
		value, err := k.parse(e.text)
		if err != nil {
			l.report(Error, e.line, b.name, e.key, "%v", err)
			// The key counts as set, so that an invalid value of a required key is not also reported as missing.
			g.items[e.key] = Item{Value: previous.Value, Origin: Origin{l.file, e.line}, Set: true}
			continue
		}
		if !previous.Origin.IsDefault() && previous.Value.equal(value, k.Type) {
			l.report(Warning, e.line, b.name, e.key, "repeats the value of %s", previous.Origin)
		}
		g.items[e.key] = Item{Value: value, Origin: Origin{l.file, e.line}, Set: true}
	}
}

func header(kind, name string) string {
	if name == "" {
		return kind
	}
	return kind + " " + name
}
