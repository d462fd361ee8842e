package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func table(t *testing.T, routes ...*Route) *Table {
	t.Helper()
	tab, err := New(7, routes, []Service{{Name: "a"}, {Name: "b"}}, DefaultLimits())
	require.NoError(t, err)
	return tab
}

func to(service string) []WeightedService { return []WeightedService{{service, 1}} }

// Guards against a request that is matched to a shorter prefix than that of its own route, or to a route of another host.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	tab := table(t,
		&Route{Name: "root", Host: "x.example", Prefix: "/", Split: to("a")},
		&Route{Name: "menu", Host: "x.example", Prefix: "/menu/", Split: to("a")},
		&Route{Name: "deep", Host: "X.Example", Prefix: "/menu/today/", Split: to("b")},
		&Route{Name: "other", Host: "y.example", Prefix: "/menu/", Split: to("b")},
	)
	for _, c := range []struct{ host, path, route string }{
		{"x.example", "/menu/today/1", "deep"},
		{"x.example", "/menu/1?x=/menu/today/", "menu"},
		{"X.EXAMPLE:8080", "/menu/1", "menu"},
		{"x.example", "/menu", "root"},
		{"y.example", "/menu/today/1", "other"},
		{"y.example", "/", ""},
		{"z.example", "/menu/1", ""},
		{"x.example", "/%6denu/1", "root"}, // paths are compared as they were sent
	} {
		r, ok := tab.Match(c.host, c.path)
		require.Equal(t, c.route != "", ok, "%s%s", c.host, c.path)
		if ok {
			require.Equal(t, c.route, r.Name, "%s%s", c.host, c.path)
		}
	}
}

// Guards against a split that drifts from its weights, both over all requests and within a short sequence of them.
func TestSplitFollowsWeights(t *testing.T) {
	tab := table(t, &Route{Name: "r", Host: "x", Prefix: "/", Split: []WeightedService{{"a", 90}, {"b", 10}}})
	r, _ := tab.Match("x", "/")
	counts := map[string]int{}
	for i := 1; i <= 1000; i++ {
		counts[r.NextService()]++
		require.InDelta(t, 0.1*float64(i), counts["b"], 1, "after %d requests", i)
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
}

// Guards against sending requests to a service whose weight is zero.
func TestZeroWeightGetsNothing(t *testing.T) {
	tab := table(t, &Route{Name: "r", Host: "x", Prefix: "/", Split: []WeightedService{{"a", 0}, {"b", 3}}})
	r, _ := tab.Match("x", "/")
	for range 100 {
		require.Equal(t, "b", r.NextService())
	}
}

// Guards against accepting a configuration with routes that could match or select no service.
func TestInvalidRoutesAreRejected(t *testing.T) {
	for name, r := range map[string]*Route{
		"prefix without slash at the end":   {Prefix: "/menu", Split: to("a")},
		"prefix without slash at the start": {Prefix: "menu/", Split: to("a")},
		"unknown service":                   {Prefix: "/", Split: to("c")},
		"no service":                        {Prefix: "/"},
		"no weight":                         {Prefix: "/", Split: []WeightedService{{"a", 0}}},
		"negative weight":                   {Prefix: "/", Split: []WeightedService{{"a", -1}, {"b", 5}}},
	} {
		_, err := New(1, []*Route{r}, []Service{{Name: "a"}, {Name: "b"}}, DefaultLimits())
		require.ErrorIs(t, err, ErrInvalid, name)
	}
}
