package network

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Tests found a free port, closed it and bound it later; beside load another
// program had it by then (TestSubmittedJobBringsBackTheVersion: "address already in
// use").
func TestReservedAddressCannotBeTakenByAnother(t *testing.T) {
	reserved := NewReserved()
	address, err := reserved.Reserve()
	require.NoError(t, err)
	_, err = net.Listen("tcp", address)
	require.Error(t, err, "it is listened on all the while")
	listener, err := reserved.Listen(address)
	require.NoError(t, err)
	require.Equal(t, address, listener.Addr().String())
	require.NoError(t, listener.Close())
	listener, err = reserved.Listen(address)
	require.NoError(t, err, "a reservation is taken up once; then it is an address as any other")
	require.NoError(t, listener.Close())
}

func TestClosedReservationsAreFree(t *testing.T) {
	reserved := NewReserved()
	address, err := reserved.Reserve()
	require.NoError(t, err)
	reserved.Close()
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	require.NoError(t, listener.Close())
}
