// Package lab assembles whole systems out of real nodes and emulated
// surroundings, on any network.Network: the demo and the load experiments on
// loopback, the simulation in memory on a virtual clock.
package lab
