package schema

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Type is the type of a value, which also determines its unit.
type Type string

// Types of values.
const (
	Count       Type = "count"    // a whole number without a unit
	Duration    Type = "duration" // a number with ms, s, m or h
	Size        Type = "size"     // a whole number with B, KiB, MiB or GiB
	Share       Type = "share"    // a number with %
	Enum        Type = "word"     // one of the words in Key.Allowed
	Name        Type = "name"     // lower-case letters, digits and hyphens
	Path        Type = "path"     // starts with a slash
	FileName    Type = "file"     // the name of a file
	Listen      Type = "listen"   // an IP address with a port; port 0 selects a free port
	Address     Type = "address"  // an IP address with a port
	AddressList Type = "list"     // addresses separated by commas
	URL         Type = "url"      // http or https
)

// units are the units of each type as the documentation lists them.
var units = map[Type]string{
	Count: "none", Duration: "`ms`, `s`, `m`, `h`", Size: "`B`, `KiB`, `MiB`, `GiB`", Share: "`%`",
	Enum: "word", Name: "name", Path: "path", FileName: "file name", Listen: "IP address:port",
	Address: "IP address:port", AddressList: "IP address:port, ...", URL: "URL",
}

// Value is a parsed value. The field that holds it depends on its type.
type Value struct {
	Text        string // as written; for enums, names, paths, addresses and URLs
	Int         int64  // Count, and Size in bytes
	Duration    time.Duration
	Share       float64  // 0.1 for 10%
	AddressList []string // without the commas
}

// equal reports whether both values are the same, even if they are written differently.
func (v Value) equal(o Value, t Type) bool {
	switch t {
	case Count, Size:
		return v.Int == o.Int
	case Duration:
		return v.Duration == o.Duration
	case Share:
		return v.Share == o.Share
	case AddressList:
		return slices.Equal(v.AddressList, o.AddressList)
	default:
		return v.Text == o.Text
	}
}

// number returns the number by which values of ordered types are compared.
func (v Value) number(t Type) float64 {
	switch t {
	case Duration:
		return float64(v.Duration)
	case Share:
		return v.Share
	default:
		return float64(v.Int)
	}
}

// maxNameLength keeps names short enough for log lines and metric labels.
const maxNameLength = 64

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
	sizePattern     = regexp.MustCompile(`^([0-9]+)(B|KiB|MiB|GiB)$`)
	sharePattern    = regexp.MustCompile(`^([0-9]+(?:\.[0-9]+)?)%$`)
	durationPattern = regexp.MustCompile(`^([0-9]+(\.[0-9]+)?(ms|s|m|h))+$`)
	sizeUnits       = map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
)

// parse parses a value and checks it against the allowed values and the range of the key.
func (k *Key) parse(text string) (Value, error) {
	v, err := parse(k.Type, text)
	if err != nil {
		return v, err
	}
	if k.Type == Enum && !slices.Contains(k.Allowed, text) {
		return v, fmt.Errorf("%q is not one of %s", text, strings.Join(k.Allowed, ", "))
	}
	if k.Min != "" {
		if low, _ := parse(k.Type, k.Min); v.number(k.Type) < low.number(k.Type) {
			return v, fmt.Errorf("%s is below the minimum %s", text, k.Min)
		}
	}
	if k.Max != "" {
		if high, _ := parse(k.Type, k.Max); v.number(k.Type) > high.number(k.Type) {
			return v, fmt.Errorf("%s is above the maximum %s", text, k.Max)
		}
	}
	return v, nil
}

func parse(t Type, text string) (Value, error) {
	v := Value{Text: text}
	if text == "" {
		return v, fmt.Errorf("the value is empty")
	}
	var err error
	switch t {
	case Count:
		if v.Int, err = strconv.ParseInt(text, 10, 64); err != nil || text[0] < '0' || text[0] > '9' {
			return v, fmt.Errorf("%q is not a whole number without a unit", text)
		}
	case Duration:
		if v.Duration, err = time.ParseDuration(text); err != nil || !durationPattern.MatchString(text) {
			return v, fmt.Errorf("%q is not a duration with a unit (ms, s, m, h)", text)
		}
	case Size:
		v.Int, err = parseSize(text)
	case Share:
		v.Share, err = parseShare(text)
	case Name:
		err = CheckName(text)
	case Path:
		if !strings.HasPrefix(text, "/") || strings.ContainsAny(text, " ?#") {
			err = fmt.Errorf("%q is not a path that starts with a slash and has no query", text)
		}
	case Listen, Address:
		err = checkAddress(text, t == Listen)
	case AddressList:
		v.AddressList, err = parseAddressList(text)
	case URL:
		err = checkURL(text)
	}
	return v, err
}

func parseSize(text string) (int64, error) {
	m := sizePattern.FindStringSubmatch(text)
	if m == nil {
		return 0, fmt.Errorf("%q is not a size with a unit (B, KiB, MiB, GiB)", text)
	}
	n, err := strconv.ParseInt(m[1], 10, 64)
	if err != nil || n > math.MaxInt64/sizeUnits[m[2]] {
		return 0, fmt.Errorf("%q is too large", text)
	}
	return n * sizeUnits[m[2]], nil
}

func parseShare(text string) (float64, error) {
	m := sharePattern.FindStringSubmatch(text)
	if m == nil {
		return 0, fmt.Errorf("%q is not a share with the unit %%", text)
	}
	n, err := strconv.ParseFloat(m[1], 64)
	if err != nil {
		return 0, fmt.Errorf("%q is too large", text)
	}
	return n / 100, nil
}

// CheckName returns an error unless the text is a name: lower-case letters and digits, with single hyphens between them.
func CheckName(text string) error {
	if len(text) > maxNameLength || !namePattern.MatchString(text) {
		return fmt.Errorf("%q is not a name of at most %d lower-case letters, digits and single hyphens", text, maxNameLength)
	}
	return nil
}

func checkAddress(text string, allowPortZero bool) error {
	ap, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q is not an IP address with a port", text)
	}
	if ap.Port() == 0 && !allowPortZero {
		return fmt.Errorf("%q has port 0", text)
	}
	return nil
}

func parseAddressList(text string) ([]string, error) {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if err := checkAddress(part, false); err != nil {
			return nil, err
		}
		if slices.Contains(list, part) {
			return nil, fmt.Errorf("%q is listed twice", part)
		}
		list = append(list, part)
	}
	return list, nil
}

func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return fmt.Errorf("%q is not an http or https URL without user, query and fragment", text)
	}
	return nil
}
