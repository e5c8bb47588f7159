package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies the content of a request. It is the same for every attempt at every
// node, whatever ids and deadlines the attempts carry.
type Digest [16]byte

// String returns the digest in hexadecimal, as it appears in log lines.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest returns the digest with the given bytes, or false if their number is wrong.
func ParseDigest(raw []byte) (Digest, bool) {
	var digest Digest
	return digest, copy(digest[:], raw) == len(raw) && len(raw) == len(digest)
}

// Content is the part of a request that all of its attempts have in common, as seen by a
// back end.
type Content struct {
	// Caller tells requests of different callers apart: the tenant, and the caller's
	// identity as presented to the back end.
	Caller []string
	Method string
	Host   string
	// Path is the path with its query.
	Path string
	// Body is the body if it is known before the request is sent. Length is its length in
	// bytes, or -1 if unknown.
	Body   []byte
	Length int64
}

// Digest returns the first half of a SHA-256 sum over the content, so that nobody can craft
// a request with the digest of another.
func (c Content) Digest() Digest {
	sum := sha256.New()
	var number [8]byte
	write := func(part []byte) {
		binary.BigEndian.PutUint64(number[:], uint64(len(part)))
		// hash.Hash.Write never returns an error.
		_, _ = sum.Write(number[:])
		_, _ = sum.Write(part)
	}
	write([]byte(c.Method))
	write([]byte(c.Host))
	write([]byte(c.Path))
	write(c.Body)
	write(binary.BigEndian.AppendUint64(nil, uint64(c.Length)))
	for _, part := range c.Caller {
		write([]byte(part))
	}
	var digest Digest
	copy(digest[:], sum.Sum(nil))
	return digest
}
