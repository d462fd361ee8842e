package schema

import (
	"fmt"
	"strings"
)

// Markdown returns the tables of docs/settings.md that describe the schema.
func (s Schema) Markdown() string {
	var b strings.Builder
	for _, sec := range s {
		name := sec.Name
		if sec.Named {
			name += " NAME"
		}
		fmt.Fprintf(&b, "### `[%s]`\n\n%s\n\n| key | unit | default | range | meaning |\n|---|---|---|---|---|\n", name, sec.Doc)
		for _, k := range sec.Keys {
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.Name, units[k.Type], k.defaultText(), k.rangeText(), k.Doc)
		}
		b.WriteString("\n")
	}
	return b.String()
}

func (k *Key) defaultText() string {
	switch {
	case k.Required:
		return "required"
	case k.Default == "":
		return "none"
	default:
		return "`" + k.Default + "`"
	}
}

func (k *Key) rangeText() string {
	switch {
	case len(k.Allowed) > 0:
		return "`" + strings.Join(k.Allowed, "`, `") + "`"
	case k.Min != "" || k.Max != "":
		return fmt.Sprintf("`%s` to `%s`", k.Min, k.Max)
	default:
		return ""
	}
}
