//go:build !linux

package clock

import "time"

// system measures no suspension: on this platform the package reads no clock that advances
// while the machine is suspended.
var system noSuspension

// noSuspension stands for a machine that is never suspended.
type noSuspension struct{}

func (noSuspension) total() time.Duration { return 0 }
