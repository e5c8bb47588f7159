// Package emulator emulates the systems that pathbend depends on and serves:
// the platform's log, machine list and weight store, model engines, application
// back ends, trainers and callers.
//
// Each component speaks the real protocol over a network.Network and takes time
// from package time, so the same code runs in the demo on loopback, in load
// experiments and in the simulation on a virtual clock. Faults can be injected
// and removed at any time. A Checker records what back ends executed and what
// callers and trainers received. The invariants are checked against these
// records alone, never against the state that the service itself keeps.
package emulator
