package policy

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/version/schema"
	"github.com/wigeoncleat/wigeoncleat/internal/version/schema/schematest"
)

const baseText = `[class read]
rank = 10
[class order]
rank = 20
[retry]
budget = 4
`

const overlayText = `[site]
name = north
[service shop]
slots = 8
connections = 20
[route browse]
service = shop
class = read
repeat = safe
[route buy]
service = shop
method = POST
path = /orders
class = order
repeat = once
timeout = 1.5s
`

func file(name, body string) File { return File{Name: name, Body: []byte(body)} }

// Guards against a settings page that disagrees with the schema.
func TestPageMatchesSchema(t *testing.T) {
	schematest.RequirePage(t, "../../../docs/settings.md", "policy", Schema())
}

// Guards against defaults that differ between the schema and the constants that the rest of the program uses.
func TestDefaultsMatch(t *testing.T) {
	p, findings, err := Load(file("b", ""), file("o", "[site]\nname = north\n"))
	require.NoError(t, err)
	require.Empty(t, findings)
	want := New()
	want.Site = "north"
	require.Equal(t, want, p)
	require.Equal(t, DefaultTimeout.String(), routeSection.Keys[5].Default)
}

// Guards against keys whose values are not copied to the policy, and against a route order in which a longer prefix never
// matches.
func TestLoad(t *testing.T) {
	p, findings, err := Load(file("base.ini", baseText), file("north.ini", overlayText+"[queue]\nlength = 50%\n[limits]\nheader = 8KiB\n"))
	require.NoError(t, err)
	require.Empty(t, findings)
	require.Equal(t, "north", p.Site)
	require.Equal(t, 4, p.Retry.Budget)
	require.Equal(t, 0.5, p.Queue.Length)
	require.Equal(t, 8<<10, p.Limits.Header)
	require.Equal(t, map[string]uint8{"read": 10, "order": 20}, p.Classes)
	shop := p.Services["shop"]
	require.Equal(t, 8, shop.Slots)
	require.Equal(t, 20, shop.Connections)
	r, ok := shop.Match("POST", "/orders/7?x=1")
	require.True(t, ok)
	require.Equal(t, &Route{Name: "buy", Method: "POST", Prefix: "/orders", Class: "order", Rank: 20, Timeout: 1500 * time.Millisecond}, r)
	r, ok = shop.Match("GET", "/orders/7")
	require.True(t, ok)
	require.True(t, r.Idempotent)
	require.EqualValues(t, 7, p.WithVersion(7).Version)
	require.Zero(t, p.Version)
}

// Guards against a request that is matched to a less specific route because of the order of the route names.
func TestMostSpecificRouteApplies(t *testing.T) {
	var text strings.Builder
	for name, match := range map[string]string{"a": "path = /", "b": "path = /x\nmethod = GET", "c": "path = /x/y", "d": "path = /x/y # comment\nmethod = GET"} {
		fmt.Fprintf(&text, "[route %s]\nservice = shop\nclass = read\nrepeat = safe\n%s\n", name, match)
	}
	p, findings, err := Load(file("base.ini", baseText), file("north.ini", "[site]\nname = north\n[service shop]\nslots = 1\nconnections = 1\n"+text.String()))
	require.NoError(t, err, findings)
	for request, want := range map[string]string{"GET /": "a", "GET /x": "b", "PUT /x": "a", "GET /x/y/z": "d", "PUT /x/y": "c"} {
		method, path, _ := strings.Cut(request, " ")
		r, ok := p.Services["shop"].Match(method, path)
		require.True(t, ok)
		require.Equal(t, want, r.Name, request)
	}
}

