package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An endpoint that restarts under the same id is a new endpoint: it inherits neither the
// leaving state nor the failures of its previous incarnation.
func TestRestartedEndpointDiscardsPreviousState(t *testing.T) {
	table := NewTable()
	machine := Machine{ID: "s", Pool: "p", Address: "a:1", StartedAtMs: 10}
	table.Update([]Machine{machine})
	previous := table.Get("s")
	for range failuresToEject {
		previous.AttemptStarted()
		previous.AttemptFailed(time.Unix(100, 0))
	}
	require.True(t, previous.Ejected(time.Unix(100, 0)))
	require.True(t, table.MarkLeaving("s"))
	require.Empty(t, table.Update([]Machine{machine}).Restarted, "leaving is permanent within an incarnation")
	require.True(t, table.Get("s").Leaving)
	machine.StartedAtMs = 20
	changes := table.Update([]Machine{machine})
	require.Equal(t, []*Endpoint{previous}, changes.Restarted)
	restarted := table.Get("s")
	require.NotSame(t, previous, restarted)
	require.False(t, restarted.Leaving)
	require.False(t, restarted.Ejected(time.Unix(100, 0)))
	require.Zero(t, restarted.InFlight)
	require.Equal(t, []*Endpoint{restarted}, table.Pool("p"))
}
