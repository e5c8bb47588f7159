package platformnode

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/ledger"
)

// For any number of texts read, the page holds the results before the first one whose text
// is missing, each with its own text, and Next is the position after them.
func TestPageEndsBeforeTheFirstMissingText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const from = 7
		dead := rapid.SliceOfN(rapid.Bool(), 1, 30).Draw(t, "dead")
		page := Page{Next: from + len(dead)}
		var all [][]byte
		for i, isDead := range dead {
			one := ledger.Result{}
			if !isDead {
				one.Text = &pathbendv1.Blob{Offset: uint64(i)}
				all = append(all, []byte{byte(i)})
			}
			page.Results = append(page.Results, one)
		}
		read := rapid.IntRange(0, len(all)).Draw(t, "read")
		require.Equal(t, len(dead), page.fill(all[:read]))
		require.Len(t, page.Texts, len(page.Results))
		require.Equal(t, from+len(page.Results), page.Next)
		for i, one := range page.Results {
			if one.Text != nil {
				require.Equal(t, []byte{byte(i)}, page.Texts[i])
			}
		}
		if read == len(all) {
			require.Len(t, page.Results, len(dead))
		} else {
			require.NotNil(t, all[read])
			require.Equal(t, int(all[read][0]), len(page.Results))
		}
	})
}
