// Package emulator stands in for everything around pathbend: the platform's
// log, machine list and weight store, model engines, application back ends,
// trainers and callers.
//
// Each part speaks the real protocol over a network.Network and takes time from
// package time, so the same code serves the demo on loopback, load experiments
// and the simulation on a virtual clock. Faults are switched on by fields that
// may change at any time. Truth records what back ends executed and what
// callers and trainers received; the invariants are judged from it alone, never
// from the service's own books.
package emulator
