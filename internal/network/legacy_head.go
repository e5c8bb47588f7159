package network

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

const legacyVersion = "HTTP/1.0 "

// legacyHead checks the head of a response in HTTP/1.0. net/http deletes and ignores a
// Transfer-Encoding field there, so that the chunks of the body would pass for its content;
// such a response is framed wrongly (RFC 9112, section 6.1).
type legacyHead struct {
	// line is the beginning of a line whose end was not read yet.
	line []byte
	// inFields is set after the status line of an HTTP/1.0 response, passed at the end of the
	// head and for any other response.
	inFields, passed bool
}

// check checks the next bytes of a response.
func (h *legacyHead) check(part []byte) error {
	for len(part) > 0 && !h.passed {
		end := bytes.IndexByte(part, '\n')
		if end < 0 {
			h.keep(part)
			return nil
		}
		line := bytes.TrimSuffix(append(h.line, part[:end]...), []byte("\r"))
		h.line, part = nil, part[end+1:]
		if err := h.checkLine(line); err != nil {
			return err
		}
	}
	return nil
}

// keep adds to the incomplete line. The transport rejects a line that is longer than
// maxResponseHeaderBytes.
func (h *legacyHead) keep(part []byte) {
	if len(h.line)+len(part) > maxResponseHeaderBytes {
		h.line, h.passed = nil, true
		return
	}
	h.line = append(h.line, part...)
}

func (h *legacyHead) checkLine(line []byte) error {
	if !h.inFields {
		h.inFields = bytes.HasPrefix(line, []byte(legacyVersion))
		h.passed = !h.inFields
		return nil
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return errors.Wrap(ErrMalformedResponse, "Transfer-Encoding in a response of HTTP/1.0")
	}
	h.passed = len(line) == 0
	return nil
}
