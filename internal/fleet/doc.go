// Package fleet tracks the engines and back ends of the platform and balances
// work over them.
//
// Fleet guards a routing.Table with a mutex and updates it from the machine
// list, which lags behind, from load reports of engines and from the outcomes of
// attempts. A notice from an endpoint or a peer that the endpoint is leaving
// takes effect at once and is never reverted by an older list.
package fleet
