package platformnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/ledger"
)

// apply encodes an entry and applies its records to a ledger.
func apply(t *testing.T, state *ledger.Ledger, entry *pathbendv1.LedgerEntry) {
	t.Helper()
	const large = 1 << 20
	records, err := ledger.Encode(entry, 1, large)
	require.NoError(t, err)
	for _, record := range records {
		_, err := state.Apply(record, time.Now())
		require.NoError(t, err)
	}
}

// Guards against lost partial texts. An item had a result in a job whose group stayed
// incomplete, and a later job that required newer weights started it again. When the
// executor was lost, the five longest items of the step started from scratch, although the
// log held most of their texts.
func TestPartialTextOfARestartedItemIsFoundBesideItsResult(t *testing.T) {
	known := ledger.New()
	for _, job := range []string{"old", "new"} {
		apply(t, known, &pathbendv1.LedgerEntry{JobId: job, Fact: &pathbendv1.LedgerEntry_Submitted{
			Submitted: &pathbendv1.BatchJob{ItemIds: []string{"item"}},
		}})
	}
	apply(t, known, &pathbendv1.LedgerEntry{JobId: "old", Fact: &pathbendv1.LedgerEntry_Listed{Listed: &pathbendv1.BatchResults{
		Results: []*pathbendv1.BatchResult{{ItemId: "item", Versions: []uint64{1}}},
	}}})
	apply(t, known, &pathbendv1.LedgerEntry{JobId: "new", Fact: &pathbendv1.LedgerEntry_Progress{Progress: &pathbendv1.BatchProgress{
		Items: []*pathbendv1.ItemProgress{{ItemId: "item", Id: 7, Events: 100, Versions: []uint64{3}}},
	}}})
	finished, partial := knownTexts(known, []*pathbendv1.BatchItem{{Id: "item"}})
	require.Equal(t, []uint64{1}, finished["item"].Versions)
	require.Equal(t, uint64(100), partial["item"].Events)
}
