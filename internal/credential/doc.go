// Package credential maps API keys to tenants. A caller authenticates as a tenant with one of
// the tenant's keys. A tenant may have any number of keys, and new versions of the
// configuration add and revoke them.
//
// Keys are stored only as SHA-256 digests, so that neither a memory dump nor a printed Keyring
// reveals one. They are looked up by digest, so that the time of a lookup reveals nothing about
// the known keys. The package does no I/O and reads no clock.
package credential