// Guards against each kind of invalid input being accepted, or being reported at the wrong file or line.
func TestFindings(t *testing.T) {
	lines := strings.Count(overlayText, "\n")
	cases := map[string]struct {
		base, overlay string // appended to the texts above
		file          string
		line          int
		text          string
	}{
		"unknown section":     {overlay: "[qeue]\nlength = 10%", line: lines + 1, text: "unknown section"},
		"unknown key":         {overlay: "[queue]\nlenght = 10%", line: lines + 2, text: "unknown key; the section has length, max_wait"},
		"missing unit":        {overlay: "[queue]\nmax_wait = 200", line: lines + 2, text: "not a duration with a unit"},
		"zero without unit":   {overlay: "[queue]\nmax_wait = 0", line: lines + 2, text: "not a duration with a unit"},
		"wrong unit":          {overlay: "[limits]\nheader = 16s", line: lines + 2, text: "not a size with a unit"},
		"decimal unit":        {overlay: "[limits]\nheader = 16KB", line: lines + 2, text: "not a size with a unit"},
		"space before unit":   {overlay: "[queue]\nmax_wait = 200 ms", line: lines + 2, text: "not a duration with a unit"},
		"share without unit":  {overlay: "[queue]\nlength = 0.5", line: lines + 2, text: "not a share with the unit %"},
		"count with unit":     {base: "ratio = 5%\n[balance]\neject_failures = 5%", file: "base.ini", line: 9, text: "not a whole number"},
		"negative":            {overlay: "[queue]\nmax_wait = -1s", line: lines + 2, text: "not a duration"},
		"not a number":        {overlay: "[queue]\nlength = NaN%", line: lines + 2, text: "not a share"},
		"below the range":     {overlay: "[queue]\nmax_wait = 0.5ms", line: lines + 2, text: "below the minimum 1ms"},
		"above the range":     {base: "ratio = 101%", file: "base.ini", line: 7, text: "above the maximum 100%"},
		"size overflow":       {overlay: "[limits]\nheader = 9999999999999GiB", line: lines + 2, text: "too large"},
		"duration overflow":   {overlay: "[queue]\nmax_wait = 9999999999h", line: lines + 2, text: "not a duration"},
		"empty value":         {overlay: "[queue]\nmax_wait =", line: lines + 2, text: "the value is empty"},
		"unknown word":        {overlay: "[route x]\nrepeat = never\nservice = shop\nclass = read", line: lines + 2, text: "not one of safe, once"},
		"unknown service":     {overlay: "[route x]\nservice = shpo\nclass = read\nrepeat = safe", line: lines + 2, text: "there is no section [service shpo]"},
		"unknown class":       {overlay: "[route x]\nservice = shop\nclass = raed\nrepeat = safe", line: lines + 3, text: "there is no section [class raed]"},
		"missing key":         {overlay: "[service x]\nslots = 1", line: lines + 1, text: "the required key is missing"},
		"duplicate key":       {overlay: "[queue]\nlength = 10%\nlength = 10%", line: lines + 3, text: "appears twice, first in line " + "18"},
		"duplicate section":   {overlay: "[site]", line: lines + 1, text: "appears twice, first in line 1"},
		"site in base":        {base: "[site]\nname = south", file: "base.ini", line: 7, text: "belongs in the overlay"},
		"section lacks name":  {overlay: "[service]\nslots = 1", line: lines + 1, text: "needs a name"},
		"bad name":            {overlay: "[service A_b]\nslots = 1", line: lines + 1, text: "not a name"},
		"excess name":         {overlay: "[queue x]", line: lines + 1, text: "takes no name"},
		"no bracket":          {overlay: "[queue\nlength = 10%", line: lines + 1, text: "no closing bracket"},
		"text after bracket":  {overlay: "[queue] length = 10%", line: lines + 1, text: "unexpected text"},
		"no equals sign":      {overlay: "[queue]\nlength 10%", line: lines + 2, text: "not of the form"},
		"several lines":       {overlay: "[queue]\nlength = \"\"\"10%\n\"\"\"", line: lines + 2, text: "not of the form"},
		"key without section": {base: "", file: "base.ini", line: 1, text: "before the first section"},
		"control character":   {overlay: "[queue]\nlength = 1\x000%", line: lines + 2, text: "control character"},
		"not UTF-8":           {overlay: "# \xff", line: lines + 1, text: "not valid UTF-8"},
		"long line":           {overlay: "# " + strings.Repeat("x", 5000), line: lines + 1, text: "longer than"},
		"same requests":       {overlay: "[route x]\nservice = shop\nclass = read\nrepeat = safe\npath = /", line: lines + 5, text: "matches the same requests as [route browse]"},
		"short retention":     {overlay: "[once]\nkey_validity = 30m", line: lines + 2, text: "record_retention 20m (default) is not longer"},
		"same rank":           {base: "[class c]\nrank = 20", overlay: "[route x]\nservice = shop\nclass = c\nrepeat = once\npath = /x\n[class read]\nrank = 20", line: 14, text: "must not repeat, before or together with [route browse], whose class read has rank 20 (north.ini:23)"},
		"comment character":   {overlay: "[route x]\nservice = shop\nclass = read\nrepeat = safe\npath = /a#b", line: lines + 5, text: "not a path"},
		"between reads":       {base: "[class high]\nrank = 30", overlay: "[route x]\nservice = shop\nclass = high\nrepeat = safe\npath = /x", line: 14, text: "together with [route x], whose class high has rank 30 (base.ini:8)"},
		"lower rank":          {overlay: "[class order]\nrank = 9", line: 14, text: "class order of rank 9 (north.ini:18) would shed this route"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			base := baseText + c.base
			if name == "key without section" {
				base = "rank = 1\n" + base
			}
			p, findings, err := Load(file("base.ini", base), file("north.ini", overlayText+c.overlay))
			require.ErrorIs(t, err, ErrRejected)
			require.Nil(t, p)
			want := "north.ini"
			if c.file != "" {
				want = c.file
			}
			require.True(t, slices.ContainsFunc(findings, func(f Finding) bool {
				return f.Severity == schema.Error && f.File == want && f.Line == c.line && strings.Contains(f.Text, c.text)
			}), "%v", findings)
		})
	}
}

