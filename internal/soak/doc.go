// Package soak runs real processes of a node on one machine, troubles them from
// outside, and judges what their callers and back ends see meanwhile.
//
// The processes are those of the product; the store, the samplers and the callers
// are the stand-ins of the simulation, here on loopback and on the wall clock.
// Between them stand proxies that delay, hold back or reset connections. Processes
// are paused, killed, stopped in order and started again. Everything ends with the
// run: the package signals only processes that it started, by their ids.
package soak
