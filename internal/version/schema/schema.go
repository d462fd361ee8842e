// Package schema describes INI files: which sections and keys they have, and the unit, default, range and meaning of each
// key. One schema drives parsing, checking and the documentation page, so that the three cannot differ.
//
// A Schema and the Values that it produces are immutable once built and safe for concurrent use.
package schema

import (
	"fmt"
	"slices"
	"strings"
)

// Key describes one key of a section. Default, Min and Max are written as in a file.
type Key struct {
	Name     string
	Type     Type
	Default  string   // value of a key that no file sets; empty: none
	Required bool     // the key must be set in some file
	Min, Max string   // inclusive range, for types that are ordered
	Allowed  []string // accepted values of type Enum
	Doc      string   // meaning and trade-offs, for docs/settings.md
}

// Section describes the section "[Name]" or, if Named is set, every section "[Name X]" with any name X.
type Section struct {
	Name  string
	Named bool
	// LastOnly restricts the section to the last file. It is for values that differ between sites by definition.
	LastOnly bool
	Doc      string
	Keys     []Key
}

// Schema is the list of sections that a kind of file may have.
type Schema []Section

func (s Schema) section(name string) *Section {
	i := slices.IndexFunc(s, func(sec Section) bool { return sec.Name == name })
	if i < 0 {
		return nil
	}
	return &s[i]
}

func (s *Section) key(name string) *Key {
	i := slices.IndexFunc(s.Keys, func(k Key) bool { return k.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Keys[i]
}

func (s *Section) keyNames() string {
	names := make([]string, len(s.Keys))
	for i, k := range s.Keys {
		names[i] = k.Name
	}
	return strings.Join(names, ", ")
}

// Check returns an error if the schema contradicts itself, for example by a default outside its own range.
func (s Schema) Check() error {
	for _, sec := range s {
		for _, k := range sec.Keys {
			if err := k.check(); err != nil {
				return fmt.Errorf("[%s] %s: %w", sec.Name, k.Name, err)
			}
		}
	}
	return nil
}

func (k *Key) check() error {
	if k.Doc == "" {
		return fmt.Errorf("no documentation")
	}
	for _, bound := range []string{k.Min, k.Max} {
		if bound == "" {
			continue
		}
		if _, err := parse(k.Type, bound); err != nil {
			return fmt.Errorf("bound: %w", err)
		}
	}
	if k.Required && k.Default != "" {
		return fmt.Errorf("required, but has a default")
	}
	if k.Default != "" {
		if _, err := k.parse(k.Default); err != nil {
			return fmt.Errorf("default: %w", err)
		}
	}
	return nil
}
