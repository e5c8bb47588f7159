package network

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// limitUnacked sets TCP_USER_TIMEOUT (see tcp(7)): the time that sent data may stay
// unacknowledged before the kernel closes the connection.
func limitUnacked(connection syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := connection.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
