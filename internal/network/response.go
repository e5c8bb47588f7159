package network

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrMalformedResponse marks the error of a response that HTTP does not allow (RFC 9110,
// RFC 9112). Whether its sender executed the request is unknown.
var ErrMalformedResponse = errors.New("malformed response")

// ErrIncompleteResponse marks the error of a response whose connection ended before the
// response was complete.
var ErrIncompleteResponse = errors.New("incomplete response")

const (
	minFinalStatus = 200
	maxStatus      = 599
)

// checkHead returns an error if HTTP does not allow the head of a final response. net/http
// rejects most such heads by itself; checkHead covers those that it accepts.
func checkHead(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return errors.Wrapf(ErrMalformedResponse, "version %q", response.Proto)
	case response.StatusCode < minFinalStatus || response.StatusCode > maxStatus:
		return errors.Wrapf(ErrMalformedResponse, "status %q", response.Status)
	case strings.ContainsFunc(response.Status, isControl):
		return errors.Wrapf(ErrMalformedResponse, "reason phrase %q", response.Status)
	}
	return checkFieldNames(textproto.MIMEHeader(response.Header))
}

// isControl reports whether a character is an ASCII control character other than a tab.
func isControl(character rune) bool {
	return character != '\t' && (character < ' ' || character == '\x7f')
}

// checkFieldNames returns an error if the name of a header or trailer field contains a blank,
// which net/http accepts. A recipient that ignores the blank reads another field.
func checkFieldNames(header textproto.MIMEHeader) error {
	for name := range header {
		if strings.Contains(name, " ") {
			return errors.Wrapf(ErrMalformedResponse, "field name %q", name)
		}
	}
	return nil
}

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
