// Package credential knows which tenant holds a key. A key is what a caller shows
// to prove for which tenant it calls; a tenant holds any number of keys, and keys are
// given and taken away by new versions of the configuration.
//
// Keys are kept as SHA-256 digests only, so that neither a dump of the memory nor a
// printed Keyring shows one, and are found by their digest, so that the time of a
// look-up tells nothing of the keys that are known. The package is pure.
package credential