// Guards against an overlay without a site, which could not be assigned to any node.
func TestSiteIsRequired(t *testing.T) {
	_, findings, err := Load(file("base.ini", baseText), file("north.ini", ""))
	require.ErrorIs(t, err, ErrRejected)
	require.Equal(t, []Finding{{Severity: schema.Error, File: "north.ini", Section: "site", Key: "name", Text: "the required key is missing"}}, findings)
}

// Guards against an overlay that repeats a value of the base file in another unit without a warning, and against a warning
// that rejects the policy.
func TestRepeatedValueIsWarning(t *testing.T) {
	p, findings, err := Load(file("base.ini", baseText+"[queue]\nmax_wait = 1s\n"), file("north.ini", overlayText+"[queue]\nmax_wait = 1000ms\n"))
	require.NoError(t, err)
	require.NotNil(t, p)
	require.Equal(t, []Finding{{Severity: schema.Warning, File: "north.ini", Line: 18, Section: "queue", Key: "max_wait", Text: "repeats the value of base.ini:8"}}, findings)
}

// Guards against a list of effective values with missing or wrong origins.
func TestEffectiveOrigins(t *testing.T) {
	settings, findings := Effective(file("base.ini", baseText), file("north.ini", overlayText+"[retry]\nbudget = 2 # fewer\n"))
	require.Empty(t, findings)
	origin := func(section, key string) string {
		i := slices.IndexFunc(settings, func(s schema.Setting) bool { return s.Section == section && s.Key == key })
		return settings[i].Value + " " + settings[i].Origin.String()
	}
	require.Equal(t, "2 north.ini:18", origin("retry", "budget"))
	require.Equal(t, "10% default", origin("retry", "ratio"))
	require.Equal(t, "10 base.ini:2", origin("class read", "rank"))
	require.Equal(t, "/ default", origin("route browse", "path"))
	require.False(t, slices.ContainsFunc(settings, func(s schema.Setting) bool { return s.Section == "route browse" && s.Key == "method" }))
}

