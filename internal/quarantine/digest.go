package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest names the content of a request: it is the same in every try of the request, at
// every node, whatever ids and deadlines the tries carry.
type Digest [16]byte

// String returns the digest as hexadecimal digits, as log lines show it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest reads a digest from its bytes; false if they are too few or too many.
func ParseDigest(raw []byte) (Digest, bool) {
	var digest Digest
	return digest, copy(digest[:], raw) == len(raw) && len(raw) == len(digest)
}

// Content is what the tries of one request have in common, as far as a back end sees it.
type Content struct {
	// Caller tells requests of different callers apart: the tenant, and what the caller
	// shows of itself to the back end.
	Caller []string
	Method string
	Host   string
	// Path is the path and query.
	Path string
	// Body is the body, if it is known before the request is sent, and Length its length in
	// bytes, -1 if that is not known either.
	Body   []byte
	Length int64
}

// Digest returns the digest of a content: the first half of a SHA-256 sum, so that nobody
// can craft a request that has the digest of another.
func (c Content) Digest() Digest {
	sum := sha256.New()
	var number [8]byte
	write := func(part []byte) {
		binary.BigEndian.PutUint64(number[:], uint64(len(part)))
		// A hash takes whatever it is given.
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
