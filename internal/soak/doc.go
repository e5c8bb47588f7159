// Package soak runs real node processes on one machine, injects faults from outside, and
// checks what callers and back ends observe in the meantime.
//
// The processes run the pathbend program. The store, the samplers and the callers are the
// emulated ones of package platformsim, here on loopback and in real time. Proxies between
// them delay, block or reset connections. Processes are paused, killed, shut down gracefully
// and restarted. Everything ends with the run; the package signals only processes that it
// started, by their process ids.
package soak
