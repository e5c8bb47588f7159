package simulation

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var scaleSizes = flag.String("scale-sizes", "14", "node counts of TestScale, comma-separated")

// TestScale measures the control cost of a node at several sizes. The bounds of
// the design size hold at every size.
func TestScale(t *testing.T) {
	for size := range strings.SplitSeq(*scaleSizes, ",") {
		nodes, err := strconv.Atoi(size)
		require.NoError(t, err)
		t.Run(fmt.Sprint("nodes=", nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				report, err := MeasureScale(ScaleOptions{Nodes: nodes, Machines: 1000, Quiet: 30 * time.Second})
				require.NoError(t, err)
				t.Logf("nodes %d: %.0f bytes/s, %.3f %% of a core, %.2f MB heap, config everywhere in %v, death noticed in %v, %d false deaths, %.1f log reads/s",
					report.Nodes, report.BytesPerSecond, 100*report.CoreShare, report.HeapBytes/1e6,
					report.ConfigSpread, report.DeathNoticed, report.FalseDeaths, report.LogReadsPerSecond)
				require.Less(t, report.BytesPerSecond, 7000.0)
				require.Less(t, report.ConfigSpread, 5*time.Second)
				require.Less(t, report.DeathNoticed, 5*time.Second)
				require.Zero(t, report.FalseDeaths)
			})
		})
	}
}
