// Package scaling decides how many samplers of a service the platform is asked for, by
// zone and kind. Ordinary samplers are the operator's: their number is left as it is.
// Spot samplers cost a part of the price and may be taken away, all of a zone together:
// they are a reserve for work that would be late otherwise.
//
// The package is pure.
package scaling
