package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// system measures the suspension of this machine by its clocks.
var system = newSuspension(readClocks)

// reading is one reading of two clocks: CLOCK_BOOTTIME advances while the machine is
// suspended, CLOCK_MONOTONIC does not. They cannot be read at the same instant, so the
// monotonic clock is read before and after the other.
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

// suspension measures by how much the boot-time clock has advanced more than the monotonic
// clock since newSuspension.
type suspension struct {
	read func() (reading, bool)
	// base is the upper bound of the difference between the clocks at the first reading.
	base time.Duration
	// lowerBound is the largest lower bound, in nanoseconds, of the suspension since then. If
	// the thread is preempted between two reads, the result is less exact but never too large.
	lowerBound atomic.Int64
}

func newSuspension(read func() (reading, bool)) *suspension {
	s := &suspension{read: read}
	if first, ok := read(); ok {
		s.base = first.boot - first.before
	}
	return s
}

// total returns the time of suspension since newSuspension. It is 0 on a system that lacks
// one of the clocks.
func (s *suspension) total() time.Duration {
	now, ok := s.read()
	if !ok {
		return time.Duration(s.lowerBound.Load())
	}
	current := int64(now.boot - now.after - s.base)
	for {
		known := s.lowerBound.Load()
		if current <= known {
			return time.Duration(known)
		}
		if s.lowerBound.CompareAndSwap(known, current) {
			return time.Duration(current)
		}
	}
}
