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

// ErrOversizedResponse marks the error of a response body that exceeds its reader's limit.
var ErrOversizedResponse = errors.New("oversized response")

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

// ReadBody reads a response body to its end. An error other than that of the body itself is
// marked with ErrOversizedResponse: the body has more than limit bytes.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	return io.ReadAll(LimitBody(body, limit))
}

// LimitBody returns a reader of a response body that fails with an error marked with
// ErrOversizedResponse after limit bytes, unless the body ends there.
func LimitBody(body io.Reader, limit int64) io.Reader {
	return &limitedBody{body: body, limit: limit, remaining: limit}
}

// limitedBody is the reader of LimitBody.
type limitedBody struct {
	body             io.Reader
	limit, remaining int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(buffer []byte) (int, error) {
	if b.remaining < 0 {
		return 0, errors.Wrapf(ErrOversizedResponse, "body of over %d bytes", b.limit)
	}
	// One byte more than the limit tells a longer body from one that ends there.
	n, err := b.body.Read(buffer[:min(int64(len(buffer)), b.remaining+1)])
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return n - 1, errors.Wrapf(ErrOversizedResponse, "body of over %d bytes", b.limit)
	}
	return n, err
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
