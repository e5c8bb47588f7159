package network

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against "address already in use" errors in tests that found a free port, closed
// it and bound it again later (TestSubmittedJobBringsBackTheVersion): on a loaded machine
// another program could take the port in between.
func TestReservedAddressIsNotAvailableToOthers(t *testing.T) {
	reservingNetwork := NewReservingNetwork()
	address, err := reservingNetwork.Reserve()
	require.NoError(t, err)
	_, err = net.Listen("tcp", address)
	require.Error(t, err, "the reserved address stays open")
	listener, err := reservingNetwork.Listen(address)
	require.NoError(t, err)
	require.Equal(t, address, listener.Addr().String())
	require.NoError(t, listener.Close())
	listener, err = reservingNetwork.Listen(address)
	require.NoError(t, err, "a reservation is used once; afterwards Listen binds the address as usual")
	require.NoError(t, listener.Close())
}

func TestCloseFreesReservations(t *testing.T) {
	reservingNetwork := NewReservingNetwork()
	address, err := reservingNetwork.Reserve()
	require.NoError(t, err)
	reservingNetwork.Close()
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	require.NoError(t, listener.Close())
}
