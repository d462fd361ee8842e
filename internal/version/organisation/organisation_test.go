package organisation

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a key that lets its holder in as another organisation: one that two of them claim, in either order, belongs to neither.
func TestKeyOfTwoOrganisationsBelongsToNeither(t *testing.T) {
	s := NewSet()
	require.True(t, s.Add(Organisation{Name: "a", Priority: 1}))
	require.True(t, s.Add(Organisation{Name: "b", Priority: 3}))
	require.False(t, s.Add(Organisation{Name: "a"}), "names are unique")
	require.True(t, s.AddKey("a", "own"))
	require.True(t, s.AddKey("a", "own"), "an organisation may list a key twice")
	require.True(t, s.AddKey("a", "shared"))
	require.False(t, s.AddKey("b", "shared"))
	require.False(t, s.AddKey("a", "shared"), "claimed by both")

	o, ok := s.ByKey("own")
	require.True(t, ok)
	require.Equal(t, "a", o.Name)
	for _, key := range []string{"shared", "", "unknown"} {
		_, ok = s.ByKey(key)
		require.False(t, ok, key)
	}
	require.Equal(t, 3, s.LowestPriority())
}
