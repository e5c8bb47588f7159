//go:build !linux

package network

import (
	"syscall"
	"time"
)

// limitUnacked does nothing: TCP_USER_TIMEOUT is only set on Linux.
func limitUnacked(syscall.RawConn, time.Duration) error { return nil }
