// Package publish reads and publishes configuration revisions in the control stream of
// the platform's log, for the command line.
//
// It applies the records of the control stream just as nodes do. The outcome of a
// publish therefore follows from the log itself, even if the response to the append was
// lost.
package publish

import (
	"context"
	"time"

	"github.com/google/uuid"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/controlstate"
	"github.com/pathbend/pathbend/internal/controlstream"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/result"
)

// Log is access to the platform's log.
type Log interface {
	logstore.Reader
	logstore.Appender
}

// maxRecordsPerRead is the maximum number of records in one read of the log.
const maxRecordsPerRead = 1000

// Load returns the state of the control stream at its current end.
func Load(ctx context.Context, log logstore.Reader) (*controlstate.Machine, error) {
	machine := controlstate.NewMachine()
	_, err := applyUntil(ctx, log, machine, 0)
	return machine, err
}

// applyUntil applies records to machine until the record before the offset end, or the
// last one of the stream. It returns the outcome of the last record that it applied. If
// end is 0, it applies the whole stream.
func applyUntil(ctx context.Context, log logstore.Reader, machine *controlstate.Machine, end uint64) (controlstate.Outcome, error) {
	source := controlstream.LogSource{Reader: log}
	var last controlstate.Outcome
	for {
		update, err := source.Fetch(ctx, machine.Next(), maxRecordsPerRead, 0)
		if err != nil {
			return last, err
		}
		if update.Snapshot != nil {
			if err := machine.Restore(update.Snapshot); err != nil {
				return last, err
			}
		}
		for _, entry := range update.Batch.Entries {
			outcome := machine.Apply(entry)
			if entry.Offset+1 == end {
				return outcome, nil
			}
			last = outcome
		}
		if machine.Next() >= update.Batch.End {
			return last, nil
		}
	}
}

// PublishRequest holds a configuration to publish.
type PublishRequest struct {
	Document *config.Document
	// BaseRevision is the number of the revision that the document was derived from.
	BaseRevision uint64
	Author       string
	Message      string
}

// ConflictError reports that another revision was published first, and what differs in
// it.
type ConflictError struct {
	// Current is the current revision, and Changes the differences that lead to it.
	Current controlstate.Revision
	Changes []config.Change
	cause   error
}

// Error implements error.
func (c *ConflictError) Error() string { return c.cause.Error() }

// Unwrap returns the error with the result code.
func (c *ConflictError) Unwrap() error { return c.cause }

// Publish appends a configuration and reads the log until the outcome is known. The error
// is a *ConflictError if another revision was published first. An append whose response
// was lost is retried with the same record id.
func Publish(ctx context.Context, log Log, request PublishRequest) (controlstate.Revision, error) {
	machine, err := Load(ctx, log)
	if err != nil {
		return controlstate.Revision{}, err
	}
	if err := checkBaseRevision(machine, request); err != nil {
		return controlstate.Revision{}, err
	}
	content, err := config.Encode(request.Document)
	if err != nil {
		return controlstate.Revision{}, result.Wrap(result.ConfigInvalid, err, "encode configuration")
	}
	offset, err := logstore.AppendRecord(ctx, log, &pathbendv1.Record{
		Id: uuid.NewString(),
		Body: &pathbendv1.Record_ConfigPublish{ConfigPublish: &pathbendv1.ConfigPublish{
			BaseRevision: request.BaseRevision, Document: content, Author: request.Author,
			Message: request.Message, PublishedUnixMs: time.Now().UnixMilli(),
		}},
	})
	if err != nil {
		return controlstate.Revision{}, err
	}
	before := machine.Revision()
	outcome, err := applyUntil(ctx, log, machine, offset+1)
	if err != nil {
		return controlstate.Revision{}, err
	}
	// A duplicate means that an earlier append of the same record determined the outcome.
	accepted := outcome.Changed == controlstate.PartConfig || outcome.Duplicate && matchesRequest(machine.Revision(), request)
	if accepted {
		return machine.Revision(), nil
	}
	return controlstate.Revision{}, newConflictError(outcome.Err, before, machine.Revision())
}

// matchesRequest reports whether a revision can be the one that the request published.
func matchesRequest(revision controlstate.Revision, request PublishRequest) bool {
	return revision.Number == request.BaseRevision+1 && revision.Author == request.Author && revision.Message == request.Message
}

// checkBaseRevision returns a *ConflictError if the base revision is not the current one,
// so that a publish that must fail is not appended.
func checkBaseRevision(machine *controlstate.Machine, request PublishRequest) error {
	current := machine.Revision()
	if current.Number == request.BaseRevision {
		return nil
	}
	cause := result.New(result.ConfigConflict, "the current revision is %d by %s (%q), but this change was made from revision %d",
		current.Number, current.Author, current.Message, request.BaseRevision)
	return &ConflictError{Current: current, Changes: config.Diff(request.Document, current.Document), cause: cause}
}

// newConflictError describes the difference between the revision before the publish and
// the current one. If cause is nil, it creates an error with the code ConfigConflict.
func newConflictError(cause error, before, current controlstate.Revision) error {
	if cause == nil {
		cause = result.New(result.ConfigConflict, "revision %d by %s was published first", current.Number, current.Author)
	}
	return &ConflictError{Current: current, Changes: config.Diff(before.Document, current.Document), cause: cause}
}
