package schema

import (
	"bytes"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// File is a configuration file and the name under which findings refer to it.
type File struct {
	Name string
	Body []byte
}

// Severity says whether a finding rejects a file.
type Severity string

// Severities of findings.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is one error or warning about a file.
type Finding struct {
	Severity Severity `json:"severity"`
	File     string   `json:"file"`
	Line     int      `json:"line"` // from 1; 0 when the finding is about the whole file
	Section  string   `json:"section,omitempty"`
	Key      string   `json:"key,omitempty"`
	Text     string   `json:"text"`
}

// String returns the finding in the form "file:line: severity: [section] key: text".
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	fmt.Fprintf(&b, ": %s: ", f.Severity)
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Text)
	return b.String()
}

// HasErrors reports whether a finding has severity error.
func HasErrors(findings []Finding) bool {
	for _, f := range findings {
		if f.Severity == Error {
			return true
		}
	}
	return false
}

const (
	// maxFileSize keeps a file far below the request size limits of common object stores. A file for 390 services with eight
	// routes each takes about 500 KiB.
	maxFileSize = 4 << 20
	// maxLineLength keeps a line short enough to be read in a finding.
	maxLineLength = 4096
)

// rawEntry is one key of a file with its unparsed value.
type rawEntry struct {
	key, text string
	line      int
}

// rawSection is one section of a file with its unparsed values.
type rawSection struct {
	name    string // as written between the brackets, with single spaces
	line    int
	entries []rawEntry
}

// lineOptions make the ini library parse one line independently of the others. A comment after a value needs a space before
// it, so that a path or URL with a # is not cut off.
var lineOptions = ini.LoadOptions{IgnoreContinuation: true, KeyValueDelimiters: "=", SpaceBeforeInlineComment: true}

// readSections splits a file into sections. Each line is parsed by itself, as the ini library reports no line numbers when it
// parses a whole file.
func readSections(f File) ([]rawSection, []Finding) {
	var findings []Finding
	report := func(line int, section, key, format string, args ...any) {
		findings = append(findings, Finding{Error, f.Name, line, section, key, fmt.Sprintf(format, args...)})
	}
	if len(f.Body) > maxFileSize {
		report(0, "", "", "the file has %d bytes, more than %d", len(f.Body), maxFileSize)
		return nil, findings
	}
	var sections []rawSection
	lineNumber := 0
	for line := range bytes.Lines(bytes.TrimPrefix(f.Body, []byte("\xef\xbb\xbf"))) {
		lineNumber++
		text := strings.TrimSpace(string(line))
		if err := checkLine(text); err != nil {
			report(lineNumber, "", "", "%v", err)
			continue
		}
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		if text[0] == '[' {
			name, err := sectionName(text)
			if err != nil {
				report(lineNumber, "", "", "%v", err)
			}
			// A malformed header starts a section too, so that the keys below it are not attributed to the section above.
			sections = append(sections, rawSection{name: name, line: lineNumber})
			continue
		}
		key, value, err := keyValue(text)
		switch {
		case err != nil:
			report(lineNumber, "", "", "%v", err)
		case len(sections) == 0:
			report(lineNumber, "", key, "the key stands before the first section")
		default:
			last := &sections[len(sections)-1]
			last.entries = append(last.entries, rawEntry{key, value, lineNumber})
		}
	}
	return sections, findings
}

func checkLine(text string) error {
	if len(text) > maxLineLength {
		return fmt.Errorf("the line is longer than %d bytes", maxLineLength)
	}
	if !utf8.ValidString(text) {
		return fmt.Errorf("the line is not valid UTF-8")
	}
	if strings.ContainsFunc(text, func(r rune) bool { return r != '\t' && (unicode.IsControl(r) || r == '\ufeff') }) {
		return fmt.Errorf("the line contains a control character")
	}
	return nil
}

// sectionName returns the name in a section header, which may be followed by a comment.
func sectionName(text string) (string, error) {
	end := strings.IndexByte(text, ']')
	if end < 0 {
		return "", fmt.Errorf("the section header has no closing bracket")
	}
	rest := strings.TrimSpace(text[end+1:])
	if rest != "" && rest[0] != '#' && rest[0] != ';' {
		return "", fmt.Errorf("unexpected text %q after the section header", rest)
	}
	name := strings.Join(strings.Fields(text[1:end]), " ")
	if name == "" {
		return "", fmt.Errorf("the section header is empty")
	}
	return name, nil
}

// specialChars are the characters to which the ini library may give a special meaning.
const specialChars = "\"'`#;\\"

// keyValue splits a line at its first equals sign. Only lines with special characters are given to the ini library, because it
// allocates a file and its buffers for each line.
func keyValue(text string) (key, value string, err error) {
	if !strings.ContainsAny(text, specialChars) {
		key, value, ok := strings.Cut(text, "=")
		key = strings.TrimSpace(key)
		if ok && key != "" && key != "-" { // the library replaces the key "-" by a number
			return key, strings.TrimSpace(value), nil
		}
	}
	return iniKeyValue(text)
}

func iniKeyValue(text string) (key, value string, err error) {
	parsed, err := ini.LoadSources(lineOptions, []byte(text))
	if err != nil {
		return "", "", fmt.Errorf("the line is not of the form \"key = value\"")
	}
	keys := parsed.Section(ini.DefaultSection).Keys()
	if len(keys) != 1 {
		return "", "", fmt.Errorf("the line is not of the form \"key = value\"")
	}
	return keys[0].Name(), keys[0].Value(), nil
}