// Guards against a change of the base file whose effect on a site is not shown, and against showing a value as different that
// only moved or is written in another unit.
func TestDiff(t *testing.T) {
	south := strings.Replace(overlayText, "north", "south", 1) + "[retry]\nbudget = 1\n"
	old := FileSet{file("base.ini", baseText), []File{file("north.ini", overlayText), file("south.ini", south)}}
	cur := FileSet{
		file("base.ini", "# moved\n"+strings.Replace(baseText, "budget = 4", "budget = 5\n[queue]\nmax_wait = 0.2s", 1)),
		[]File{file("north.ini", overlayText+"[service new]\nslots = 1\nconnections = 1\n"), file("south.ini", strings.Replace(south, "method = POST\n", "", 1))},
	}
	diff, findings, err := Diff(old, cur)
	require.NoError(t, err)
	require.Empty(t, findings)
	var got []string
	for _, d := range diff {
		line := d.Site + " " + d.Section + " " + d.Key
		for _, s := range []*schema.Setting{d.Old, d.New} {
			if s != nil {
				line += " " + s.Value + "@" + s.Origin.String()
			} else {
				line += " -"
			}
		}
		got = append(got, line)
	}
	require.Equal(t, []string{
		"north retry budget 4@base.ini:6 5@base.ini:7",
		"north service new slots - 1@north.ini:18",
		"north service new connections - 1@north.ini:19",
		"south route buy method POST@south.ini:12 -",
	}, got)

	cur.Overlays = cur.Overlays[:1]
	diff, _, err = Diff(old, cur)
	require.NoError(t, err)
	require.True(t, slices.ContainsFunc(diff, func(d Difference) bool { return d.Site == "south" && d.New == nil }), "a removed site is a difference")

	cur.Overlays = append(cur.Overlays, file("copy.ini", overlayText))
	_, findings, err = Diff(old, cur)
	require.ErrorIs(t, err, ErrRejected)
	require.Len(t, findings, 1)
	require.Contains(t, findings[0].Text, "two overlays are for site north")
}

// Guards against example files that Load rejects, as operators start from copies of them.
func TestExamples(t *testing.T) {
	read := func(name string) File {
		body, err := os.ReadFile("../../../examples/" + name)
		require.NoError(t, err)
		return File{Name: name, Body: body}
	}
	for _, site := range []string{"haetsal", "gnomon"} {
		p, findings, err := Load(read("base.ini"), read(site+".ini"))
		require.NoError(t, err)
		require.Empty(t, findings)
		require.Equal(t, site, p.Site)
	}
}

// Measures a policy of the design size: 390 services, here with four routes each.
func BenchmarkLoad(b *testing.B) {
	var text strings.Builder
	text.WriteString("[site]\nname = north\n")
	for i := range 390 {
		fmt.Fprintf(&text, "[service s%d]\nslots = 40\nconnections = 300\n", i)
		for j := range 4 {
			fmt.Fprintf(&text, "[route r%d-%d]\nservice = s%d\npath = /p%d\nclass = read\nrepeat = safe\n", i, j, i, j)
		}
	}
	base, overlay := file("base.ini", baseText), file("north.ini", text.String())
	b.SetBytes(int64(text.Len()))
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := Load(base, overlay); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against input that crashes the parser, accepted policies that violate an invariant, and findings that name no input
// file or a line beyond its end.
func FuzzLoad(f *testing.F) {
	f.Add(baseText, overlayText)
	f.Add("", "")
	f.Add("[class a]\nrank = 256\n[class a]\nrank=\"1\"", "[site]\nname=`x`\n[route -]\n- = 1\n= 2\n")
	f.Add("\xef\xbb\xbf[retry]\r\nbudget = 1\r\nratio = %(budget)s%", "[site] ; c\nname = \"\"\"x")
	f.Add("[queue]\nmax_wait = 1ms\\\nlength = 5%", "[queue]\nmax_wait = .5s # x\nlength = 1e3%\n[limits]\nheader = 1 KiB")
	f.Fuzz(func(t *testing.T, base, overlay string) {
		files := []File{file("b", base), file("o", overlay)}
		p, findings, err := Load(files[0], files[1])
		for _, finding := range findings {
			i := slices.IndexFunc(files, func(f File) bool { return f.Name == finding.File })
			require.GreaterOrEqual(t, i, 0, finding)
			require.LessOrEqual(t, finding.Line, strings.Count(string(files[i].Body), "\n")+1)
		}
		require.Equal(t, schema.HasErrors(findings), err != nil)
		if err != nil {
			return
		}
		require.NoError(t, schema.CheckName(p.Site))
		for _, s := range p.Services {
			require.Positive(t, s.Slots)
			for i, r := range s.Routes {
				require.Positive(t, r.Timeout)
				require.True(t, i == 0 || len(s.Routes[i-1].Prefix) >= len(r.Prefix))
				require.Equal(t, p.Classes[r.Class], r.Rank)
			}
		}
		require.Greater(t, p.Once.RecordRetention, p.Once.KeyValidity)
	})
}
