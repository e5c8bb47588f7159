package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An endpoint that starts again under its id is a new one: that the former left, failed or
// was slow tells nothing of it.
func TestEndpointThatStartedAgainIsANewOne(t *testing.T) {
	table := NewTable()
	machine := Machine{ID: "s", Pool: "p", Address: "a:1", Born: 10}
	table.Update([]Machine{machine})
	former := table.Get("s")
	for range failuresToEject {
		former.Started()
		former.Failed(time.Unix(100, 0))
	}
	require.True(t, former.Ejected(time.Unix(100, 0)))
	require.True(t, table.MarkLeaving("s"))
	require.Empty(t, table.Update([]Machine{machine}).Restarted, "the same incarnation leaves for good")
	require.True(t, table.Get("s").Leaving)
	machine.Born = 20
	changes := table.Update([]Machine{machine})
	require.Equal(t, []*Endpoint{former}, changes.Restarted)
	next := table.Get("s")
	require.NotSame(t, former, next)
	require.False(t, next.Leaving)
	require.False(t, next.Ejected(time.Unix(100, 0)))
	require.Zero(t, next.InFlight)
	require.Equal(t, []*Endpoint{next}, table.Pool("p"))
}
