package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDigestDiffersForDifferentContents(t *testing.T) {
	base := Content{Caller: []string{"tenant", "key"}, Method: "POST", Host: "h", Path: "/p?q", Body: []byte("body"), Length: 4}
	require.Equal(t, base.Digest(), base.Digest())
	others := []Content{base, base, base, base, base, base, base}
	others[0].Caller = []string{"tenantkey"}
	others[1].Method = "PUT"
	others[2].Host = "g"
	others[3].Path = "/p"
	others[4].Body = []byte("bodz")
	others[5].Length = 5
	others[6].Caller = []string{"tenant", "key", ""}
	seen := map[Digest]bool{base.Digest(): true}
	for i, other := range others {
		require.False(t, seen[other.Digest()], "content %d", i)
		seen[other.Digest()] = true
	}
}

func TestParseDigestRejectsWrongLengths(t *testing.T) {
	digest := Content{Path: "/p"}.Digest()
	read, ok := ParseDigest(digest[:])
	require.True(t, ok)
	require.Equal(t, digest, read)
	for _, raw := range [][]byte{nil, digest[:15], append(digest[:], 0)} {
		_, ok := ParseDigest(raw)
		require.False(t, ok, "%d bytes", len(raw))
	}
}
