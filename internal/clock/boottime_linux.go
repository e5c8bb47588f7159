package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// machine is the suspension of this machine, as its clocks tell.
var machine = newSuspension(readClocks)

// reading is one look at the two clocks: the steady clock stands while the machine is
// suspended, the clock since the boot does not. They cannot be read at one instant, so the
// steady clock is read before and after the other.
type reading struct{ before, boot, after time.Duration }

func readClocks() (reading, bool) {
	var before, boot, after unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil ||
		unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
		return reading{}, false
	}
	return reading{before: time.Duration(before.Nano()), boot: time.Duration(boot.Nano()), after: time.Duration(after.Nano())}, true
}

// suspension tells how far the clocks have drifted apart since it was made.
type suspension struct {
	read func() (reading, bool)
	// base is the most that the clocks may have been apart at the begin.
	base time.Duration
	// known is the most that they surely drifted apart since. A thread that is preempted
	// between two reads makes the difference unsure, never too large.
	known atomic.Int64
}

func newSuspension(read func() (reading, bool)) *suspension {
	s := &suspension{read: read}
	if first, ok := read(); ok {
		s.base = first.boot - first.before
	}
	return s
}

// slept returns the time of suspension since the begin. A system without one of the clocks
// is never suspended, as far as it can tell.
func (s *suspension) slept() time.Duration {
	now, ok := s.read()
	if !ok {
		return time.Duration(s.known.Load())
	}
	sure := int64(now.boot - now.after - s.base)
	for {
		known := s.known.Load()
		if sure <= known {
			return time.Duration(known)
		}
		if s.known.CompareAndSwap(known, sure) {
			return time.Duration(sure)
		}
	}
}
