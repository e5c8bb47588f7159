//go:build !linux

package network

import (
	"syscall"
	"time"
)

// limitUnacked does nothing where the system has no such limit.
func limitUnacked(syscall.RawConn, time.Duration) error { return nil }
