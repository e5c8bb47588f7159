package network

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrIncompleteResponse marks the error of a response whose connection ended before the
// response was complete.
var ErrIncompleteResponse = errors.New("incomplete response")

// verifiedBody is a response body whose end is verified.
type verifiedBody struct {
	io.ReadCloser
	// verify returns an error if the body is not complete although its reader reports io.EOF.
	verify func() error
}

// Read implements io.Reader.
func (b *verifiedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err == io.EOF {
		if verifyErr := b.verify(); verifyErr != nil {
			return n, verifyErr
		}
	}
	return n, err
}
