package peer

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/result"
)

const (
	// ProtocolVersion is the version of the peer protocol.
	ProtocolVersion = 1
	// MaxFrameBytes limits the size of one frame and with it the memory that a
	// connection can make the node allocate.
	MaxFrameBytes = 16 << 20
)

// ReadEnvelope reads one frame. It returns io.EOF at a clean end of stream, the
// connection's own error if the connection failed, and result.FrameTooLarge or
// result.FrameMalformed if the received bytes are not a valid frame.
func ReadEnvelope(reader *bufio.Reader) (*pathbendv1.Envelope, error) {
	envelope := &pathbendv1.Envelope{}
	options := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	err := options.UnmarshalFrom(reader, envelope)
	var tooLarge *protodelim.SizeTooLargeError
	switch {
	case err == nil:
		return envelope, nil
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return nil, io.EOF
	case isConnectionError(err):
		return nil, err
	case errors.As(err, &tooLarge):
		return nil, result.Wrap(result.FrameTooLarge, err, "read frame")
	default:
		return nil, result.Wrap(result.FrameMalformed, err, "read frame")
	}
}

func isConnectionError(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) || errors.IsAny(err, net.ErrClosed, io.ErrClosedPipe)
}

// WriteEnvelope writes one frame to writer without flushing it.
func WriteEnvelope(writer *bufio.Writer, envelope *pathbendv1.Envelope) error {
	_, err := protodelim.MarshalTo(writer, envelope)
	return err
}

// NewFailure converts an error to the Failure that is sent to a peer.
func NewFailure(err error) *pathbendv1.Failure {
	typed := result.From(err)
	return &pathbendv1.Failure{
		Code:         int32(typed.Code),
		Detail:       typed.Detail,
		Field:        typed.Field,
		RetryAfterMs: typed.RetryAfter.Milliseconds(),
	}
}

// ErrorFromFailure converts a Failure received from a peer to an error.
func ErrorFromFailure(failure *pathbendv1.Failure) *result.Error {
	return &result.Error{
		Code:       result.Code(failure.Code),
		Detail:     failure.Detail,
		Field:      failure.Field,
		RetryAfter: time.Duration(failure.RetryAfterMs) * time.Millisecond,
	}
}
