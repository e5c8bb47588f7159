// Package quarantine tells requests apart by their content, whichever ids their tries
// carry, so that the tries of one request can be joined.
package quarantine
