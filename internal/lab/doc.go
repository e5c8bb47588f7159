// Package lab assembles clusters of real nodes and an emulated environment (platform
// services, engines and back ends) on any network.Network. The demo and the overhead
// experiment run on loopback, the simulation in memory on a virtual clock.
package lab
